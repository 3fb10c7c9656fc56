package piernotch

import "time"

// fewBalancersPerZone is the number of balancers for each zone up to which each one's own bounds suffice.
const fewBalancersPerZone = 4.0

// manyBalancers reports whether there are too many balancers for each one's own bounds to suffice.
func (b *Balancer) manyBalancers() bool {
	return float64(b.settings.BalancerCount) > fewBalancersPerZone*float64(len(b.settings.Zones))
}

// adjustConcurrencyLimit moves the limit on this balancer's requests in a group by the mean of all balancers'
// requests at its servers. Few balancers need no limit.
func (b *Balancer) adjustConcurrencyLimit(now time.Duration, g *group) {
	meanInflight, known := b.meanInflight(now, g)
	if known && b.manyBalancers() {
		g.concurrency.Adjust(b.tickInterval, meanInflight)
	} else {
		g.concurrency.Remove(b.tickInterval)
	}
}
