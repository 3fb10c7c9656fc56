package piernotch

import (
	"math"
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	pathMinAnswers = 64   // answers from which the latency of the path to a zone is known
	pathMaxShare   = 0.75 // of the requests in flight that count as in transit, at most
)

// observeLatency updates the latency estimates of all, of the group and of the server by one answer, and
// returns its latency beyond the request's work in ms, at most the objective. Estimates of latency are for
// a request of mean work, so that the lanes compare.
func (b *Balancer) observeLatency(r *request, target *server, took time.Duration) (queueing float64) {
	ms := took.Seconds() * 1000
	queueing = min(max(ms-r.work, 0), r.class.LatencyObjective.Seconds()*1000)
	typical := max(ms-r.work, -b.workload.Mean()/2) + b.workload.Mean()
	g := &b.groups[target.locality]
	if g.latency == 0 {
		g.latency, g.queueingMean, g.queueingDeviation = typical, queueing, queueing/2
	}
	if target.latency == 0 {
		target.latency = g.latency
	}
	if target.path.answerCount == 0 || ms < target.path.fastestAnswer {
		target.path.fastestAnswer = ms
	}
	target.path.answerCount++
	target.latency += estimate.ServerSmoothing * (typical - target.latency)
	b.latencyPerWork = estimate.FollowRatio(b.latencyPerWork, ms, r.work, estimate.GroupSmoothing*r.work/b.workload.Mean())
	target.latencyPerWork = estimate.FollowRatio(target.latencyPerWork, ms, r.work, estimate.ServerSmoothing*r.work/b.workload.Mean())
	g.latency += estimate.GroupSmoothing * (typical - g.latency)
	g.queueingDeviation += estimate.GroupSmoothing * (math.Abs(queueing-g.queueingMean) - g.queueingDeviation)
	g.queueingMean += estimate.GroupSmoothing * (queueing - g.queueingMean)
	return queueing
}

// warmSendRate returns the work per second that this balancer sends to a warm server of size 1. What
// arrives is no measure of that: by clients' retries it is a multiple of any capacity. A few servers left
// warm in a zone may be overloaded: they count as half of the zone. If none is warm, the mean counts.
func (b *Balancer) warmSendRate(now time.Duration) float64 {
	most := 0.0
	for i := range b.groups {
		g := &b.groups[i]
		if fullSize := b.endpoints.fullSize[i]; fullSize > 0 {
			most = max(most, g.sendRate.PerSecond(now)/max(g.warmSize, fullSize/2))
		}
	}
	return max(most, b.sendRate.PerSecond(now)/max(b.endpoints.fullSize[localZone]+b.endpoints.fullSize[remoteZones], 1))
}

// expectedLatency returns how long the server will probably take for the request, in ms: by this balancer's
// own requests there and, if there are many balancers, by its load reports (Little's law: requests held over
// completions per second).
func (b *Balancer) expectedLatency(now time.Duration, r *request, target *server) float64 {
	perWork := target.latencyPerWork
	if perWork == 0 {
		perWork = b.latencyPerWork
	}
	ms := (target.backlog + r.work) * perWork
	c := &target.reports
	if b.manyBalancers() && c.Fresh(now) && c.MeanCompletionRate() > 0 {
		ms = max(ms, 1000*(c.MeanOthers()+float64(target.inflight))/c.MeanCompletionRate())
	}
	return ms
}

// silenceTimeout returns how long an answer for that much work may take before it is overdue.
func (b *Balancer) silenceTimeout(g *group, work float64) time.Duration {
	ms := 2*work + g.queueingMean + silenceDeviations*g.queueingDeviation
	if g.latency == 0 {
		ms = 2*work + float64(b.shortestObjective)/float64(time.Millisecond)
	}
	return estimate.Milliseconds(ms)
}

// effectiveLoad returns how many of this balancer's requests the server holds. The others in flight are
// in transit: where that takes long, a bound on all of them would leave the server idle. The transit time
// of a zone is its fastest answer's latency less a light request's work. It never rises, so that a jam
// does not look like a long path. A request that is mostly in transit makes no room for another.
func (b *Balancer) effectiveLoad(target *server) float64 {
	transit := target.path.fastestAnswer - b.workload.Mean()/4
	if target.path.answerCount < pathMinAnswers || transit <= b.workload.Mean()/4 || target.latency <= 0 {
		return float64(target.inflight)
	}
	return float64(target.inflight)*(1-min(transit/target.latency, pathMaxShare)) + 0.25
}
