package piernotch

import (
	"time"

	"piernotch/internal/decision/concurrency"
	"piernotch/internal/decision/estimate"
	"piernotch/internal/decision/lanes"
	"piernotch/internal/decision/latency"
)

// fewBalancersPerZone is the number of balancers per zone up to which limits on each balancer's own requests
// are enough to protect the servers.
const fewBalancersPerZone = 4.0

// manyBalancers reports whether there are too many balancers per zone for limits on each balancer's own
// requests to protect the servers.
func (b *Balancer) manyBalancers() bool {
	return float64(b.settings.BalancerCount) > fewBalancersPerZone*float64(len(b.settings.Zones))
}

// serverGroup holds the servers of one locality that may get requests.
type serverGroup struct {
	members  []*server   // by ID
	lanes    lanes.Group // of the members, in the same order
	warmSize float64     // sum of the sizes of the warm members

	sendRate estimate.Rate // ms of work per second that this balancer sends to warm members
	latency  latency.Group

	concurrency concurrency.Limit // on this balancer's attempts at warm members
	meanOthers  float64           // mean number of other balancers' requests at a member, from load reports
}

// rebuildGroups assigns the servers that may get requests to their groups, and updates weights and lanes.
func (b *Balancer) rebuildGroups(now time.Duration) {
	b.groupsStale = false
	for i := range b.groups {
		b.groups[i].members = b.groups[i].members[:0]
	}
	if b.allEjected() {
		b.limitPauses()
	}
	options := b.outlierOptions()
	for _, target := range b.endpoints.sorted {
		if target.available() && target.outlier.Eligible(now, options) {
			group := &b.groups[target.locality]
			group.members = append(group.members, target)
		}
	}
	for i := range b.groups {
		b.updateWeights(now, &b.groups[i])
		b.groups[i].lanes.Split(b.laneBalance.LargeShare(b.workload.LargeShare()))
	}
}

// updateWeights sets the weights of a group's members by size, slow start and latency, and updates
// warmSize and meanOthers.
func (b *Balancer) updateWeights(now time.Duration, group *serverGroup) {
	group.warmSize, group.meanOthers = 0, 0
	group.lanes.Reset()
	for _, target := range group.members {
		weight := target.Size * b.slowStart.CapacityShare(now, &target.slowStart)
		weight *= target.latency.WeightFactor(&group.latency)
		group.lanes.Add(&target.member, weight)
		group.meanOthers += target.reports.MeanOthers() / float64(len(group.members))
		if target.warm() {
			group.warmSize += target.Size
		}
	}
}

// adjustConcurrencyLimit adjusts the limit on this balancer's requests in a group to keep the mean number of
// all balancers' requests at a warm member near a target. There is no limit if that mean is unknown or if
// there are few balancers.
func (b *Balancer) adjustConcurrencyLimit(now time.Duration, group *serverGroup) {
	meanInflight, known := b.meanInflight(now, group)
	if known && b.manyBalancers() {
		group.concurrency.Adjust(b.tickInterval, meanInflight)
	} else {
		group.concurrency.Remove(b.tickInterval)
	}
}
