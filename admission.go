package piernotch

import (
	"math"
	"time"
)

// waitOrReject lets a request wait for the next sweep, unless that would come too late.
func (b *Balancer) waitOrReject(now time.Duration, r *request) {
	needs := min(time.Duration(r.work*b.latencyPerWork*float64(time.Millisecond)), r.class.LatencyObjective/2)
	if now+2*b.tickInterval >= min(b.attemptDeadline(r)-needs, r.queueDeadline) || b.queueTooLong(now, r) {
		b.rejectOrFail(r)
	}
}

func (b *Balancer) newRequest(now time.Duration, in Request) *request {
	var r *request
	if n := len(b.freeRequests); n > 0 {
		r, b.freeRequests = b.freeRequests[n-1], b.freeRequests[:n-1]
	} else {
		r = &request{}
	}
	c := &b.settings.Classes[in.Class]
	*r = request{Request: in, class: c, openIndex: len(b.openRequests), attempts: r.attempts[:0]}
	r.objective = min(now+c.LatencyObjective, r.Deadline)
	r.queueDeadline = now + (r.Deadline-now)/2
	r.lane, r.work = 0, in.CostHint
	if !r.hasCostHint() {
		r.work = b.workWithoutHint(in.Class)
	} else if b.hintCount > 0 && in.CostHint > b.medianHint {
		r.lane = 1
	}
	r.priority = 2 * in.Class
	if b.overQuota(now, in.Tenant) {
		r.priority++
	}
	b.openRequests = append(b.openRequests, r)
	b.requests[in.ID] = r
	return r
}

// overQuota takes one request from the tenant's share of this proxy.
func (b *Balancer) overQuota(now time.Duration, tenant int) bool {
	if tenant < 0 || tenant >= len(b.quotas) || b.settings.Tenants[tenant].QuotaPerSec == 0 {
		return false
	}
	return !b.quotas[tenant].take(now, b.settings.Tenants[tenant].QuotaPerSec/float64(b.settings.BalancerCount))
}

// precedes orders what waits: the most worth for its work first, and what came first among
// equals. But a band that gets much less than its part of what is sent goes before the
// others: where there is never room enough, it would get nothing at all.
func (b *Balancer) precedes(r, other *request) bool {
	x, y := &b.priorities[r.priority], &b.priorities[other.priority]
	if x.starved != y.starved {
		return x.starved
	}
	return x.precedence > y.precedence || x.precedence == y.precedence && r.ID < other.ID
}

// dispatchWaiting gives the room that has come free to what waits.
func (b *Balancer) dispatchWaiting(now time.Duration) {
	for {
		var best *request
		for _, r := range b.openRequests {
			if r.done || r.inflight > 0 || r.streaming {
				continue
			}
			if best == nil || b.precedes(r, best) {
				best = r
			}
		}
		if best == nil || !b.dispatch(now, best) {
			return
		}
	}
}

// buildPriorities makes two bands of each class: within its tenants' shares and beyond them.
func (b *Balancer) buildPriorities() {
	b.priorities = nil
	for _, c := range b.settings.Classes {
		b.priorities = append(b.priorities, priorityBand{weight: c.PriorityWeight}, priorityBand{weight: c.PriorityWeight * b.settings.OverQuotaWeight})
	}
	b.updatePrecedence()
}

// updatePrecedence is what each band is worth for its work. Where worth counts by request, light ones go first.
func (b *Balancer) updatePrecedence() {
	for i := range b.priorities {
		b.priorities[i].precedence = b.priorities[i].weight
		if work := b.workWithoutHint(i / 2); b.settings.WeightPerRequest && work > 0 {
			b.priorities[i].precedence /= work
		}
	}
}

// shedStep is how far control may move on one answer. It goes by time, in aims, not
// by answers: what it changes is seen a wait later, and a busy proxy would swing from end
// to end before that. A quiet one still needs some answers to tell chance from trouble.
func (b *Balancer) shedStep(now time.Duration) float64 {
	pace := min((now-b.shedAdjustedAt).Seconds()/b.shortestObjective.Seconds()*shedGain, groupSmoothing)
	b.shedAdjustedAt = now
	return pace
}

// adjustShedding moves shedding by the answers that come late: after half their aim, so
// that there is time to act.
func (b *Balancer) adjustShedding(pace float64, away int, late float64) {
	g, other := &b.groups[away], &b.groups[1-away]
	g.lateShare += groupSmoothing * (late - g.lateShare)
	g.lateUpdatedAt = b.shedAdjustedAt
	// Work is shed only when it comes late wherever it goes: spilling is cheaper.
	step := -pace / 2
	if late > 0 && (len(other.members) == 0 || other.lateShare > 2*groupSmoothing) {
		step = pace
	}
	b.shedShare = min(max(b.shedShare+step, 0), 1)
}

// updatePriorities follows what changes slowly: the bands and, in survey, the backends.
func (b *Balancer) updatePriorities(now time.Duration) {
	// A pass over a large fleet takes its time: it is made every few sweeps there.
	if b.ticks++; b.ticks%(1+len(b.sorted)/backendsPerTick) == 0 {
		b.reviewBackends(now)
	}
	// A proxy that refuses everything sees nothing get better: shedding wanes.
	b.shedShare -= b.shedShare / (ticksPerObjective * ticksPerObjective)
	keep := math.Exp(-b.tickInterval.Seconds())
	var total, got float64
	for i := range b.priorities {
		b.priorities[i].arrived *= keep
		b.priorities[i].forwarded *= keep
		total += b.priorities[i].arrived
		got += b.priorities[i].forwarded
	}
	b.updatePrecedence()
	for i := range b.priorities {
		band, less, equal := &b.priorities[i], 0.0, 0.0 // what is refused before it, and beside it
		for _, other := range b.priorities {
			switch {
			case other.precedence < band.precedence:
				less += other.arrived
			case other.precedence == band.precedence:
				equal += other.arrived
			}
		}
		band.starved = b.manyBalancers() && band.forwarded*total < starvedBelow*band.arrived*got
		if band.rejectShare = 0; equal > 0 {
			band.rejectShare = min(max(b.shedShare*total-less, 0)/equal, 1)
		}
	}
}
