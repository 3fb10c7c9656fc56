package core

import (
	"log/slog"
	"time"

	"piernotch"
	"piernotch/internal/timingwheel"
)

// attempt is one attempt of a request, at one server.
type attempt struct {
	server    *server
	process   serverProcess // that the attempt is meant for
	startedAt time.Duration
	written   bool // WriteAttempt was emitted, so the server may have executed the request
	completed bool
	timer     *timingwheel.Timer // its timeout; nil if no StartAttempt was emitted for it
}

// findAttempt returns an attempt and its request, or nil for both if the attempt is unknown or has
// completed.
func (c *Core) findAttempt(ref AttemptRef) (*request, *attempt) {
	request := c.requests[ref.Request]
	if request == nil || ref.Number < 0 || int(ref.Number) >= len(request.attempts) {
		return nil, nil
	}
	attempt := request.attempts[ref.Number]
	if attempt.completed {
		return nil, nil
	}
	return request, attempt
}

// startAttempt starts the next attempt of a request. If the request is closed or has used up its
// MaxAttempts, the attempt completes as NotSent. A timeout of 0 means the request's deadline.
func (c *Core) startAttempt(request *request, server *server, timeout time.Duration) {
	number := AttemptNumber(len(request.attempts))
	attempt := &attempt{server: server, process: server.process(), startedAt: c.now}
	request.attempts = append(request.attempts, attempt)
	request.inflight++
	if request.closed || int(number) >= c.settings.Limits.MaxAttempts {
		c.deferCall(func() { c.completeAttempt(request, number, piernotch.NotSent, nil) })
		return
	}
	c.Counts.Attempts++
	wait := request.deadline - c.now
	if timeout != 0 {
		wait = min(wait, timeout)
	}
	if c.debug {
		slog.Debug("attempt started", "id", request.clientID, "attempt", int(number), "server", server.name,
			"timeout_ms", wait.Milliseconds())
	}
	attempt.timer = c.timers.At(c.now+wait, func() { c.handleAttemptTimeout(request, number) })
	c.emit(StartAttempt{
		Ref:     AttemptRef{request.id, number},
		To:      server.endpoint(),
		Message: request.message,
		Timeout: wait,
	})
}

// handleAttemptConnected emits WriteAttempt if the module still allows the attempt, and cancels it if
// not. While the attempt waited for its connection, its server may have started to drain, moved or
// restarted, or the deduplication window for a retry may have closed.
func (c *Core) handleAttemptConnected(event AttemptConnected) {
	ref := event.Ref
	request, attempt := c.findAttempt(ref)
	if attempt == nil || attempt.written {
		return
	}
	replaced := attempt.process != attempt.server.process()
	if replaced || !c.balancer.AttemptAllowed(c.now, ref.Request, int(ref.Number)) {
		c.cancelAttempt(request, ref.Number, piernotch.NotSent)
		return
	}
	if c.debug {
		slog.Debug("attempt written", "id", request.clientID, "attempt", int(ref.Number), "server", attempt.server.name,
			"elapsed_ms", (c.now - attempt.startedAt).Milliseconds())
	}
	attempt.written = true
	c.emit(WriteAttempt{ref})
}

func (c *Core) handleAttemptCompleted(event AttemptCompleted) {
	if request, attempt := c.findAttempt(event.Ref); attempt != nil {
		c.completeAttempt(request, event.Ref.Number, event.Status, event.Response)
	}
}

func (c *Core) handleAttemptTimeout(request *request, number AttemptNumber) {
	attempt := request.attempts[number]
	if attempt.completed {
		return
	}
	c.emit(CancelAttempt{AttemptRef{request.id, number}})
	status := piernotch.Timeout
	if !attempt.written { // it had no connection, so no server can have executed it
		status = piernotch.ConnectFailed
	}
	c.completeAttempt(request, number, status, nil)
}

// cancelAttempt cancels an attempt. It reports the given status to the module once the module's current
// call has returned.
func (c *Core) cancelAttempt(request *request, number AttemptNumber, status piernotch.Status) {
	c.emit(CancelAttempt{AttemptRef{request.id, number}})
	c.deferCall(func() {
		if !request.attempts[number].completed {
			c.completeAttempt(request, number, status, nil)
		}
	})
}

// completeAttempt records the end of an attempt, responds to the client if the attempt was successful,
// reports the outcome to the module, and calls release.
func (c *Core) completeAttempt(
	request *request,
	number AttemptNumber,
	status piernotch.Status,
	response *ResponseMessage,
) {
	attempt := request.attempts[number]
	attempt.completed = true
	attempt.timer.Stop()
	request.inflight--
	if c.debug {
		slog.Debug(
			"attempt completed",
			"id", request.clientID,
			"attempt", int(number),
			"server", attempt.server.name,
			"status", status,
			"written", attempt.written,
			"elapsed_ms", (c.now - attempt.startedAt).Milliseconds(),
		)
	}
	request.mayHaveRun = request.mayHaveRun || attempt.written && !status.NeverExecuted()
	c.Counts.countAttempt(status)
	if status != piernotch.Cancelled {
		request.lastStatus = status
	}
	if status == piernotch.OK {
		c.respond(request, Respond{Result: Served, Response: response})
	}
	c.balancer.HandleOutcome(c.now, piernotch.Outcome{
		ID:          request.id,
		Attempt:     int(number),
		Server:      attempt.server.id,
		Status:      status,
		Latency:     c.now - attempt.startedAt,
		RequestDone: request.closed,
	})
	c.release(request)
}
