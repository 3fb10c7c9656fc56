package piernotch

import "time"

const (
	objectiveShare         = 0.9  // the expected latency is within this share of the time left
	failsClassShare        = 0.3  // failure share from which a class avoids a backend that serves others
	minSpillers            = 3.0  // balancers of other zones that may spill to one backend, at least
	spillerShare           = 0.1  // the same as a share of all balancers
	totalInflightBound     = 6.0  // all balancers' requests at a backend, for each unit of maxLoad
	totalInflightBoundKey  = 8.0  // all balancers' requests, if the request's key may be cached there
	totalInflightBoundLast = 10.0 // all balancers' requests, if no other backend has capacity
)

// search is the choice of a backend in one lane of a group.
type search struct {
	now     time.Duration
	request *request
	group   *group
	lane    int
	maxLoad float64 // the effective load on the backend is less
}

// dispatch starts an attempt of the request, or returns false if no backend can take it now.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if b.groupsStale {
		b.rebuildGroups(now)
	}
	to := b.selectBackend(now, r)
	if to == nil {
		return false
	}
	b.startAttempt(now, r, to)
	return true
}

// selectBackend tries the levels in turn, in each of them the request's own lane first.
func (b *Balancer) selectBackend(now time.Duration, r *request) *backend {
	for _, level := range b.levels {
		g := &b.groups[level.locality]
		if len(g.members) == 0 {
			continue
		}
		for _, lane := range [2]int{r.lane, 1 - r.lane} {
			s := search{now: now, request: r, group: g, lane: lane, maxLoad: level.maxLoad}
			if to := b.rendezvousPick(s); to != nil {
				return to
			}
			if to := b.weightedRoundRobin(s); to != nil {
				return to
			}
		}
	}
	return b.leastExpectedLatency(now, r)
}

// weightedRoundRobin takes turns within the lane. A backend of less weight misses some of its turns. One
// without capacity misses all of them, and they are neither given to its neighbour nor made up for later.
func (b *Balancer) weightedRoundRobin(s search) *backend {
	g, members := s.group, s.group.laneMembers(s.lane)
	var fallback *backend // has capacity, but not yet the credit for a turn
	for i := range 3 * len(members) {
		turn := (g.nextTurn[s.lane] + 1) % len(members)
		g.nextTurn[s.lane] = turn
		to := members[turn]
		to.credit = min(to.credit+g.laneWeight(s.lane, turn)/g.maxLaneWeight[s.lane], 1)
		noneHasCapacity := i >= len(members) && fallback == nil
		if noneHasCapacity || !b.canServeInTime(s, to, totalInflightBound*s.maxLoad) {
			continue
		}
		if to.credit < 1 {
			if fallback == nil {
				fallback = to
			}
			continue
		}
		to.credit--
		return to
	}
	return fallback
}

// rendezvousPick returns the backend that probably has the request's key cached: from the ids alone, all
// balancers agree on it. It returns nil if there is no key, or that backend is slow or has no capacity.
func (b *Balancer) rendezvousPick(s search) *backend {
	if !b.settings.KeyAffinity || s.request.Key == 0 {
		return nil
	}
	to := rendezvousMember(s.group.laneMembers(s.lane), s.request.Key)
	if to.latency > 2*s.group.latency || !b.canServeInTime(s, to, totalInflightBoundKey) {
		return nil
	}
	return to
}

// leastExpectedLatency is the last resort, if no backend with capacity is likely to meet the objective.
func (b *Balancer) leastExpectedLatency(now time.Duration, r *request) *backend {
	var best *backend
	for _, level := range b.levels[1:] {
		for _, to := range b.groups[level.locality].members {
			if !b.hasCapacity(now, to, level.maxLoad, totalInflightBoundLast) || b.failsClass(now, r, to) ||
				r.attemptedOn(to) || !b.mayStartAttempt(now, r, to) {
				continue
			}
			late := b.manyBalancers() && !b.meetsObjective(now, r, to)
			if !late && (best == nil || b.expectedLatency(now, r, to) < b.expectedLatency(now, r, best)) {
				best = to
			}
		}
	}
	return best
}

// canServeInTime reports whether the backend may get the request and is likely to meet its objective.
func (b *Balancer) canServeInTime(s search, to *backend, maxTotal float64) bool {
	return b.hasCapacity(s.now, to, s.maxLoad, maxTotal) && b.meetsObjective(s.now, s.request, to) &&
		!s.request.attemptedOn(to) && b.mayStartAttempt(s.now, s.request, to)
}

// hasCapacity reports whether the backend is below the bounds on this balancer's load and on all requests.
func (b *Balancer) hasCapacity(now time.Duration, to *backend, maxLoad, maxTotal float64) bool {
	return b.effectiveLoad(to) < maxLoad && !b.reservedForOtherZones(to) &&
		!b.totalInflightReaches(now, to, maxTotal)
}

// failsClass reports whether the backend lately failed this class, but serves others. It gets a try at times.
func (b *Balancer) failsClass(now time.Duration, r *request, to *backend) bool {
	own, least := to.failureShare[r.Class], 1.0
	for class, share := range to.failureShare {
		if class != r.Class {
			least = min(least, share)
		}
	}
	sentLately := now < to.lastSentAt[r.Class]+4*r.class.LatencyObjective
	return own > failsClassShare && own > 3*least && sentLately
}

// meetsObjective reports whether the backend is likely to answer in time, with what is queued there.
func (b *Balancer) meetsObjective(now time.Duration, r *request, to *backend) bool {
	left := objectiveShare * float64(r.objective-now) / float64(time.Millisecond)
	return !b.failsClass(now, r, to) && b.expectedLatency(now, r, to) <= left
}

// spills reports whether a request to the backend leaves this zone though it has backends.
func (b *Balancer) spills(to *backend) bool {
	return to.locality == remoteZones && len(b.groups[localZone].members) > 0
}

// reservedForOtherZones reports whether the backend is left to others' spill: that of all would overload it.
func (b *Balancer) reservedForOtherZones(to *backend) bool {
	return b.spills(to) && to.spillRank*float64(b.settings.BalancerCount-1) > b.maxSpillers
}

// balanceLanes moves the split towards equal lateness in both lanes: to twice or half what the hints say.
func (b *Balancer) balanceLanes(step float64, lane int, late float64) {
	b.lateByLane[lane] += groupSmoothing * (late - b.lateByLane[lane])
	b.laneOffset += step * (b.lateByLane[largeLane] - b.lateByLane[smallLane])
	small := 1 - b.largeWorkShare
	b.laneOffset = min(max(b.laneOffset, -small), small/2)
}

// rebuildGroups assigns the backends that may get requests to the local and the remote group.
func (b *Balancer) rebuildGroups(now time.Duration) {
	b.groupsStale = false
	for i := range b.groups {
		b.groups[i].members = b.groups[i].members[:0]
	}
	for _, to := range b.sorted {
		if to.available() && (to.ejections == 0 || b.trialDue(now, to)) {
			g := &b.groups[to.locality]
			g.members = append(g.members, to)
		}
	}
	for i := range b.groups {
		b.updateWeights(now, &b.groups[i])
		b.groups[i].splitLanes(b.largeWorkShare + b.laneOffset)
	}
}

// updateWeights weighs a group's members by size, slow start and latency, and sums them up.
func (b *Balancer) updateWeights(now time.Duration, g *group) {
	g.weight, g.warmSize, g.meanOthers = 0, 0, 0
	for _, to := range g.members {
		to.weight = to.Size * b.capacityShare(now, to)
		if to.latency > 0 && g.latency > 0 {
			to.weight *= min(max(g.latency/to.latency, 1.0/8), 2)
		}
		g.weight += to.weight
		g.meanOthers += to.reports.meanOthers / float64(len(g.members))
		if to.warm() {
			g.warmSize += to.Size
		}
	}
}

// splitLanes gives the large lane the first members, up to its share of the weight. The member at the
// split point serves both lanes, each with a part of its weight.
func (g *group) splitLanes(largeShare float64) {
	if len(g.members) == 0 {
		return
	}
	left := largeShare * g.weight
	g.laneSplit = 0
	for g.laneSplit < len(g.members)-1 && left > g.members[g.laneSplit].weight {
		left -= g.members[g.laneSplit].weight
		g.laneSplit++
	}
	g.largeLanePart = min(left/g.members[g.laneSplit].weight, 1)
	for lane := range g.maxLaneWeight {
		g.maxLaneWeight[lane] = 0
		for i := range g.laneMembers(lane) {
			g.maxLaneWeight[lane] = max(g.maxLaneWeight[lane], g.laneWeight(lane, i))
		}
	}
}
