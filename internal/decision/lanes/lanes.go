// Package lanes shares a group of servers out between light and heavy requests, and takes turns among the
// servers of a share.
//
// It decides which member of a group is next, from the members' weights, and which part of the weight each
// of the two lanes has, from the share of the work that is heavy and from how often responses are late in
// each lane. The caller decides whether the member that is next can take the request.
//
// The two lanes prevent head of line blocking: a light request that waits behind a heavy one takes many
// times its own work. Servers for requests of a size are known as size-based task assignment (Harchol-Balter,
// Crovella and Murta, 1999). The turns are weighted round robin with credit, as in deficit round robin
// (Shreedhar and Varghese, 1996). The member for a key is found by rendezvous hashing (Thaler and
// Ravishankar, 1996): all balancers find the same one without exchanging anything, and when a member
// leaves, only its own keys move.
//
// A member's weight and credit belong to this package alone.
package lanes

import (
	"math"
	"math/rand/v2"

	"piernotch/internal/decision/estimate"
)

// Lane is one of the two shares of a group.
type Lane uint8

// The lanes.
const (
	Small Lane = iota // requests up to the median cost hint, or without one
	Large             // requests above it
)

const laneCount = 2

// Other returns the other lane.
func (lane Lane) Other() Lane { return Large - lane }

// fullCredit is the credit that a turn costs, and the most that a member saves up: turns that it missed
// while it had no capacity are not made up for later.
const fullCredit = 1.0

// Member is a server as a member of groups. It outlives their rebuilds, so that its credit does.
type Member struct {
	idHash uint64
	weight float64
	credit float64 // towards its next turn
}

// NewMember returns the member for the server of that id, without credit.
func NewMember(id uint64) Member { return Member{idHash: estimate.MixBits(id)} }

// Group is the members among which a request's server is chosen, in the order in which they were added.
// The large lane has the first of them, the small lane the last, and the one at the split point is in both
// with a part of its weight in each. The methods that take turns need a group that is not empty.
type Group struct {
	members       []*Member
	weight        float64            // sum of the members'
	split         int                // the last member of the large lane and the first of the small one
	largePart     float64            // share of that member's weight that is the large lane's
	position      [laneCount]int     // in each lane, of its last turn
	maxLaneWeight [laneCount]float64 // greatest weight in each lane
}

// NewGroup returns an empty group. It draws the position of each lane: balancers that start together would
// otherwise choose the same servers at the same time.
func NewGroup(rng *rand.Rand) Group {
	return Group{position: [laneCount]int{rng.IntN(math.MaxInt32), rng.IntN(math.MaxInt32)}}
}

// Reset removes all members. Their credit stays.
func (g *Group) Reset() { g.members, g.weight = g.members[:0], 0 }

// Add appends a member with its weight, which must be positive. Split has to follow the last Add.
func (g *Group) Add(member *Member, weight float64) {
	member.weight = weight
	g.members = append(g.members, member)
	g.weight += weight
}

// Split gives the large lane the first members, up to that share of the weight.
func (g *Group) Split(largeShare float64) {
	if len(g.members) == 0 {
		return
	}
	left := largeShare * g.weight
	g.split = 0
	for g.split < len(g.members)-1 && left > g.members[g.split].weight {
		left -= g.members[g.split].weight
		g.split++
	}
	shared := g.members[g.split].weight
	g.largePart = min(left/shared, 1)
	g.maxLaneWeight[Large] = max(greatestWeight(g.members[:g.split]), shared*g.largePart)
	g.maxLaneWeight[Small] = max(greatestWeight(g.members[g.split+1:]), shared*(1-g.largePart))
}

// greatestWeight returns the greatest weight of the members, or 0 if there is none.
func greatestWeight(members []*Member) float64 {
	greatest := 0.0
	for _, member := range members {
		greatest = max(greatest, member.weight)
	}
	return greatest
}

// Len returns the number of members in a lane.
func (g *Group) Len(lane Lane) int {
	if lane == Large {
		return g.split + 1
	}
	return len(g.members) - g.split
}

// first returns the index in the group of a lane's first member.
func (g *Group) first(lane Lane) int {
	if lane == Large {
		return 0
	}
	return g.split
}

// laneWeight returns the weight in a lane of the lane's member i.
func (g *Group) laneWeight(lane Lane, i int) float64 {
	member := g.members[g.first(lane)+i]
	switch {
	case lane == Small && i == 0:
		return member.weight * (1 - g.largePart)
	case lane == Large && i == g.split:
		return member.weight * g.largePart
	}
	return member.weight
}

// NextTurn moves the lane to its next member and gives that member the credit for a turn: all of it for
// the heaviest in the lane, less for others in proportion. It returns the member's index in the group, and
// whether its credit is less than a request costs: a member of less weight misses some of its turns.
func (g *Group) NextTurn(lane Lane) (index int, lacksCredit bool) {
	turn := (g.position[lane] + 1) % g.Len(lane)
	g.position[lane] = turn
	index = g.first(lane) + turn
	member := g.members[index]
	member.credit = min(member.credit+g.laneWeight(lane, turn)/g.maxLaneWeight[lane], fullCredit)
	return index, member.credit < fullCredit
}

// TakeTurn takes the credit of a turn from a member that got a request.
func (g *Group) TakeTurn(index int) { g.members[index].credit -= fullCredit }

// MemberForKey returns the index in the group of the lane's member that rendezvous hashing assigns the
// key to.
func (g *Group) MemberForKey(lane Lane, key uint64) (index int) {
	first := g.first(lane)
	index = first
	var highest uint64
	for i, member := range g.members[first : first+g.Len(lane)] {
		if hash := estimate.MixBits(key ^ member.idHash); hash > highest {
			index, highest = first+i, hash
		}
	}
	return index
}
