// Package loadreport estimates, from the load reports of servers, what all balancers together have there.
//
// A balancer knows its own requests. Those of the others show only in the load reports that servers send
// with their responses: the requests that they hold, and those that they complete per second. With many
// balancers, a bound on each one's own requests would not bound the sum, so that all of them together
// could overload a server of which each alone uses little. A report is some time old when it arrives, and
// a server that nobody sends to does not report at all. An old report must therefore neither keep a server
// out of use nor attract requests: its weight decays with its age.
//
// Reports is what one server reported. GroupMean and Fleet sum up over servers, and PeakRate is what a warm
// server of size 1 completes when it is busy. All of them estimate only; the callers decide. The model is
// the load reporting of Envoy and gRPC (ORCA), with exponentially weighted running means.
//
// Times are durations since the origin of the caller's clock. A report at the origin itself counts as none.
package loadreport

import (
	"math"
	"time"
)

const (
	// smoothing is the weight of one report in a running mean: a mean over about the last four.
	smoothing = 1.0 / 4
	// decayTime is the time in seconds in which the weight of a report falls by a factor of e. By then most
	// of the requests that it counted have got their responses.
	decayTime = 1.0
	// maxAge is the time for which a report counts in a mean over servers.
	maxAge = 3 * time.Second
	// peakRetention is what is left of the peak completion rate from one review to the next: it halves in
	// some 2800 reviews, a minute or more, so that it outlasts an overload.
	peakRetention = 1 - 1.0/4096
)

// Reports is what one server's load reports show. Its zero value is a server that has not reported.
type Reports struct {
	others             float64       // requests of other balancers, in the last report
	completionRate     float64       // completions per second, in the last report
	reportedAt         time.Duration // when the last report came; 0: there was none
	meanOthers         float64       // running mean of others
	meanCompletionRate float64       // running mean of completionRate
}

// Record takes a report. It counts the requests of all balancers; own of them are this balancer's. The
// figures must not be negative or NaN.
func (r *Reports) Record(now time.Duration, inflight, completedPerSecond float64, own int) {
	r.others = max(inflight-float64(own), 0)
	r.completionRate = completedPerSecond
	if r.reportedAt == 0 {
		r.meanOthers, r.meanCompletionRate = r.others, r.completionRate
	}
	r.meanOthers += smoothing * (r.others - r.meanOthers)
	r.meanCompletionRate += smoothing * (r.completionRate - r.meanCompletionRate)
	r.reportedAt = now
}

// Received reports whether the server has ever reported.
func (r *Reports) Received() bool { return r.reportedAt > 0 }

// Fresh reports whether the last report is new enough to count in a mean over servers.
func (r *Reports) Fresh(now time.Duration) bool {
	return r.Received() && now-r.reportedAt < maxAge
}

// LastOthers returns the number of other balancers' requests in the last report.
func (r *Reports) LastOthers() float64 { return r.others }

// LastCompletionRate returns the completions per second in the last report.
func (r *Reports) LastCompletionRate() float64 { return r.completionRate }

// MeanOthers returns the running mean of other balancers' requests. It is 0 without reports.
func (r *Reports) MeanOthers() float64 { return r.meanOthers }

// MeanCompletionRate returns the running mean of the completions per second. It is 0 without reports.
func (r *Reports) MeanCompletionRate() float64 { return r.meanCompletionRate }

// estimateOthers returns how many requests of other balancers the server holds by now. The weight of the
// last report decays with its age, in favour of the prior.
func (r *Reports) estimateOthers(now time.Duration, prior float64) float64 {
	if !r.Received() {
		return 0 // the bounds on this balancer's own requests stand alone
	}
	return prior + math.Exp(-(now-r.reportedAt).Seconds()/decayTime)*(r.others-prior)
}

// TotalInflight returns how many requests of all balancers the server holds by now; own of them are this
// balancer's. An old report is replaced by the lesser of the server's mean and its group's.
func (r *Reports) TotalInflight(now time.Duration, groupMeanOthers float64, own int) float64 {
	prior := min(r.meanOthers, groupMeanOthers)
	return r.estimateOthers(now, prior) + float64(own)
}

// GroupMean is the mean of the requests that servers hold, by fresh reports. Its zero value is that of no
// server.
type GroupMean struct {
	inflight  float64 // sum over the servers
	reporting float64 // servers
}

// Add counts a server; own of its requests are this balancer's. One without a fresh report is left out.
func (m *GroupMean) Add(now time.Duration, r *Reports, own int) {
	if !r.Fresh(now) {
		return
	}
	m.inflight += r.estimateOthers(now, r.meanOthers) + float64(own)
	m.reporting++
}

// Inflight returns the mean; known is false if no server was counted.
func (m *GroupMean) Inflight() (mean float64, known bool) {
	return m.inflight / max(m.reporting, 1), m.reporting > 0
}

// Fleet sums up what servers complete per second. Its zero value is that of no server.
type Fleet struct {
	completionRate float64
	size           float64
}

// Add counts a server of the size. One that has not reported is left out.
func (f *Fleet) Add(r *Reports, size float64) {
	if r.Received() {
		f.completionRate += r.meanCompletionRate
		f.size += size
	}
}

// PeakRate is the most that a warm server of size 1 completed per second lately, for all balancers. In its
// zero value it is not known. An overloaded fleet completes less than it can, so the peak falls slowly.
type PeakRate struct {
	perSecond float64
}

// PerSecond returns the peak completion rate; 0 if it is not known.
func (p *PeakRate) PerSecond() float64 { return p.perSecond }

// Update updates the peak by what the warm servers complete now.
func (p *PeakRate) Update(warm Fleet) {
	p.perSecond *= peakRetention
	if warm.size > 0 {
		p.perSecond = max(p.perSecond, warm.completionRate/warm.size)
	}
}

// Restore takes the peak of another process, unless the own one is higher.
func (p *PeakRate) Restore(perSecond float64) { p.perSecond = max(p.perSecond, perSecond) }
