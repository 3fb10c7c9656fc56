package upstream

import (
	"log/slog"
	"time"

	"piernotch"
	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
)

// stallTimeout is how long a response that has begun may make no progress. Feed
// servers write a response at once, so one that stalls never ends, and its
// request has nothing to wait for.
const stallTimeout = 250 * time.Millisecond

// attempt is one request to a feed server, from its wait for a connection to its
// response: an attempt of a client's request, or a health check.
type attempt struct {
	ref         core.AttemptRef // zero for a health check
	healthCheck bool
	pool        *pool
	request     *Request
	deadline    time.Duration
	conn        *connection // nil while it waits for one
	waiting     bool        // it is in its pool's waiting list
}

// cancel ends an attempt without an event.
func (u *Upstream) cancel(a *attempt) {
	u.forget(a)
	if a.waiting {
		a.pool.removeWaiting(a)
	}
	c := a.conn
	if c == nil {
		return
	}
	c.attempt = nil
	a.conn = nil
	if c.requestWritten || !c.socket.InputEmpty() {
		c.closeAndReplace()
	} else {
		c.pool.release(c)
	}
}

// forget removes an attempt from the table. Its connection is left to the caller.
func (u *Upstream) forget(a *attempt) {
	if a.healthCheck {
		delete(u.healthChecks, a)
	} else {
		delete(u.attempts, a.ref)
	}
}

// fail ends an attempt without a response. Its connection, if it had one, must
// have been closed.
func (u *Upstream) fail(a *attempt, cause *AttemptError) {
	u.forget(a)
	a.conn = nil
	slog.Info("attempt failed", "server", cause.Address, "stage", cause.Stage, "idle_ms", cause.IdleFor.Milliseconds(),
		"health_check", a.healthCheck, "err", cause.Err)
	if a.healthCheck {
		u.emit(core.HealthCheckCompleted{Server: a.pool.endpoint.Server, Status: cause.Status()})
		return
	}
	u.emit(core.AttemptCompleted{Ref: a.ref, Status: cause.Status()})
}

// complete ends an attempt with a response. Its connection must have been
// detached from it.
func (u *Upstream) complete(a *attempt, response *http1.Message) {
	endpoint := a.pool.endpoint
	status := responseStatus(response)
	u.loadReportReceived(endpoint, response.Fields.Get("x-load"))
	if a.healthCheck {
		u.emit(core.HealthCheckCompleted{Server: endpoint.Server, Status: status})
		return
	}
	completed := core.AttemptCompleted{Ref: a.ref, Status: status}
	if status == piernotch.OK {
		completed.Answer = &Response{ContentType: response.Fields.Get("content-type"), Body: response.Body}
	} else {
		slog.Info("attempt unsuccessful", "server", endpoint.Address, "status", response.Status, "executed", status != piernotch.Full)
	}
	u.emit(completed)
}

// responseStatus classifies a response. X-Not-Run on a 503 or 504 is the feed
// server's promise that it did not execute the request.
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

// failStalledAttempts fails the attempts whose response has stopped half-way.
func (u *Upstream) failStalledAttempts(now time.Duration) {
	for _, a := range u.attempts {
		c := a.conn
		if c != nil && c.responseStarted && now-c.lastActivity > stallTimeout {
			c.fail(Malformed, errResponseStalled)
		}
	}
}
