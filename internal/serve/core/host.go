package core

import (
	"log/slog"
	"time"

	"piernotch"
)

// host carries out the module's decisions; it implements [piernotch.Host]. The module is not
// reentrant, and calls host from its own methods. host therefore defers all calls into the module.
type host struct{ core *Core }

var _ piernotch.Host = host{}

// StartAttempt implements piernotch.Host.
func (h host) StartAttempt(id piernotch.RequestID, to piernotch.ServerID, timeout time.Duration) {
	request := h.core.requests[id]
	server := h.core.servers[to]
	if request == nil || server == nil {
		slog.Error("attempt for unknown request or server", "request", id, "server", to)
		return
	}
	h.core.startAttempt(request, server, timeout)
}

// CancelAttempt implements piernotch.Host.
func (h host) CancelAttempt(id piernotch.RequestID, attemptNumber int) {
	number := AttemptNumber(attemptNumber)
	if request, attempt := h.core.findAttempt(AttemptRef{id, number}); attempt != nil {
		h.core.cancelAttempt(request, number, piernotch.Cancelled)
	}
}

// Reject implements piernotch.Host.
func (h host) Reject(id piernotch.RequestID, retryAfter time.Duration) {
	if request := h.core.requests[id]; request != nil {
		h.finish(request, Respond{Result: Rejected, RetryAfter: retryAfter})
	}
}

// Fail implements piernotch.Host.
func (h host) Fail(id piernotch.RequestID) {
	if request := h.core.requests[id]; request != nil {
		h.finish(request, Respond{Result: Failed, LastStatus: request.lastStatus})
	}
}

// finish responds to a request and releases it after the module's current call has returned.
func (h host) finish(request *request, response Respond) {
	h.core.respond(request, response)
	h.core.deferCall(func() { h.core.release(request) })
}

// HealthCheck implements piernotch.Host.
func (h host) HealthCheck(id piernotch.ServerID) {
	if server := h.core.servers[id]; server != nil {
		h.core.startHealthCheck(server)
	}
}

// WatchEndpoints implements piernotch.Host.
func (h host) WatchEndpoints() { h.core.emit(WatchDiscovery{}) }

// SetTimer implements piernotch.Host.
func (h host) SetTimer(delay time.Duration, token uint32) {
	h.core.timers.At(h.core.now+delay, func() { h.core.balancer.Timer(h.core.now, token) })
}
