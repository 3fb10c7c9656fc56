package piernotch

import (
	"time"

	"piernotch/internal/decision/latency"
)

// observeLatency updates the latency estimates (overall, of the group, of the server and of the path to its
// zone) from one response or timeout. It returns the queueing delay in ms: the latency beyond the request's
// work, at most the objective.
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

// expectedLatency returns the expected latency of the request at the server, in ms. The estimate comes from
// this balancer's own requests there. With many balancers, a second estimate comes from a fresh load report,
// and the larger of the two counts.
func (b *Balancer) expectedLatency(now time.Duration, request *openRequest, target *server) float64 {
	ms := target.latency.Expected(target.backlog+request.work, &b.latency)
	reports := &target.reports
	if b.manyBalancers() && reports.Fresh(now) && reports.MeanCompletionRate() > 0 {
		inflight := reports.MeanOthers() + float64(target.inflight)
		ms = max(ms, latency.ByLittlesLaw(inflight, reports.MeanCompletionRate()))
	}
	return ms
}

// silenceTimeout returns the time after which an attempt with that work, in ms, is overdue at a server of the
// group.
func (b *Balancer) silenceTimeout(group *serverGroup, work float64) time.Duration {
	return group.latency.SilenceTimeout(work, b.shortestObjective)
}

// effectiveLoad returns the estimated number of this balancer's requests that are at the server, and not in
// transit to or from it.
func (b *Balancer) effectiveLoad(target *server) float64 {
	return target.latency.EffectiveLoad(target.inflight, b.workload.Mean(), target.path)
}
