package core

import (
	"log/slog"
	"slices"
	"time"

	"piernotch"
	"piernotch/internal/timingwheel"
)

// overdueMargin is how long after a request's deadline the core fails the request if the module has
// not responded: two ticks, so that the module's timers that are due at the deadline fire first.
const overdueMargin = 2 * TickInterval

// request is a request from its receipt until it is released.
type request struct {
	id            piernotch.RequestID
	clientID      string // the client's identifier of the request; may be empty
	class         int
	exchange      ExchangeID
	message       *RequestMessage // nil once the request is closed: attempts that run on do not need it
	deadline      time.Duration
	attempts      []*attempt
	inflight      int  // attempts that have not completed
	closed        bool // it has a response, or its client has disconnected
	mayHaveRun    bool // a server may have executed an attempt that has completed
	lastStatus    piernotch.Status
	deadlineTimer *timingwheel.Timer
}

// PendingRequests returns the number of requests without a response.
func (c *Core) PendingRequests() int { return len(c.exchanges) }

func (c *Core) handleRequestReceived(event RequestReceived) {
	// Servers identify requests by this ID. They would take two open requests with the same ID for
	// attempts of one hedged request, and a response could belong to either.
	_, idInUse := c.openClientIDs[event.ID]
	if idInUse && event.ID != "" {
		c.emit(Respond{Exchange: event.Exchange, Result: DuplicateID, Close: c.shuttingDown})
		return
	}
	if c.abandonedBefore(event) {
		c.emit(Respond{Exchange: event.Exchange, Result: RepeatedID, Close: c.shuttingDown})
		return
	}
	if c.shuttingDown {
		event.Deadline = min(event.Deadline, c.respondBy)
	}
	request := c.openRequest(event)
	if c.debug {
		slog.Debug("request received", "id", request.clientID, "class", event.Class, "cost_hint", event.CostHint,
			"deadline_ms", (event.Deadline - c.now).Milliseconds())
	}
	// The module's own timeouts end by the deadline. This timer fires later, in case the module has not
	// responded to the request.
	request.deadlineTimer = c.timers.At(event.Deadline+overdueMargin, func() { c.failOverdue(request) })
	c.balancer.HandleRequest(c.now, piernotch.Request{
		ID:       request.id,
		Class:    event.Class,
		Tenant:   event.Tenant,
		Key:      event.Key,
		Deadline: event.Deadline,
		CostHint: event.CostHint,
	})
}

func (c *Core) openRequest(event RequestReceived) *request {
	c.lastRequestID++
	c.Counts.Accepted++
	request := &request{
		id:         c.lastRequestID,
		clientID:   event.ID,
		class:      event.Class,
		exchange:   event.Exchange,
		message:    event.Message,
		deadline:   event.Deadline,
		lastStatus: piernotch.NotSent,
	}
	c.openClientIDs[event.ID] = struct{}{}
	c.requests[request.id] = request
	c.exchanges[request.exchange] = request
	return request
}

func (c *Core) handleClientDisconnected(event ClientDisconnected) {
	request := c.exchanges[event.Exchange]
	if request == nil {
		return
	}
	c.Counts.ClientsDisconnected++
	if c.debug {
		slog.Debug("client disconnected", "id", request.clientID, "attempts", len(request.attempts),
			"remaining_ms", (request.deadline - c.now).Milliseconds())
	}
	c.rememberAbandoned(request)
	c.close(request)
	c.balancer.ClientDisconnected(c.now, request.id)
	c.release(request)
}

// rememberAbandoned remembers the ID of a request whose client has left, if a server may have executed it.
func (c *Core) rememberAbandoned(request *request) {
	if request.clientID != "" && request.mayHaveExecuted() {
		c.abandonedIDs.add(c.now, request.clientID)
	}
}

// abandonedBefore reports whether a request that must not be executed twice has the ID of one whose client has left and
// that a server may have executed. The client may have sent it again because its connection was closed.
func (c *Core) abandonedBefore(event RequestReceived) bool {
	if event.ID == "" || event.Class >= len(c.settings.Classes) {
		return false
	}
	idempotent := c.settings.Classes[event.Class].RetrySafety == piernotch.Idempotent
	return !idempotent && c.abandonedIDs.contains(c.now, event.ID)
}

// mayHaveExecuted reports whether a server may have executed an attempt of the request.
func (r *request) mayHaveExecuted() bool {
	inflight := func(attempt *attempt) bool { return attempt.written && !attempt.completed }
	return r.mayHaveRun || slices.ContainsFunc(r.attempts, inflight)
}

// failOverdue fails a request that the module has left without a response past its deadline. It does
// not reject the request: that would promise that a repeat is safe, which is not known here.
func (c *Core) failOverdue(request *request) {
	if request.closed {
		return
	}
	c.Counts.DeadlineExceeded++
	slog.Warn("request deadline exceeded", "request", request.id, "attempts", len(request.attempts))
	c.failUnanswered(request, request.lastStatus)
}

// failUnanswered fails a request that the module has not responded to, and makes the module drop it.
func (c *Core) failUnanswered(request *request, lastStatus piernotch.Status) {
	c.respond(request, Respond{Result: Failed, LastStatus: lastStatus})
	c.balancer.ClientDisconnected(c.now, request.id)
	c.release(request)
}

// respond emits the response of a request, with Exchange and Close filled in, and closes the request.
// It does nothing if the request is closed already.
func (c *Core) respond(request *request, response Respond) {
	if request.closed {
		return
	}
	c.Counts.countResponse(response.Result)
	response.Exchange = request.exchange
	response.Close = c.shuttingDown || c.overrides.Drain.Active
	if c.debug {
		slog.Debug(
			"request completed",
			"id", request.clientID,
			"result", response.Result,
			"attempts", len(request.attempts),
			"last_status", request.lastStatus,
			"remaining_ms", (request.deadline - c.now).Milliseconds(),
		)
	}
	c.emit(response)
	c.close(request)
}

// close ends the exchange of a request. It cancels attempts that have not been written, even if the
// settings do not allow attempts to be cancelled: that setting is for attempts that a server may have
// started to execute.
func (c *Core) close(request *request) {
	request.closed = true
	request.message = nil
	request.deadlineTimer.Stop()
	delete(c.exchanges, request.exchange)
	delete(c.openClientIDs, request.clientID)
	for number, attempt := range request.attempts {
		if !attempt.completed && !attempt.written {
			c.cancelAttempt(request, AttemptNumber(number), piernotch.NotSent)
		}
	}
}

// release removes a request from the table if it is closed and has no attempt in flight.
func (c *Core) release(request *request) {
	if request.closed && request.inflight == 0 {
		delete(c.requests, request.id)
	}
}
