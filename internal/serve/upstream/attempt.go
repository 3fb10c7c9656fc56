package upstream

import (
	"log/slog"
	"time"

	"piernotch"
	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
)

// stallTimeout is how long a response that has begun may make no progress. Servers
// write a response at once: one that stalls is not expected to be completed.
const stallTimeout = 250 * time.Millisecond

// attempt is one request to a server, from its wait for a connection to its
// response: an attempt of a client's request, or a health check.
type attempt struct {
	ref         core.AttemptRef // zero for a health check
	healthCheck bool
	pool        *pool
	request     *core.RequestMessage
	deadline    time.Duration
	connection  *connection // nil while it waits for one
	waiting     bool        // it is in its pool's waiting list
}

// cancel ends an attempt without an event.
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

// forget removes an attempt from the table. Its connection is left to the caller.
func (u *Upstream) forget(attempt *attempt) {
	if attempt.healthCheck {
		delete(u.healthChecks, attempt)
	} else {
		delete(u.attempts, attempt.ref)
	}
}

// fail ends an attempt without a response. Its connection, if it had one, must
// have been closed.
func (u *Upstream) fail(attempt *attempt, cause *AttemptError) {
	u.forget(attempt)
	attempt.connection = nil
	slog.Info("attempt failed", "id", attempt.request.ID, "attempt", int(attempt.ref.Number), "server", cause.Address,
		"stage", cause.Stage, "connection", cause.Connection, "responses", cause.Responses,
		"idle_ms", cause.IdleFor.Milliseconds(), "health_check", attempt.healthCheck, "err", cause.Err)
	if attempt.healthCheck {
		u.emit(core.HealthCheckCompleted{Server: attempt.pool.endpoint.Server, Status: cause.Status()})
		return
	}
	u.emit(core.AttemptCompleted{Ref: attempt.ref, Status: cause.Status()})
}

// complete ends an attempt with a response, which came on a connection that was detached from it.
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
			"id", attempt.request.ID,
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

// responseStatus classifies a response. X-Not-Run on a 503 or 504 is the server's
// promise that it did not execute the request.
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
	for _, attempt := range u.attempts {
		connection := attempt.connection
		if connection == nil || !connection.responseStarted || connection.held != nil {
			continue
		}
		if now-connection.lastActivity > stallTimeout {
			connection.fail(Malformed, errResponseStalled)
		}
	}
}
