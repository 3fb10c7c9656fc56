package piernotch

import (
	"math"
	"time"
)

const (
	reportSmoothing   = 1.0 / 4         // of one report in a running mean
	reportDecay       = 1.0             // seconds after which a report counts for 1/e of what it did
	reportMaxAge      = 3 * time.Second // and this long for the mean of a group
	peakRateRetention = 1 - 1.0/4096    // of what is usual, from one survey to the next
)

// loadReports is what others have at a backend, by its reports.
type loadReports struct {
	others             float64       // requests of others that it held when it last said
	completionRate     float64       // answers a second that it last said
	reportedAt         time.Duration // when that was; 0: never
	meanOthers         float64       // running mean of others
	meanCompletionRate float64       // running mean of the answers a second
}

// record takes a report. own is what this proxy has there, which the report counts, too.
func (c *loadReports) record(now time.Duration, load LoadReport, own int) {
	c.others, c.completionRate = max(load.Inflight-float64(own), 0), load.CompletedPerSecond
	if c.reportedAt == 0 {
		c.meanOthers, c.meanCompletionRate = c.others, c.completionRate
	}
	c.meanOthers += reportSmoothing * (c.others - c.meanOthers)
	c.meanCompletionRate += reportSmoothing * (c.completionRate - c.meanCompletionRate)
	c.reportedAt = now
}

// estimateOthers is how many requests of others the backend holds by now. A report is old when it
// comes and is trusted less and less: after that, prior is as good a guess.
func (c *loadReports) estimateOthers(now time.Duration, prior float64) float64 {
	if c.reportedAt == 0 {
		return 0 // nothing was ever said: the bounds on what is one's own stand alone
	}
	return prior + math.Exp(-(now-c.reportedAt).Seconds()/reportDecay)*(c.others-prior)
}

// fresh tells whether the backend has said so lately that its word stands for a mean.
func (c *loadReports) fresh(now time.Duration) bool {
	return c.reportedAt > 0 && now-c.reportedAt < reportMaxAge
}

// sendersTo is how many proxies send to a backend, if they are spread evenly over the zones.
func (b *Balancer) sendersTo(to *backend) float64 {
	if to.locality == 1 {
		return float64(b.settings.BalancerCount)
	}
	return max(float64(b.settings.BalancerCount)/float64(max(len(b.settings.Zones), 1)), 1)
}

// updatePeakCompletionRate learns what a warm backend of size 1 answers a second, for all proxies. It
// wanes slowly: a fleet in distress answers less than it can.
func (b *Balancer) updatePeakCompletionRate() {
	var rate, size float64
	for _, to := range b.sorted {
		if to.slowStartSince < 0 && to.reports.reportedAt > 0 && to.State == Ready {
			rate, size = rate+to.reports.meanCompletionRate, size+to.Size
		}
	}
	b.peakCompletionRate *= peakRateRetention
	if size > 0 {
		b.peakCompletionRate = max(b.peakCompletionRate, rate/size)
	}
}

// meanInflight is what a warm member of the group holds on the mean, for all proxies, going by
// those that have lately said; known is false if none has. Where none ever says anything, answers
// tell: one that takes twice as long as its work found as much before it.
func (b *Balancer) meanInflight(now time.Duration, g *group) (held float64, known bool) {
	said := 0.0
	for _, to := range g.members {
		if to.slowStartSince < 0 && to.reports.fresh(now) {
			held += to.reports.estimateOthers(now, to.reports.meanOthers) + float64(to.inflight)
			said++
		}
	}
	if said == 0 && b.peakCompletionRate == 0 {
		return b.latencyPerWork, b.latencyPerWork > 0
	}
	return held / max(said, 1), said > 0
}
