package upstream

import (
	"log/slog"
	"time"

	"piernotch"
	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
)

// stallTimeout is how long a response that has started may go without new data.
// Servers write a response in one go, so a stalled response will probably not complete.
const stallTimeout = 250 * time.Millisecond

// attempt is one request to a server: an attempt of a client's request, or a health
// check. It lasts from the wait for a connection to the response or failure.
type attempt struct {
	ref         core.AttemptRef // zero for a health check
	healthCheck bool
	pool        *pool
	request     *core.RequestMessage // nil once it is written, since the attempt may outlast its client
	requestID   string
	class       string // class of the request
	digest      uint64 // see digestRequest
	deadline    time.Duration
	connection  *connection // nil: none is assigned
	waiting     bool        // the attempt is in its pool's waiting list
}

// cancel ends an attempt without an event. Its connection is closed if the request was
// written, or if the server has closed the connection or sent data on it. Otherwise the
// connection is released for reuse.
func (u *Upstream) cancel(attempt *attempt) {
	u.forget(attempt)
	if attempt.waiting {
		attempt.pool.removeWaiting(attempt)
	}
	connection := attempt.connection
	if connection == nil {
		return
	}
	connection.attempt = nil
	attempt.connection = nil
	if connection.requestWritten || !connection.socket.InputEmpty() {
		connection.closeAndReplace()
	} else {
		connection.pool.release(connection)
	}
}

// forget removes an attempt from attempts or healthChecks. The caller must close or
// release the attempt's connection.
func (u *Upstream) forget(attempt *attempt) {
	if attempt.healthCheck {
		delete(u.healthChecks, attempt)
	} else {
		delete(u.attempts, attempt.ref)
	}
}

// fail ends an attempt without a response and emits its outcome. The attempt's
// connection, if any, must already be closed.
func (u *Upstream) fail(attempt *attempt, cause *AttemptError) {
	u.forget(attempt)
	attempt.connection = nil
	slog.Info("attempt failed", "id", attempt.requestID, "attempt", int(attempt.ref.Number), "server", cause.Address,
		"stage", cause.Stage, "connection", cause.Connection, "responses", cause.Responses,
		"idle_ms", cause.IdleFor.Milliseconds(), "health_check", attempt.healthCheck, "err", cause.Err)
	if attempt.healthCheck {
		u.emit(core.HealthCheckCompleted{Server: attempt.pool.endpoint.Server, Status: cause.Status()})
		return
	}
	u.emit(core.AttemptCompleted{Ref: attempt.ref, Status: cause.Status()})
}

// complete emits the load report and the outcome of an attempt that got a response. Before that the caller must call
// forget and detach the attempt from its connection. from is that connection, for the log.
func (u *Upstream) complete(attempt *attempt, response *http1.Message, from *connection) {
	endpoint := attempt.pool.endpoint
	status := responseStatus(response)
	u.loadReportReceived(endpoint, response.Fields.Get("x-load"))
	if attempt.healthCheck {
		u.emit(core.HealthCheckCompleted{Server: endpoint.Server, Status: status})
		return
	}
	completed := core.AttemptCompleted{Ref: attempt.ref, Status: status}
	if status == piernotch.OK {
		completed.Response = &core.ResponseMessage{
			ContentType: response.Fields.Get("content-type"),
			Body:        response.Body,
		}
	} else {
		slog.Info(
			"attempt unsuccessful",
			"id", attempt.requestID,
			"attempt", int(attempt.ref.Number),
			"server", endpoint.Address,
			"status", response.Status,
			"executed", status != piernotch.Full,
			"connection", from.number,
			"responses", from.responses,
		)
	}
	u.emit(completed)
}

// responseStatus classifies a response. With "X-Not-Run: 1" on a 503 or 504 the
// server guarantees that it did not execute the request.
func responseStatus(response *http1.Message) piernotch.Status {
	switch response.Status {
	case http1.StatusOK:
		return piernotch.OK
	case http1.StatusServiceUnavailable, http1.StatusGatewayTimeout:
		if response.Fields.Get("x-not-run") == "1" {
			return piernotch.Full
		}
	}
	return piernotch.Error
}

// failStalledAttempts fails the attempts whose response is incomplete and has had no
// new data for more than stallTimeout.
func (u *Upstream) failStalledAttempts(now time.Duration) {
	for _, attempt := range u.attempts {
		connection := attempt.connection
		if connection == nil || !connection.responseStarted {
			continue
		}
		if now-connection.lastActivity > stallTimeout {
			connection.fail(Malformed, errResponseStalled)
		}
	}
}
