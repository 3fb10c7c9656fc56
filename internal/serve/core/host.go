package core

import (
	"log/slog"
	"time"

	"piernotch"
)

// host carries out the module's decisions; it implements [piernotch.Host]. The module calls it from
// within its own calls, so whatever the module has to learn in turn is deferred.
type host struct{ core *Core }

var _ piernotch.Host = host{}

// StartAttempt implements piernotch.Host.
func (h host) StartAttempt(id piernotch.RequestID, to piernotch.ServerID, timeout time.Duration) {
	r := h.core.requests[id]
	b := h.core.servers[to]
	if r == nil || b == nil {
		slog.Error("attempt for unknown request or backend", "request", id, "backend", to)
		return
	}
	h.core.startAttempt(r, b, timeout)
}

// CancelAttempt implements piernotch.Host.
func (h host) CancelAttempt(id piernotch.RequestID, attempt int) {
	if r, a := h.core.findAttempt(AttemptRef{id, attempt}); a != nil {
		h.core.cancelAttempt(r, attempt, piernotch.Cancelled)
	}
}

// Reject implements piernotch.Host.
func (h host) Reject(id piernotch.RequestID, retryAfter time.Duration) {
	if r := h.core.requests[id]; r != nil {
		h.finish(r, Respond{Result: Rejected, RetryAfter: retryAfter})
	}
}

// Fail implements piernotch.Host.
func (h host) Fail(id piernotch.RequestID) {
	if r := h.core.requests[id]; r != nil {
		h.finish(r, Respond{Result: Failed, LastStatus: r.lastStatus})
	}
}

// finish responds to a request and releases it after the module's present call.
func (h host) finish(r *request, response Respond) {
	h.core.respond(r, response)
	h.core.deferCall(func() { h.core.release(r) })
}

// HealthCheck implements piernotch.Host.
func (h host) HealthCheck(id piernotch.ServerID) {
	if b := h.core.servers[id]; b != nil {
		h.core.startHealthCheck(b)
	}
}

// WatchEndpoints implements piernotch.Host.
func (h host) WatchEndpoints() { h.core.emit(WatchDiscovery{}) }

// SetTimer implements piernotch.Host.
func (h host) SetTimer(d time.Duration, token uint32) {
	h.core.timers.At(h.core.now+d, func() { h.core.balancer.Timer(h.core.now, token) })
}
