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

// Loads below which a server may get a request at a level: this balancer's requests there, without those in
// transit.
const (
	idle      = 1.0 // it has none
	lightLoad = 2.0 // it has one at most: the next is there when that one ends
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
	levels := []selectionLevel{{localZone, idle}, {localZone, lightLoad}, {remoteZones, idle}}
	for load := lightLoad; load*float64(balancers-1) <= minSpillers && load < minSpillers; load++ {
		levels = append(levels, selectionLevel{remoteZones, load})
	}
	return levels
}

// laneSearch is the choice of a server in one lane of a group.
type laneSearch struct {
	now     time.Duration
	request *openRequest
	group   *serverGroup
	lane    lanes.Lane
	maxLoad float64 // exclusive bound on the effective load
}

// selectServer tries the levels in turn, in each of them the request's own lane first.
func (b *Balancer) selectServer(now time.Duration, request *openRequest) *server {
	for _, level := range b.levels {
		group := &b.groups[level.locality]
		if len(group.members) == 0 {
			continue
		}
		for _, lane := range [2]lanes.Lane{request.lane, request.lane.Other()} {
			search := laneSearch{now: now, request: request, group: group, lane: lane, maxLoad: level.maxLoad}
			if target := b.rendezvousPick(search); target != nil {
				return target
			}
			if target := b.weightedRoundRobin(search); target != nil {
				return target
			}
		}
	}
	return b.leastExpectedLatency(now, request)
}

// weightedRoundRobin takes turns within the lane. A server of less weight misses some of its turns. One
// without capacity misses all of them, and they are neither given to its neighbour nor made up for later.
func (b *Balancer) weightedRoundRobin(search laneSearch) *server {
	group, laneLength := search.group, search.group.lanes.Len(search.lane)
	var fallback *server // has capacity, but not yet the credit for a turn
	for i := range turnRounds * laneLength {
		index, lacksCredit := group.lanes.NextTurn(search.lane)
		target := group.members[index]
		noneHasCapacity := i >= laneLength && fallback == nil
		if noneHasCapacity || !b.canServeInTime(search, target, totalInflightBound*search.maxLoad) {
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
func (b *Balancer) rendezvousPick(search laneSearch) *server {
	if !b.settings.KeyAffinity || search.request.Key == 0 {
		return nil
	}
	target := search.group.members[search.group.lanes.MemberForKey(search.lane, search.request.Key)]
	slow := target.latency.Slow(&search.group.latency)
	if slow || !b.canServeInTime(search, target, totalInflightBoundKey) {
		return nil
	}
	return target
}

// leastExpectedLatency is the last resort, if no server with capacity is likely to meet the objective.
func (b *Balancer) leastExpectedLatency(now time.Duration, request *openRequest) *server {
	var best *server
	least := 0.0 // expected latency of the best, ms
	for _, level := range b.levels[1:] {
		for _, target := range b.groups[level.locality].members {
			allowed := b.hasCapacity(now, target, level.maxLoad, totalInflightBoundLast) &&
				!b.failsClass(now, request, target) && !request.attemptedOn(target) &&
				b.mayStartAttempt(now, request, target)
			if !allowed || b.manyBalancers() && !b.meetsObjective(now, request, target) {
				continue
			}
			if expected := b.expectedLatency(now, request, target); best == nil || expected < least {
				best, least = target, expected
			}
		}
	}
	return best
}

// canServeInTime reports whether the server may get the request and is likely to meet its objective.
func (b *Balancer) canServeInTime(search laneSearch, target *server, maxTotal float64) bool {
	now, request := search.now, search.request
	return b.hasCapacity(now, target, search.maxLoad, maxTotal) && b.meetsObjective(now, request, target) &&
		!request.attemptedOn(target) && b.mayStartAttempt(now, request, target)
}

// hasCapacity reports whether the server is below the bounds on this balancer's load and on all requests.
func (b *Balancer) hasCapacity(now time.Duration, target *server, maxLoad, maxTotal float64) bool {
	return b.effectiveLoad(target) < maxLoad && !b.reservedForOtherZones(target) &&
		!b.totalInflightReaches(now, target, maxTotal)
}

// failsClass reports whether the server fails this class but serves others.
func (b *Balancer) failsClass(now time.Duration, request *openRequest, target *server) bool {
	return target.classFailures.Avoid(now, request.Class, request.class.LatencyObjective)
}

// meetsObjective reports whether the server is likely to respond in time, with what is queued there.
func (b *Balancer) meetsObjective(now time.Duration, request *openRequest, target *server) bool {
	left := objectiveShare * float64(request.objective-now) / float64(time.Millisecond)
	return !b.failsClass(now, request, target) && b.expectedLatency(now, request, target) <= left
}

// spills reports whether a request to the server leaves this zone though it has servers.
func (b *Balancer) spills(target *server) bool {
	return target.locality == remoteZones && len(b.groups[localZone].members) > 0
}

// reservedForOtherZones reports whether only others may spill to the server: all together would overload it.
func (b *Balancer) reservedForOtherZones(target *server) bool {
	return b.spills(target) && target.spillRank*float64(b.settings.BalancerCount-1) > b.maxSpillers
}
