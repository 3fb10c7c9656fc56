package piernotch

import (
	"time"

	"piernotch/internal/decision/lanes"
)

const (
	objectiveShare         = 0.9  // limit on the expected latency, as a share of the time to the objective
	minSpillers            = 3.0  // least number of other zones' balancers that may spill to a server
	spillerShare           = 0.1  // the same as a share of all balancers; the larger number counts
	totalInflightBound     = 6.0  // limit on all balancers' requests at a server, per unit of maxLoad
	totalInflightBoundKey  = 8.0  // limit on all balancers' requests at a server that may have cached the key
	totalInflightBoundLast = 10.0 // limit on all balancers' requests at a server, in leastExpectedLatency
	maxTurnRounds          = 3    // passes over a lane in search of a member with enough credit
)

// Load limits of the selection levels. A server may get a request while its load is below the limit. The load
// is the number of this balancer's requests at the server, without those in transit.
const (
	idleLoad = 1.0 // none of this balancer's requests is at the server
	// lightLoad allows a second request, which keeps the server from idling when the first ends.
	lightLoad = 2.0
)

// selectionLevel is the group of a locality and the load below which its members may get a request.
type selectionLevel struct {
	locality locality
	maxLoad  float64 // exclusive limit on the effective load
}

// selectionLevels returns the levels in the order in which they are tried: the own zone up to a small load,
// then the other zones. Requests beyond these loads wait in the balancer and not in a server's queue, so that
// they can go to whichever server is free first. The loads are small because the requests of all balancers
// add up at a server. If only few balancers may spill to a server, each of them may send more requests there.
func selectionLevels(balancers int) []selectionLevel {
	levels := []selectionLevel{{localZone, idleLoad}, {localZone, lightLoad}, {remoteZones, idleLoad}}
	for load := lightLoad; load*float64(balancers-1) <= minSpillers && load < minSpillers; load++ {
		levels = append(levels, selectionLevel{remoteZones, load})
	}
	return levels
}

// laneSearch is the search for a server in one lane of a group.
type laneSearch struct {
	now     time.Duration
	request *openRequest
	group   *serverGroup
	lane    lanes.Lane
	maxLoad float64 // exclusive limit on the effective load
}

// selectServer returns the server for the request, or nil if none can take it now. It tries the levels in
// order, and in each of them the request's own lane before the other lane; leastExpectedLatency comes last.
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

// weightedRoundRobin returns the lane's next server that can serve the request in time, or nil. A server
// with a lower weight misses some of its turns. A server without capacity misses all of them; these turns are
// neither given to its neighbour nor made up for later.
func (b *Balancer) weightedRoundRobin(search laneSearch) *server {
	group, laneLength := search.group, search.group.lanes.Len(search.lane)
	var fallback *server // has capacity, but not enough credit for a turn
	for i := range maxTurnRounds * laneLength {
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

// rendezvousPick returns the server that probably has the request's key cached. Rendezvous hashing needs only
// the key and the server IDs, so that all balancers agree on the server. The result is nil if there is no
// key, or if that server is slow, has no capacity or is not expected to respond in time.
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

// leastExpectedLatency returns the server with the lowest expected latency, or nil. It is the last resort
// after the levels: it compares the servers with capacity in both localities, with totalInflightBoundLast as
// the limit on all balancers' requests. With few balancers, it also accepts servers that are likely to miss
// the objective.
func (b *Balancer) leastExpectedLatency(now time.Duration, request *openRequest) *server {
	var best *server
	least := 0.0 // expected latency of best, ms
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

// canServeInTime reports whether the server may get the request and is likely to respond within the request's
// objective.
func (b *Balancer) canServeInTime(search laneSearch, target *server, maxTotal float64) bool {
	now, request := search.now, search.request
	return b.hasCapacity(now, target, search.maxLoad, maxTotal) && b.meetsObjective(now, request, target) &&
		!request.attemptedOn(target) && b.mayStartAttempt(now, request, target)
}

// hasCapacity reports whether the server can take another request: the load from this balancer is below
// maxLoad, the number of all balancers' requests is below maxTotal, and spilling there is not left to other
// balancers.
func (b *Balancer) hasCapacity(now time.Duration, target *server, maxLoad, maxTotal float64) bool {
	return b.effectiveLoad(target) < maxLoad && !b.spillForbidden(target) &&
		!b.totalInflightReaches(now, target, maxTotal)
}

// failsClass reports whether the server fails requests of this class but serves other classes.
func (b *Balancer) failsClass(now time.Duration, request *openRequest, target *server) bool {
	return target.classFailures.Avoid(now, request.Class, request.class.LatencyObjective)
}

// meetsObjective reports whether the server is likely to respond within the objective, including the wait
// behind the requests queued at the server.
func (b *Balancer) meetsObjective(now time.Duration, request *openRequest, target *server) bool {
	left := objectiveShare * float64(request.objective-now) / float64(time.Millisecond)
	return !b.failsClass(now, request, target) && b.expectedLatency(now, request, target) <= left
}

// spills reports whether a request to the server leaves this balancer's zone although servers in that zone
// may get requests.
func (b *Balancer) spills(target *server) bool {
	return target.locality == remoteZones && len(b.groups[localZone].members) > 0
}

// spillForbidden reports whether this balancer must not spill to the server, because spilling there is
// left to other balancers. If all balancers spilled to one server, they would overload it.
func (b *Balancer) spillForbidden(target *server) bool {
	return b.spills(target) && target.spillRank*float64(b.settings.BalancerCount-1) > b.maxSpillers
}
