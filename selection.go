package piernotch

import (
	"time"

	"piernotch/internal/decision/lanes"
)

const (
	objectiveShare         = 0.9  // the expected latency is within this share of the time left
	minSpillers            = 3.0  // balancers of other zones that may spill to one server, at least
	spillerShare           = 0.1  // the same as a share of all balancers
	totalInflightBound     = 6.0  // all balancers' requests at a server, for each unit of maxLoad
	totalInflightBoundKey  = 8.0  // all balancers' requests, if the request's key may be cached there
	totalInflightBoundLast = 10.0 // all balancers' requests, if no other server has capacity
	turnRounds             = 3    // of a lane's members, in search of one with the credit for a turn
)

// selectionLevel is a group whose members may get a request up to a load of this balancer's.
type selectionLevel struct {
	locality locality
	maxLoad  float64 // exclusive
}

// selectionLevels returns the levels that are tried in turn: the own zone, up to a small load, and then the
// others. Requests beyond that load wait here and not in a server's queue, so that they can still go to
// whichever server is free first. The loads are small because all balancers' requests add up at a server:
// the fewer balancers may spill to one, the more requests each of them may.
func selectionLevels(balancers int) []selectionLevel {
	levels := []selectionLevel{{localZone, 1}, {localZone, 2}, {remoteZones, 1}}
	for load := 2.0; load*float64(balancers-1) <= minSpillers && load < minSpillers; load++ {
		levels = append(levels, selectionLevel{remoteZones, load})
	}
	return levels
}

// search is the choice of a server in one lane of a group.
type search struct {
	now     time.Duration
	request *request
	group   *group
	lane    lanes.Lane
	maxLoad float64 // exclusive bound on the effective load
}

// selectServer tries the levels in turn, in each of them the request's own lane first.
func (b *Balancer) selectServer(now time.Duration, r *request) *server {
	for _, level := range b.levels {
		g := &b.groups[level.locality]
		if len(g.members) == 0 {
			continue
		}
		for _, lane := range [2]lanes.Lane{r.lane, r.lane.Other()} {
			s := search{now: now, request: r, group: g, lane: lane, maxLoad: level.maxLoad}
			if target := b.rendezvousPick(s); target != nil {
				return target
			}
			if target := b.weightedRoundRobin(s); target != nil {
				return target
			}
		}
	}
	return b.leastExpectedLatency(now, r)
}

// weightedRoundRobin takes turns within the lane. A server of less weight misses some of its turns. One
// without capacity misses all of them, and they are neither given to its neighbour nor made up for later.
func (b *Balancer) weightedRoundRobin(s search) *server {
	group, laneLength := s.group, s.group.lanes.Len(s.lane)
	var fallback *server // has capacity, but not yet the credit for a turn
	for i := range turnRounds * laneLength {
		index, lacksCredit := group.lanes.NextTurn(s.lane)
		target := group.members[index]
		noneHasCapacity := i >= laneLength && fallback == nil
		if noneHasCapacity || !b.canServeInTime(s, target, totalInflightBound*s.maxLoad) {
			continue
		}
		if lacksCredit {
			if fallback == nil {
				fallback = target
			}
			continue
		}
		group.lanes.TakeTurn(index)
		return target
	}
	return fallback
}

// rendezvousPick returns the server that probably has the request's key cached: from the ids alone, all
// balancers agree on it. It returns nil if there is no key, or that server is slow or has no capacity.
func (b *Balancer) rendezvousPick(s search) *server {
	if !b.settings.KeyAffinity || s.request.Key == 0 {
		return nil
	}
	target := s.group.members[s.group.lanes.MemberForKey(s.lane, s.request.Key)]
	if target.latency.Slow(&s.group.latency) || !b.canServeInTime(s, target, totalInflightBoundKey) {
		return nil
	}
	return target
}

// leastExpectedLatency is the last resort, if no server with capacity is likely to meet the objective.
func (b *Balancer) leastExpectedLatency(now time.Duration, r *request) *server {
	var best *server
	for _, level := range b.levels[1:] {
		for _, target := range b.groups[level.locality].members {
			if !b.hasCapacity(now, target, level.maxLoad, totalInflightBoundLast) ||
				b.failsClass(now, r, target) || r.attemptedOn(target) || !b.mayStartAttempt(now, r, target) {
				continue
			}
			late := b.manyBalancers() && !b.meetsObjective(now, r, target)
			if !late && (best == nil || b.expectedLatency(now, r, target) < b.expectedLatency(now, r, best)) {
				best = target
			}
		}
	}
	return best
}

// canServeInTime reports whether the server may get the request and is likely to meet its objective.
func (b *Balancer) canServeInTime(s search, target *server, maxTotal float64) bool {
	return b.hasCapacity(s.now, target, s.maxLoad, maxTotal) && b.meetsObjective(s.now, s.request, target) &&
		!s.request.attemptedOn(target) && b.mayStartAttempt(s.now, s.request, target)
}

// hasCapacity reports whether the server is below the bounds on this balancer's load and on all requests.
func (b *Balancer) hasCapacity(now time.Duration, target *server, maxLoad, maxTotal float64) bool {
	return b.effectiveLoad(target) < maxLoad && !b.reservedForOtherZones(target) &&
		!b.totalInflightReaches(now, target, maxTotal)
}

// failsClass reports whether the server fails this class but serves others.
func (b *Balancer) failsClass(now time.Duration, r *request, target *server) bool {
	return target.classFailures.Avoid(now, r.Class, r.class.LatencyObjective)
}

// meetsObjective reports whether the server is likely to answer in time, with what is queued there.
func (b *Balancer) meetsObjective(now time.Duration, r *request, target *server) bool {
	left := objectiveShare * float64(r.objective-now) / float64(time.Millisecond)
	return !b.failsClass(now, r, target) && b.expectedLatency(now, r, target) <= left
}

// spills reports whether a request to the server leaves this zone though it has servers.
func (b *Balancer) spills(target *server) bool {
	return target.locality == remoteZones && len(b.groups[localZone].members) > 0
}

// reservedForOtherZones reports whether only others may spill to the server: all together would overload it.
func (b *Balancer) reservedForOtherZones(target *server) bool {
	return b.spills(target) && target.spillRank*float64(b.settings.BalancerCount-1) > b.maxSpillers
}
