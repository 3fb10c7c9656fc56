package emulator

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/lab/servermodel"
)

// maxWork is the exclusive upper bound of the work that a request may name, ms.
const maxWork = 1e9

// notRun is the header field that proves to a balancer that the request was never executed.
var notRun = http1.Field{Name: "X-Not-Run", Value: "1"}

// exchange is a request on a connection, with what its response needs.
type exchange struct {
	conn    net.Conn
	request *http1.Message
	gone    <-chan struct{} // closed when reading requests from the connection has ended
	id      string          // X-Request-Id
	attempt int             // attempt number, from 0
}

// write writes a response, which repeatLater may send again. It reports whether the connection stays open.
func (s *server) write(received exchange, status int, fields http1.Fields, body []byte) bool {
	response := http1.AppendResponse(nil, status, fields, body)
	_, err := received.conn.Write(response)
	s.repeatLater(received.conn, response)
	return err == nil && !received.request.Close
}

// serveExchange serves one request and notifies the observer. It reports whether the connection stays open.
func (s *server) serveExchange(received exchange) bool {
	now := s.fleet.clock()
	path := received.request.Path()
	if path == "/ping" || path == "/_load" {
		return s.respondToHealthCheck(received, now)
	}
	received.id = received.request.Fields.Get("x-request-id")
	if received.id == "" {
		return received.writeError(http.StatusNotFound)
	}
	received.attempt = s.fleet.observer.AttemptReceived(received.id, s.number, timeoutOf(received.request))
	if received.attempt < 0 {
		return received.writeError(http.StatusBadRequest)
	}
	admission, job := s.admit(received, now)
	switch admission {
	case servermodel.Rejected:
		fields := append(s.loadHeader(now), notRun)
		s.fleet.observer.AttemptCompleted(received.id, received.attempt, NeverExecuted(true))
		return s.write(received, http.StatusServiceUnavailable, fields, nil)
	case servermodel.Refused:
		s.fleet.observer.AttemptCompleted(received.id, received.attempt, NeverExecuted(false))
		reset(received.conn)
		return false
	case servermodel.NoResponse:
		<-received.gone
		s.fleet.observer.AttemptCompleted(received.id, received.attempt, NeverExecuted(false))
		return false
	}
	select {
	case completion := <-job.completed:
		return s.respond(received, completion)
	case <-received.gone: // the balancer no longer waits
		s.cancel(received, job)
		return false
	}
}

// writeError responds to a request that is not served. The connection stays open unless writing fails,
// even if the request asks to close it.
func (x *exchange) writeError(status int) bool {
	_, err := x.conn.Write(http1.AppendResponse(nil, status, nil, nil))
	return err == nil
}

// respondToHealthCheck charges the model for a health check or a request for the load report, and responds unless
// the server is silent. It reports whether the connection stays open.
func (s *server) respondToHealthCheck(received exchange, now time.Duration) bool {
	s.mu.Lock()
	s.model.Charge(now, s.spec.Kind.HealthCheckWork)
	state := s.model.State()
	fields := s.loadHeaderLocked(now)
	s.resetTimer()
	s.mu.Unlock()
	if state == servermodel.Silent {
		<-received.gone
		return false
	}
	status := http.StatusOK
	if state != servermodel.Up {
		status = http.StatusServiceUnavailable
	}
	var body []byte
	if len(fields) > 0 && received.request.Path() == "/_load" {
		body = []byte(fields[0].Value)
	}
	return s.write(received, status, fields, body)
}

// loadHeader returns the X-Load header of a response, or nil if the server does not report its load.
func (s *server) loadHeader(now time.Duration) http1.Fields {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadHeaderLocked(now)
}

func (s *server) loadHeaderLocked(now time.Duration) http1.Fields {
	report, ok := s.model.Report(now, s.fleet.reportDelay())
	if !ok {
		return nil
	}
	return http1.Fields{
		{
			Name:  "X-Load",
			Value: fmt.Sprintf("eps=%.2f,qps=%.2f,inflight=%.1f", report.ErrorsPerSec, report.PerSec, report.Inflight),
		},
	}
}

// admit passes a request to the model and notifies the observer. The job is nil unless the request is accepted.
// If the server collapses in slow start, admit ends the server's jobs and closes its sockets.
func (s *server) admit(received exchange, now time.Duration) (servermodel.Admission, *pendingJob) {
	job := s.parseJob(received.request, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	slowStart := s.model.InSlowStart(now)
	if slowStart {
		s.fleet.observer.SlowStartWork(received.id, s.number, s.model.Started(), job.Work)
	}
	s.lastJob++
	job.ID = s.lastJob
	job.ErrorDraw = s.rng.Float64()
	admission, lost := s.model.Arrive(now, job)
	if slowStart && s.model.State() == servermodel.Collapsed {
		s.fleet.observer.ServerCollapsed(s.number)
		s.deliver(lost)
		s.closeAll()
		return servermodel.Refused, nil
	}
	if admission != servermodel.Accepted {
		return admission, nil
	}
	pending := &pendingJob{id: job.ID, completed: make(chan servermodel.Completion, 1)}
	s.jobs[job.ID] = pending
	s.fleet.observer.AttemptAccepted(received.id, received.attempt)
	s.resetTimer()
	return admission, pending
}

// parseJob returns the job of a request from its timeout and the query parameters w (work, ms) and k (key, hex).
func (s *server) parseJob(message *http1.Message, now time.Duration) servermodel.Job {
	work, err := strconv.ParseFloat(message.Query("w"), 64)
	valid := err == nil && work > 0 && work < maxWork
	if !valid { // use the mean of the class
		work = s.fleet.meanWork(strings.TrimPrefix(message.Path(), "/"))
	}
	key, _ := strconv.ParseUint(message.Query("k"), 16, 64) // 0 if missing
	job := servermodel.Job{Work: work, Key: key}
	if timeout := timeoutOf(message); timeout > 0 {
		job.Expires = now + timeout
	}
	return job
}

// timeoutOf returns the timeout in X-Deadline-Ms, 0 if there is none.
func timeoutOf(message *http1.Message) time.Duration {
	milliseconds, _ := strconv.Atoi(message.Fields.Get("x-deadline-ms"))
	return time.Duration(milliseconds) * time.Millisecond
}

// cancel cancels the job of a request whose connection has ended, and notifies the observer. The model may still
// execute the job.
func (s *server) cancel(received exchange, job *pendingJob) {
	s.mu.Lock()
	cancelled, started, _ := s.model.Cancel(s.fleet.clock(), job.id)
	if cancelled {
		delete(s.jobs, job.id)
	}
	s.resetTimer()
	s.mu.Unlock()
	if started {
		s.fleet.observer.AttemptExecuted(received.id, received.attempt)
	}
	s.fleet.observer.AttemptCompleted(received.id, received.attempt, NeverExecuted(false))
}

// respond notifies the observer that a job has ended, and responds to its request or resets the connection. It
// reports whether the connection stays open.
func (s *server) respond(received exchange, completion servermodel.Completion) bool {
	if completion.Started {
		s.fleet.observer.AttemptExecuted(received.id, received.attempt)
	}
	fields := s.loadHeader(s.fleet.clock())
	expired := completion.Outcome == servermodel.Expired
	s.fleet.observer.AttemptCompleted(received.id, received.attempt, NeverExecuted(expired))
	switch completion.Outcome {
	case servermodel.Reset:
		reset(received.conn)
		return false
	case servermodel.Expired:
		return s.write(received, http.StatusGatewayTimeout, append(fields, notRun), nil)
	case servermodel.CompletedWithError:
		return s.write(received, http.StatusInternalServerError, fields, nil)
	}
	body := []byte(s.name + " " + received.id)
	if kind, malformed := s.drawMalformed(); malformed {
		return writeMalformed(received, kind, fields, body) && !received.request.Close
	}
	return s.write(received, http.StatusOK, fields, body)
}

// drawMalformed decides at random whether a response is malformed, and how.
func (s *server) drawMalformed() (malformedResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng.Float64() >= s.fleet.malformedProbability() {
		return 0, false
	}
	return malformedResponse(s.rng.IntN(int(malformedResponses))), true
}
