package core

import (
	"log/slog"
	"time"

	"piernotch"
	"piernotch/internal/timingwheel"
)

// request is a request from its receipt until it is released.
type request struct {
	id            piernotch.RequestID
	clientID      string // the client's identifier of it
	class         int
	exchange      ExchangeID
	message       any
	deadline      time.Duration
	attempts      []*attempt
	inflight      int  // attempts that have not completed
	closed        bool // it has a response, or its client is gone
	lastStatus    piernotch.Status
	deadlineTimer *timingwheel.Timer
}

// PendingRequests returns the number of requests without a response.
func (c *Core) PendingRequests() int { return len(c.exchanges) }

func (c *Core) handleRequestReceived(ev RequestReceived) {
	// Two open requests with one ID would be a single request to the servers: a hedged copy that
	// nobody asked for, and an answer that could belong to either.
	if _, open := c.openClientIDs[ev.ID]; open && ev.ID != "" {
		c.emit(Respond{Exchange: ev.Exchange, Result: DuplicateID, Close: c.shuttingDown})
		return
	}
	if c.shuttingDown {
		ev.Deadline = min(ev.Deadline, c.answerBy)
	}
	r := c.openRequest(ev)
	if c.debug {
		slog.Debug("request received", "id", r.clientID, "class", ev.Class, "cost_hint", ev.CostHint,
			"deadline_ms", (ev.Deadline - c.now).Milliseconds())
	}
	// The module's own timeouts end at the deadline. This timer fires after them, for a request that
	// the module has left without a response even so.
	r.deadlineTimer = c.timers.At(ev.Deadline+2*TickInterval, func() { c.failOverdue(r) })
	c.balancer.HandleRequest(c.now, piernotch.Request{
		ID: r.id, Class: ev.Class, Tenant: ev.Tenant, Key: ev.Key, Deadline: ev.Deadline, CostHint: ev.CostHint,
	})
}

// openRequest enters a request into the tables.
func (c *Core) openRequest(ev RequestReceived) *request {
	c.lastRequestID++
	c.Counts.Accepted++
	r := &request{
		id:         c.lastRequestID,
		clientID:   ev.ID,
		class:      ev.Class,
		exchange:   ev.Exchange,
		message:    ev.Message,
		deadline:   ev.Deadline,
		lastStatus: piernotch.NotSent,
	}
	c.openClientIDs[ev.ID] = struct{}{}
	c.requests[r.id] = r
	c.exchanges[r.exchange] = r
	return r
}

func (c *Core) handleClientDisconnected(ev ClientDisconnected) {
	r := c.exchanges[ev.Exchange]
	if r == nil {
		return
	}
	c.Counts.ClientsGone++
	if c.debug {
		slog.Debug("client disconnected", "id", r.clientID, "attempts", len(r.attempts),
			"remaining_ms", (r.deadline - c.now).Milliseconds())
	}
	c.close(r)
	c.balancer.ClientDisconnected(c.now, r.id)
	c.release(r)
}

// failOverdue fails a request that the module has left without a response past its deadline.
// Rejecting it instead would promise that it never ran, which is not known here.
func (c *Core) failOverdue(r *request) {
	if r.closed {
		return
	}
	c.Counts.DeadlineExceeded++
	slog.Warn("request deadline exceeded", "request", r.id, "attempts", len(r.attempts))
	c.respond(r, Respond{Result: Failed, LastStatus: r.lastStatus})
	c.balancer.ClientDisconnected(c.now, r.id)
	c.release(r)
}

// respond sends the response of a request that has none yet, and closes it. The exchange and whether
// to close the connection are filled in here.
func (c *Core) respond(r *request, response Respond) {
	if r.closed {
		return
	}
	c.Counts.countResponse(response.Result)
	response.Exchange = r.exchange
	response.Close = c.shuttingDown || c.overrides.Drain.Active
	if c.debug {
		slog.Debug("request completed", "id", r.clientID, "result", response.Result, "attempts", len(r.attempts),
			"remaining_ms", (r.deadline - c.now).Milliseconds())
	}
	c.emit(response)
	c.close(r)
}

// close ends the exchange of a request. Attempts that have not been written are cancelled, whatever
// the settings say about cancelling: the module may let the others run to their end, or may have
// to, but these never began.
func (c *Core) close(r *request) {
	r.closed = true
	r.deadlineTimer.Stop()
	delete(c.exchanges, r.exchange)
	delete(c.openClientIDs, r.clientID)
	for n, a := range r.attempts {
		if !a.completed && !a.written {
			c.cancelAttempt(r, n, piernotch.NotSent)
		}
	}
}

// release removes a request that is closed and has no attempt in flight.
func (c *Core) release(r *request) {
	if r.closed && r.inflight == 0 {
		delete(c.requests, r.id)
	}
}
