package upstream

import (
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
)

// healthCheckTarget is where feed servers answer health checks.
const healthCheckTarget = "/ping"

// HealthCheck sends a health check to an endpoint. The core receives
// HealthCheckCompleted, unless none comes within core.HealthCheckTimeout, which the
// core times itself.
func (u *Upstream) HealthCheck(effect core.HealthCheck) {
	a := &attempt{
		healthCheck: true,
		pool:        u.poolFor(effect.To),
		deadline:    u.now() + core.HealthCheckTimeout,
		request:     &Request{Method: http1.MethodGet, Target: healthCheckTarget},
	}
	u.healthChecks[a] = struct{}{}
	a.pool.acquire(a)
}

// endOverdueHealthChecks cancels the health checks that were not answered in
// time. The core has timed them out by itself; what is ended here is the silent
// server's hold on the connection.
func (u *Upstream) endOverdueHealthChecks(now time.Duration) {
	for a := range u.healthChecks {
		if now > a.deadline {
			u.cancel(a)
		}
	}
}
