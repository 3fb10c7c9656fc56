package piernotch

import (
	"time"

	"piernotch/internal/decision/loadreport"
)

// LoadReported takes a server's load report. It ignores unknown servers, negative figures and NaN.
func (b *Balancer) LoadReported(now time.Duration, id ServerID, load LoadReport) {
	if target := b.endpoints.find(id); target != nil && load.Inflight >= 0 && load.CompletedPerSecond >= 0 {
		target.reports.Record(now, load.Inflight, load.CompletedPerSecond, target.inflight)
	}
}

// totalInflightReaches reports whether all balancers together have so many requests at a server, by its load
// reports: with many balancers, a bound on each one's own requests would not bound the sum.
func (b *Balancer) totalInflightReaches(now time.Duration, target *server, most float64) bool {
	meanOthers := b.groups[target.locality].meanOthers
	return target.reports.TotalInflight(now, meanOthers, target.inflight) >= most
}

// sendersTo returns how many balancers send to the server, if they are spread evenly over the zones.
func (b *Balancer) sendersTo(target *server) float64 {
	if target.locality == remoteZones {
		return float64(b.settings.BalancerCount)
	}
	return max(float64(b.settings.BalancerCount)/float64(max(len(b.settings.Zones), 1)), 1)
}

// updatePeakCompletionRate updates what a warm server of size 1 completes per second for all balancers.
func (b *Balancer) updatePeakCompletionRate() {
	var fleet loadreport.Fleet
	for _, target := range b.endpoints.sorted {
		if target.warm() && target.State == Ready {
			fleet.Add(&target.reports, target.Size)
		}
	}
	b.peakCompletionRate.Update(fleet)
}

// meanInflight returns how many requests of all balancers a warm member of the group holds on the mean, by
// fresh reports; known is false if there is none. Where there never was one, latencies are the measure: an
// response that takes twice as long as its work found as much work before it.
func (b *Balancer) meanInflight(now time.Duration, group *serverGroup) (inflight float64, known bool) {
	var mean loadreport.GroupMean
	for _, target := range group.members {
		counts := target.warm() && target.reports.Fresh(now)
		if counts {
			mean.Add(now, &target.reports, target.inflight)
		}
	}
	inflight, known = mean.Inflight()
	neverReported := !known && b.peakCompletionRate.PerSecond() == 0
	if neverReported {
		return b.latency.PerWork(), b.latency.PerWork() > 0
	}
	return inflight, known
}
