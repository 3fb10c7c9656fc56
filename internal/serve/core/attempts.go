package core

import (
	"log/slog"
	"time"

	"piernotch"
	"piernotch/internal/timingwheel"
)

// attempt is one attempt to have a request served by a server.
type attempt struct {
	server    *server
	startedAt time.Duration
	written   bool // it was sent, in part at least: it may have run
	completed bool
	timer     *timingwheel.Timer // its timeout; nil if it was never started outside
}

// findAttempt returns an attempt that has not completed, with its request, or nil.
func (c *Core) findAttempt(ref AttemptRef) (*request, *attempt) {
	r := c.requests[ref.Request]
	if r == nil || ref.Attempt < 0 || ref.Attempt >= len(r.attempts) {
		return nil, nil
	}
	a := r.attempts[ref.Attempt]
	if a.completed {
		return nil, nil
	}
	return r, a
}

// startAttempt starts the next attempt of a request. If the request is closed or has had all its
// attempts, the attempt completes as not sent. A timeout of 0 means the request's deadline.
func (c *Core) startAttempt(r *request, b *server, timeout time.Duration) {
	n := len(r.attempts)
	a := &attempt{server: b, startedAt: c.now}
	r.attempts = append(r.attempts, a)
	r.inflight++
	if r.closed || n >= c.settings.Limits.MaxAttempts {
		c.deferCall(func() { c.completeAttempt(r, n, piernotch.NotSent, nil) })
		return
	}
	c.Counts.Attempts++
	wait := r.deadline - c.now
	if timeout != 0 {
		wait = min(wait, timeout)
	}
	if c.debug {
		slog.Debug("attempt started", "id", r.clientID, "attempt", n, "server", b.name, "timeout_ms", wait.Milliseconds())
	}
	a.timer = c.timers.At(c.now+wait, func() { c.handleAttemptTimeout(r, n) })
	c.emit(StartAttempt{Ref: AttemptRef{r.id, n}, To: b.endpoint(), Message: r.message, Timeout: wait})
}

// handleAttemptConnected has an attempt written if that is still allowed: one that waited for its
// connection must not be sent to a server that is draining by now, nor retry a request outside of
// its deduplication window.
func (c *Core) handleAttemptConnected(ev AttemptConnected) {
	ref := ev.Ref
	r, a := c.findAttempt(ref)
	if a == nil || a.written {
		return
	}
	if !c.balancer.AttemptAllowed(c.now, ref.Request, ref.Attempt) {
		c.cancelAttempt(r, ref.Attempt, piernotch.NotSent)
		return
	}
	if c.debug {
		slog.Debug("attempt written", "id", r.clientID, "attempt", ref.Attempt, "server", a.server.name,
			"elapsed_ms", (c.now - a.startedAt).Milliseconds())
	}
	a.written = true
	c.emit(WriteAttempt{ref})
}

func (c *Core) handleAttemptCompleted(ev AttemptCompleted) {
	if r, a := c.findAttempt(ev.Ref); a != nil {
		c.completeAttempt(r, ev.Ref.Attempt, ev.Status, ev.Answer)
	}
}

func (c *Core) handleAttemptTimeout(r *request, n int) {
	a := r.attempts[n]
	if a.completed {
		return
	}
	c.emit(CancelAttempt{AttemptRef{r.id, n}})
	status := piernotch.Timeout
	if !a.written { // there was no connection: it cannot have run
		status = piernotch.ConnectFailed
	}
	c.completeAttempt(r, n, status, nil)
}

// cancelAttempt abandons attempt n of a request. The module learns of it, with the given status,
// after its present call.
func (c *Core) cancelAttempt(r *request, n int, status piernotch.Status) {
	c.emit(CancelAttempt{AttemptRef{r.id, n}})
	c.deferCall(func() {
		if !r.attempts[n].completed {
			c.completeAttempt(r, n, status, nil)
		}
	})
}

// completeAttempt records the end of attempt n of a request, responds to the client if the attempt
// was successful, and reports the outcome to the module.
func (c *Core) completeAttempt(r *request, n int, status piernotch.Status, answer any) {
	a := r.attempts[n]
	a.completed = true
	a.timer.Stop()
	r.inflight--
	if c.debug {
		slog.Debug("attempt completed", "id", r.clientID, "attempt", n, "server", a.server.name, "status", status,
			"written", a.written, "elapsed_ms", (c.now - a.startedAt).Milliseconds())
	}
	c.Counts.countAttempt(status)
	if status != piernotch.Cancelled {
		r.lastStatus = status
	}
	if status == piernotch.OK {
		c.respond(r, Respond{Result: Served, Answer: answer})
	}
	c.balancer.HandleOutcome(c.now, piernotch.Outcome{
		ID: r.id, Attempt: n, Server: a.server.id, Status: status, Latency: c.now - a.startedAt, Closed: r.closed,
	})
	c.release(r)
}
