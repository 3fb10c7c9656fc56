package piernotch

import "fmt"

// String returns the state in one line, for the log. docs/ONCALL.md explains its keys to operators.
func (b *Balancer) String() string {
	text := fmt.Sprintf("open=%d shed_share=%.2f latency_per_work=%.2f retry_budget=%.1f "+
		"median_cost_hint=%.1f mean_work=%.1f peak_completion_rate=%.1f",
		len(b.requests.open), b.admission.ShedShare(), b.latency.PerWork(), b.retryBudget.Left(),
		b.workload.MedianHint(), b.workload.Mean(), b.peakCompletionRate.PerSecond())
	for i := range b.groups {
		group := &b.groups[i]
		inSlowStart := 0
		for _, target := range group.members {
			if !target.warm() {
				inSlowStart++
			}
		}
		text += fmt.Sprintf(" | members=%d slow_start=%d inflight=%d inflight_limit=%.1f "+
			"others_inflight=%.1f late_share=%.2f queueing_delay=%.0f latency=%.0f",
			len(group.members), inSlowStart, group.concurrency.Inflight(), group.concurrency.Bound(),
			group.meanOthers, b.admission.LateShare(i), group.latency.QueueingMean(), group.latency.Mean())
	}
	return text
}
