package upstream

import (
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
)

// healthCheckTarget is where servers respond to health checks.
const healthCheckTarget = "/ping"

// HealthCheck sends a health check to an endpoint. The core receives
// HealthCheckCompleted, unless none comes within core.HealthCheckTimeout, which the
// core times itself.
func (u *Upstream) HealthCheck(effect core.HealthCheck) {
	check := &attempt{
		healthCheck: true,
		pool:        u.poolFor(effect.To),
		deadline:    u.now() + core.HealthCheckTimeout,
		request:     &core.RequestMessage{Method: http1.MethodGet, Target: healthCheckTarget},
	}
	u.healthChecks[check] = struct{}{}
	check.pool.acquire(check)
}

// endOverdueHealthChecks cancels the health checks that were not responded to in
// time. The core has timed them out by itself; what is ended here is their use of
// a connection.
func (u *Upstream) endOverdueHealthChecks(now time.Duration) {
	for check := range u.healthChecks {
		if now > check.deadline {
			u.cancel(check)
		}
	}
}
