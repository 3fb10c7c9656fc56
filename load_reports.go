package piernotch

import (
	"time"

	"piernotch/internal/decision/loadreport"
)

// LoadReported handles a server's load report. It ignores reports of unknown servers and reports with a
// figure that is negative or NaN.
func (b *Balancer) LoadReported(now time.Duration, id ServerID, load LoadReport) {
	if target := b.endpoints.find(id); target != nil && load.Inflight >= 0 && load.CompletedPerSecond >= 0 {
		target.reports.Record(now, load.Inflight, load.CompletedPerSecond, target.inflight)
	}
}

// totalInflightReaches reports whether the number of all balancers' requests at a server, estimated from its
// load reports, reaches the limit. With many balancers, a limit on each balancer's own requests would not
// limit the sum.
func (b *Balancer) totalInflightReaches(now time.Duration, target *server, limit float64) bool {
	meanOthers := b.groups[target.locality].meanOthers
	return target.reports.TotalInflight(now, meanOthers, target.inflight) >= limit
}

// sendersTo returns how many balancers send to the server: all if the server is in another zone, otherwise
// those of this zone. It assumes that balancers are spread evenly over the zones.
func (b *Balancer) sendersTo(target *server) float64 {
	if target.locality == remoteZones {
		return float64(b.settings.BalancerCount)
	}
	return max(float64(b.settings.BalancerCount)/float64(max(len(b.settings.Zones), 1)), 1)
}

// updatePeakCompletionRate updates the peak number of requests per second that a warm server of size 1
// completes for all balancers.
func (b *Balancer) updatePeakCompletionRate() {
	var fleet loadreport.Fleet
	for _, target := range b.endpoints.sorted {
		if target.warm() && target.State == Ready {
			fleet.Add(&target.reports, target.Size)
		}
	}
	b.peakCompletionRate.Update(fleet)
}

// meanInflight returns the mean number of requests of all balancers at a warm member of the group, from fresh
// load reports. If there are none, and no server has ever reported a completion rate, the latency per ms of
// work replaces the mean: a response that takes twice as long as its work has waited behind an equal amount
// of work. known is false if neither is available.
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
