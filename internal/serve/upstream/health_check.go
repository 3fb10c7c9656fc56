package upstream

import (
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
)

// healthCheckTarget is the path at which servers respond to health checks.
const healthCheckTarget = "/ping"

// HealthCheck sends a health check to an endpoint. The core receives
// HealthCheckCompleted, but no event if the check takes longer than
// core.HealthCheckTimeout: the core has a timer for that.
func (u *Upstream) HealthCheck(effect core.HealthCheck) {
	request := &core.RequestMessage{Method: http1.MethodGet, Target: healthCheckTarget}
	check := &attempt{
		healthCheck: true,
		pool:        u.poolFor(effect.To),
		deadline:    u.now() + core.HealthCheckTimeout,
		request:     request,
		class:       http1.FirstSegment(request.Target),
		digest:      digestRequest(request),
	}
	u.healthChecks[check] = struct{}{}
	check.pool.acquire(check)
}

// endOverdueHealthChecks cancels the health checks whose deadline has passed, so that
// they no longer hold a connection. The core has its own timer for their outcome.
func (u *Upstream) endOverdueHealthChecks(now time.Duration) {
	for check := range u.healthChecks {
		if now > check.deadline {
			u.cancel(check)
		}
	}
}
