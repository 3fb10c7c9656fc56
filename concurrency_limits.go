package piernotch

import (
	"math"
	"time"
)

const (
	targetInflight      = 1.5  // all balancers' requests at a server, on the mean of its group
	limitAdjustTime     = 0.35 // seconds in which the limit on a group changes by a factor of e, at most
	fewBalancersPerZone = 4.0  // up to so many, each one's own bounds suffice
)

// manyBalancers reports whether there are too many balancers for each one's own bounds to suffice.
func (b *Balancer) manyBalancers() bool {
	return float64(b.settings.BalancerCount) > fewBalancersPerZone*float64(len(b.settings.Zones))
}

// adjustInflightLimit moves the limit on this balancer's requests in a group towards what keeps the mean of
// its servers at the target. If all balancers do so, they reach it together, however many they are.
func (b *Balancer) adjustInflightLimit(now time.Duration, g *group) {
	dt := b.tickInterval.Seconds()
	g.peakInflight = max(float64(g.inflight), g.peakInflight*math.Exp(-dt))
	inflight, known := b.meanInflight(now, g)
	if !known || !b.manyBalancers() {
		g.inflightLimit = math.Inf(1)
		return
	}
	adjustment := min(max(math.Log(targetInflight/max(inflight, targetInflight/8)), -1), 1)
	reachable := min(g.inflightLimit, 2*g.peakInflight+targetInflight)
	g.inflightLimit = max(reachable*math.Exp(adjustment*dt/limitAdjustTime), 1)
}

// atInflightLimit reports whether the group's warm servers have all that this balancer may send there.
func (g *group) atInflightLimit() bool { return float64(g.inflight) >= g.inflightLimit }
