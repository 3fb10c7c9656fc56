// Package loadreport estimates, from the load reports of servers, how many requests all balancers together
// have at each server and how many a server completes.
//
// A balancer knows only its own requests. The requests of other balancers show in the load reports that
// servers send with their responses: the number of requests in flight at the server, and the number
// completed per second. With many balancers, a bound on each one's own requests would not bound the sum:
// together they could overload a server to which each sends few requests. A report is already old when it
// arrives, and a server that gets no requests does not report at all. An old report must therefore neither
// keep a server out of use nor attract requests: its weight decays with its age.
//
// Reports holds what one server reported. GroupMean is a mean and Fleet a sum over servers. PeakRate is the
// recent peak of the completion rate of warm servers, per unit of size. These types only estimate; the
// callers decide. The model is the load reporting of Envoy and gRPC (ORCA), with exponentially weighted
// moving averages.
//
// Times are durations since the origin of the caller's clock. A report at the origin itself counts as none.
package loadreport

import (
	"math"
	"time"
)

const (
	// smoothing is the weight of one report in a running mean, which covers about the last four reports.
	smoothing = 1.0 / 4
	// decayTime is the time, in seconds, in which the weight of a report falls by a factor of e. By then
	// most of the requests that the report counted have been answered.
	decayTime = 1.0
	// maxAge is the age from which a report no longer counts in a mean over servers.
	maxAge = 3 * time.Second
	// peakRetention is the factor on the peak completion rate at each update. The peak halves in some 2800
	// updates, a minute or more, so that it outlasts an overload.
	peakRetention = 1 - 1.0/4096
)

// Reports holds what one server's load reports show. Its zero value is a server that has not reported.
type Reports struct {
	others             float64       // requests of other balancers, in the last report
	completionRate     float64       // completions per second, in the last report
	reportedAt         time.Duration // when the last report arrived; 0: never
	meanOthers         float64       // running mean of others
	meanCompletionRate float64       // running mean of completionRate
}

// Record takes a load report: inflight counts the requests of all balancers at the server, own those of this
// balancer. The figures must not be negative or NaN.
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

// Fresh reports whether the last report is recent enough to count in a mean over servers.
func (r *Reports) Fresh(now time.Duration) bool {
	return r.Received() && now-r.reportedAt < maxAge
}

// LastOthers returns the number of other balancers' requests in the last report.
func (r *Reports) LastOthers() float64 { return r.others }

// LastCompletionRate returns the completions per second in the last report.
func (r *Reports) LastCompletionRate() float64 { return r.completionRate }

// MeanOthers returns the running mean of the number of other balancers' requests; 0 without reports.
func (r *Reports) MeanOthers() float64 { return r.meanOthers }

// MeanCompletionRate returns the running mean of the completions per second; 0 without reports.
func (r *Reports) MeanCompletionRate() float64 { return r.meanCompletionRate }

// estimateOthers estimates how many requests of other balancers the server has now. As the last report
// ages, the estimate moves from the report's figure to prior.
func (r *Reports) estimateOthers(now time.Duration, prior float64) float64 {
	if !r.Received() {
		return 0 // not known: only the bounds on this balancer's own requests apply
	}
	return prior + math.Exp(-(now-r.reportedAt).Seconds()/decayTime)*(r.others-prior)
}

// TotalInflight estimates how many requests of all balancers the server has now; own of them are this
// balancer's. As the last report ages, its figure gives way to the lower of two means of other balancers'
// requests: the server's and its group's. Without a report, it returns own.
func (r *Reports) TotalInflight(now time.Duration, groupMeanOthers float64, own int) float64 {
	prior := min(r.meanOthers, groupMeanOthers)
	return r.estimateOthers(now, prior) + float64(own)
}

// GroupMean is the mean number of all balancers' requests in flight at the servers with a fresh report. Its
// zero value counts no server.
type GroupMean struct {
	inflight  float64 // sum over the counted servers
	reporting float64 // number of counted servers
}

// Add counts a server if it has a fresh report; own of its requests are this balancer's.
func (m *GroupMean) Add(now time.Duration, r *Reports, own int) {
	if !r.Fresh(now) {
		return
	}
	m.inflight += r.estimateOthers(now, r.meanOthers) + float64(own)
	m.reporting++
}

// Inflight returns the mean number of requests in flight; known is false if no server was counted.
func (m *GroupMean) Inflight() (mean float64, known bool) {
	return m.inflight / max(m.reporting, 1), m.reporting > 0
}

// Fleet sums up the completion rates and sizes of servers. Its zero value counts no server.
type Fleet struct {
	completionRate float64
	size           float64
}

// Add counts a server of the given size if it has ever reported.
func (f *Fleet) Add(r *Reports, size float64) {
	if r.Received() {
		f.completionRate += r.meanCompletionRate
		f.size += size
	}
}

// PeakRate is the recent peak of the completions per second of warm servers, per unit of size, for all
// balancers together. Its zero value means unknown. The peak falls slowly, because an overloaded fleet
// completes fewer requests than it can.
type PeakRate struct {
	perSecond float64
}

// PerSecond returns the peak completion rate; 0 if it is unknown.
func (p *PeakRate) PerSecond() float64 { return p.perSecond }

// Update lets the peak decay by one step and raises it to the present rate of the warm servers, if that is
// higher.
func (p *PeakRate) Update(warm Fleet) {
	p.perSecond *= peakRetention
	if warm.size > 0 {
		p.perSecond = max(p.perSecond, warm.completionRate/warm.size)
	}
}

// Restore raises the peak to perSecond, the peak of another process, if that is higher.
func (p *PeakRate) Restore(perSecond float64) { p.perSecond = max(p.perSecond, perSecond) }
