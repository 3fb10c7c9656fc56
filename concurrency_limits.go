package piernotch

import (
	"math"
	"time"
)

// LoadReported takes a backend's load report.
func (b *Balancer) LoadReported(now time.Duration, id BackendID, load LoadReport) {
	if to := b.backends[id]; to != nil && load.Inflight >= 0 && load.CompletedPerSecond >= 0 {
		to.reports.record(now, load, to.inflight)
	}
}

// totalInflightReaches tells whether all proxies together have so many requests at a backend. What one
// proxy has there is no bound on that, once there are many: it takes the backend's word.
func (b *Balancer) totalInflightReaches(now time.Duration, to *backend, most float64) bool {
	return to.reports.estimateOthers(now, min(to.reports.meanOthers, b.groups[to.locality].meanOthers))+float64(to.inflight) >= most
}

// manyBalancers tells whether there are too many proxies for the bounds on their own to do.
func (b *Balancer) manyBalancers() bool {
	return float64(b.settings.BalancerCount) > fewBalancersPerZone*float64(len(b.settings.Zones))
}

// adjustInflightLimit moves the limit on what this proxy has in a group towards what lets a backend
// there hold the aim. If all proxies do so, all together reach it, however many they are:
// none needs to know that. A mean over a group is worth more than a single old report.
func (b *Balancer) adjustInflightLimit(now time.Duration, g *group) {
	dt := b.tickInterval.Seconds()
	g.peakInflight = max(float64(g.inflight), g.peakInflight*math.Exp(-dt))
	held, known := b.meanInflight(now, g)
	if !known || !b.manyBalancers() {
		g.inflightLimit = math.Inf(1)
		return
	}
	turn := min(max(math.Log(targetInflight/max(held, targetInflight/8)), -1), 1)
	g.inflightLimit = max(min(g.inflightLimit, 2*g.peakInflight+targetInflight)*math.Exp(turn*dt/limitAdjustTime), 1)
}

// atInflightLimit tells whether this proxy has as much at the group's warm backends as it may.
func (g *group) atInflightLimit() bool { return float64(g.inflight) >= g.inflightLimit }
