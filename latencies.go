package piernotch

import (
	"time"

	"piernotch/internal/decision/latency"
)

// observeLatency updates the latency estimates of all, of the group, of the server and of the path to it by
// one response, and returns its latency beyond the request's work in ms, at most the objective.
func (b *Balancer) observeLatency(
	request *openRequest, target *server, took time.Duration,
) (queueing float64) {
	estimates := latency.Estimates{
		Overall: &b.latency, Group: &b.groups[target.locality].latency,
		Server: &target.latency, Path: target.path,
	}
	return estimates.Record(latency.Response{
		Latency: took, Objective: request.class.LatencyObjective,
		Work: request.work, MeanWork: b.workload.Mean(),
	})
}

// expectedLatency returns how long the server will probably take for the request, in ms: by this balancer's
// own requests there and, if there are many balancers, by its load reports.
func (b *Balancer) expectedLatency(now time.Duration, request *openRequest, target *server) float64 {
	ms := target.latency.Expected(target.backlog+request.work, &b.latency)
	reports := &target.reports
	if b.manyBalancers() && reports.Fresh(now) && reports.MeanCompletionRate() > 0 {
		inflight := reports.MeanOthers() + float64(target.inflight)
		ms = max(ms, latency.ByLittlesLaw(inflight, reports.MeanCompletionRate()))
	}
	return ms
}

// silenceTimeout returns how long a response for that much work may take before it is overdue.
func (b *Balancer) silenceTimeout(group *serverGroup, work float64) time.Duration {
	return group.latency.SilenceTimeout(work, b.shortestObjective)
}

// effectiveLoad returns how many of this balancer's requests the server holds, without those in transit.
func (b *Balancer) effectiveLoad(target *server) float64 {
	return target.latency.EffectiveLoad(target.inflight, b.workload.Mean(), target.path)
}
