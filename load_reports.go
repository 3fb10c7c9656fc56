package piernotch

import (
	"math"
	"time"
)

const (
	reportSmoothing   = 1.0 / 4         // weight of one report in a running mean
	reportDecay       = 1.0             // seconds after which a report counts for 1/e
	reportMaxAge      = 3 * time.Second // for which a report counts in the mean of a group
	peakRateRetention = 1 - 1.0/4096    // of the peak completion rate, from one review to the next
)

// loadReports is what a server's reports show of the requests of other balancers there.
type loadReports struct {
	others             float64       // requests of other balancers, in the last report
	completionRate     float64       // completions per second, in the last report
	reportedAt         time.Duration // when the last report came; 0: there was none
	meanOthers         float64       // running mean of others
	meanCompletionRate float64       // running mean of completionRate
}

// record takes a report. It counts this balancer's own requests, too.
func (c *loadReports) record(now time.Duration, load LoadReport, own int) {
	c.others = max(load.Inflight-float64(own), 0)
	c.completionRate = load.CompletedPerSecond
	if c.reportedAt == 0 {
		c.meanOthers, c.meanCompletionRate = c.others, c.completionRate
	}
	c.meanOthers += reportSmoothing * (c.others - c.meanOthers)
	c.meanCompletionRate += reportSmoothing * (c.completionRate - c.meanCompletionRate)
	c.reportedAt = now
}

// estimateOthers returns how many requests of other balancers the server holds by now. The weight of
// the last report decays with its age, in favour of the prior.
func (c *loadReports) estimateOthers(now time.Duration, prior float64) float64 {
	if c.reportedAt == 0 {
		return 0 // no reports: the bounds on this balancer's own requests stand alone
	}
	return prior + math.Exp(-(now-c.reportedAt).Seconds()/reportDecay)*(c.others-prior)
}

// fresh reports whether the last report is new enough to count in a mean.
func (c *loadReports) fresh(now time.Duration) bool {
	return c.reportedAt > 0 && now-c.reportedAt < reportMaxAge
}

// sendersTo returns how many balancers send to the server, if they are spread evenly over the zones.
func (b *Balancer) sendersTo(target *server) float64 {
	if target.locality == remoteZones {
		return float64(b.settings.BalancerCount)
	}
	return max(float64(b.settings.BalancerCount)/float64(max(len(b.settings.Zones), 1)), 1)
}

// updatePeakCompletionRate updates what a warm server of size 1 completes per second for all
// balancers. It decays slowly, because an overloaded fleet completes less than it can.
func (b *Balancer) updatePeakCompletionRate() {
	var rate, size float64
	for _, target := range b.endpoints.sorted {
		if target.warm() && target.reports.reportedAt > 0 && target.State == Ready {
			rate += target.reports.meanCompletionRate
			size += target.Size
		}
	}
	b.peakCompletionRate *= peakRateRetention
	if size > 0 {
		b.peakCompletionRate = max(b.peakCompletionRate, rate/size)
	}
}

// meanInflight returns how many requests of all balancers a warm member of the group holds on the mean, by
// fresh reports; known is false if there is none. Where there never was one, latencies are the measure: an
// answer that takes twice as long as its work found as much work before it.
func (b *Balancer) meanInflight(now time.Duration, g *group) (inflight float64, known bool) {
	reporting := 0.0
	for _, target := range g.members {
		if target.warm() && target.reports.fresh(now) {
			inflight += target.reports.estimateOthers(now, target.reports.meanOthers) + float64(target.inflight)
			reporting++
		}
	}
	if reporting == 0 && b.peakCompletionRate == 0 {
		return b.latencyPerWork, b.latencyPerWork > 0
	}
	return inflight / max(reporting, 1), reporting > 0
}
