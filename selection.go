package piernotch

import "time"

// dispatch sends r to a backend, or leaves it waiting for room.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if b.groupsStale {
		b.rebuildGroups(now)
	}
	for _, level := range b.levels {
		if to := b.pickInGroup(now, r, &b.groups[level.locality], level.maxLoad); to != nil {
			b.startAttempt(now, r, to)
			return true
		}
	}
	if to := b.leastExpectedLatency(now, r); to != nil {
		b.startAttempt(now, r, to)
		return true
	}
	return false
}

// pickInGroup takes the next backend of the request's lane, or else of the other lane.
func (b *Balancer) pickInGroup(now time.Duration, r *request, g *group, depth float64) *backend {
	if len(g.members) == 0 {
		return nil
	}
	for _, lane := range [2]int{r.lane, 1 - r.lane} {
		if to := b.rendezvousPick(now, r, g, lane, depth); to != nil {
			return to
		}
		if to := b.weightedRoundRobin(now, r, g, lane, depth); to != nil {
			return to
		}
	}
	return nil
}

// weightedRoundRobin is round robin in one lane. A backend of less weight is passed over on some of its
// turns, and one that holds its bound on all of them: nobody's on the first, nobody's later.
func (b *Balancer) weightedRoundRobin(now time.Duration, r *request, g *group, lane int, depth float64) *backend {
	members := g.laneMembers(lane)
	var fallback *backend
	for i := range 3 * len(members) {
		g.nextTurn[lane] = (g.nextTurn[lane] + 1) % len(members)
		to := members[g.nextTurn[lane]]
		to.credit = min(to.credit+g.laneWeight(lane, g.nextTurn[lane])/g.maxLaneWeight[lane], 1)
		if i >= len(members) && fallback == nil || b.effectiveLoad(to) >= depth || b.reservedForOtherZones(to) ||
			b.totalInflightReaches(now, to, totalInflightBound*depth) || !b.meetsObjective(now, r, to) || !b.mayStartAttempt(now, r, to) || r.attemptedOn(to) {
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

// rendezvousPick is the turn of a request whose key makes it cheap where it was lately
// met: each key has a backend of the lane that all proxies find alike, from the
// ids alone, and takes its turn there unless that one is slow or holds its bound.
func (b *Balancer) rendezvousPick(now time.Duration, r *request, g *group, lane int, depth float64) *backend {
	if !b.settings.KeyAffinity || r.Key == 0 {
		return nil
	}
	var best *backend
	var most uint64
	for _, to := range g.laneMembers(lane) {
		if h := mixBits(r.Key ^ to.idHash); best == nil || h > most {
			best, most = to, h
		}
	}
	if b.effectiveLoad(best) >= depth || b.reservedForOtherZones(best) || best.latency > 2*g.latency || r.attemptedOn(best) {
		return nil
	}
	if b.totalInflightReaches(now, best, totalInflightBoundKey) || !b.meetsObjective(now, r, best) || !b.mayStartAttempt(now, r, best) {
		return nil
	}
	return best
}

// leastExpectedLatency is off the ordinary path: no backend with room is likely to answer in
// time, so the request goes to the one that is expected to be done first.
func (b *Balancer) leastExpectedLatency(now time.Duration, r *request) *backend {
	var best *backend
	for _, level := range b.levels[1:] {
		for _, to := range b.groups[level.locality].members {
			if b.effectiveLoad(to) >= level.maxLoad || b.totalInflightReaches(now, to, totalInflightBoundLast) || b.reservedForOtherZones(to) ||
				b.failsClass(now, r, to) || b.manyBalancers() && !b.meetsObjective(now, r, to) || r.attemptedOn(to) || !b.mayStartAttempt(now, r, to) {
				continue
			}
			if best == nil || b.expectedLatency(now, r, to) < b.expectedLatency(now, r, best) {
				best = to
			}
		}
	}
	return best
}

// failsClass tells whether the backend answers other classes but leaves this one
// without, but for a request now and then that tries it again.
func (b *Balancer) failsClass(now time.Duration, r *request, to *backend) bool {
	own, least := to.failureShare[r.Class], 1.0
	for class, share := range to.failureShare {
		if class != r.Class {
			least = min(least, share)
		}
	}
	return own > failsClassShare && own > 3*least && now < to.lastSentAt[r.Class]+4*r.class.LatencyObjective
}

// meetsObjective tells whether the backend is likely to answer in time. A heavy request on
// a slow backend is late for certain, and so is a light one behind it.
func (b *Balancer) meetsObjective(now time.Duration, r *request, to *backend) bool {
	return !b.failsClass(now, r, to) && b.expectedLatency(now, r, to) <= objectiveShare*float64(r.objective-now)/float64(time.Millisecond)
}

// reservedForOtherZones tells whether a backend elsewhere is left to the spill of other proxies:
// the bounds of all of them together must not crowd it.
func (b *Balancer) reservedForOtherZones(to *backend) bool {
	return to.locality == 1 && len(b.groups[0].members) > 0 && to.spillRank*float64(b.settings.BalancerCount-1) > b.maxSpillers
}

// balanceLanes moves the split point towards equal lateness in both lanes: hints are rough.
func (b *Balancer) balanceLanes(pace float64, lane int, late float64) {
	b.lateByLane[lane] += groupSmoothing * (late - b.lateByLane[lane])
	b.laneOffset += pace * (b.lateByLane[1] - b.lateByLane[0])
	small := 1 - b.largeWorkShare
	b.laneOffset = min(max(b.laneOffset, -small), small/2) // at most twice and at least half of what the hints say
}

// rebuildGroups sorts the ready backends into own zone and elsewhere.
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
	b.groups[0].updateWeights(b, now)
	b.groups[1].updateWeights(b, now)
}

// updateWeights sets the weights of a group's backends and parts its lanes so that the
// large lane's share of the weight matches its share of the work. The backend at
// the split point serves both, each with a part of its weight.
func (g *group) updateWeights(b *Balancer, now time.Duration) {
	g.weight, g.warmSize, g.meanOthers = 0, 0, 0
	for _, to := range g.members {
		to.weight = to.Size * b.capacityShare(now, to)
		if to.latency > 0 && g.latency > 0 {
			to.weight *= min(max(g.latency/to.latency, 1.0/8), 2)
		}
		g.weight += to.weight
		g.meanOthers += to.reports.meanOthers / float64(len(g.members))
		if to.slowStartSince < 0 {
			g.warmSize += to.Size
		}
	}
	if len(g.members) == 0 {
		return
	}
	left := (b.largeWorkShare + b.laneOffset) * g.weight
	for g.laneSplit = 0; g.laneSplit < len(g.members)-1 && left > g.members[g.laneSplit].weight; g.laneSplit++ {
		left -= g.members[g.laneSplit].weight
	}
	g.largeLanePart = min(left/g.members[g.laneSplit].weight, 1)
	for lane := range g.maxLaneWeight {
		g.maxLaneWeight[lane] = 0
		for i := range g.laneMembers(lane) {
			g.maxLaneWeight[lane] = max(g.maxLaneWeight[lane], g.laneWeight(lane, i))
		}
	}
}

// laneMembers returns the backends of a lane. The one at the split point is in both.
func (g *group) laneMembers(lane int) []*backend {
	if lane == 1 {
		return g.members[:g.laneSplit+1]
	}
	return g.members[g.laneSplit:]
}

// laneWeight is the weight of a lane's backend i for that lane.
func (g *group) laneWeight(lane, i int) float64 {
	switch {
	case lane == 0 && i == 0:
		return g.members[g.laneSplit].weight * (1 - g.largeLanePart)
	case lane == 1 && i == g.laneSplit:
		return g.members[i].weight * g.largeLanePart
	case lane == 1:
		return g.members[i].weight
	}
	return g.members[g.laneSplit+i].weight
}
