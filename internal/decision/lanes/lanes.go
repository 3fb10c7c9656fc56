// Package lanes divides a group of servers into two lanes, one for light and one for heavy requests, and
// chooses the next server of a lane.
//
// The lanes prevent head-of-line blocking: a light request that waits behind a heavy one takes many times
// its own work. Reserving servers by request size is known as size-based task assignment (Harchol-Balter,
// Crovella and Murta, 1999). Each lane's part of the group's weight follows from the share of the work that
// is heavy and from how often responses are late in each lane.
//
// Within a lane, servers take turns by weighted round robin with credit, as in deficit round robin
// (Shreedhar and Varghese, 1996). The caller decides whether the server whose turn it is can take the
// request. The server for a key is found by rendezvous hashing (Thaler and Ravishankar, 1996): all balancers
// find the same server without exchanging anything, and when a server leaves, only its own keys move.
//
// Only this package changes a member's weight and credit.
package lanes

import (
	"math"
	"math/rand/v2"

	"piernotch/internal/decision/estimate"
)

// Lane is one of the two parts of a group.
type Lane uint8

// The lanes of a group, by the requests that they take.
const (
	Small Lane = iota // requests up to the median cost hint, or without one
	Large             // requests with a cost hint above the median
)

const laneCount = 2

// Other returns Large for Small and Small for Large.
func (lane Lane) Other() Lane { return Large - lane }

// fullCredit is what a turn costs, and the most credit that a member saves up. A member that had no capacity
// for its turns therefore does not make up for them later.
const fullCredit = 1.0

// Member is a server in its role as a member of groups. It outlives the rebuilds of a group, so that its
// credit is kept.
type Member struct {
	idHash uint64
	weight float64
	credit float64 // towards its next turn
}

// NewMember returns the member for the server with the given id, without credit.
func NewMember(id uint64) Member { return Member{idHash: estimate.MixBits(id)} }

// Group holds the members among which the server of a request is chosen, in the order of their addition.
// The large lane has the first members and the small lane the last ones. The member at the split point,
// last in the large lane and first in the small lane, has a part of its weight in each. NextTurn, TakeTurn
// and MemberForKey need a group that is not empty.
type Group struct {
	members       []*Member
	weight        float64            // sum of the members' weights
	split         int                // index of the member that is in both lanes
	largePart     float64            // fraction of members[split]'s weight that the large lane has
	position      [laneCount]int     // index in each lane of the member with the last turn; random at first
	maxLaneWeight [laneCount]float64 // greatest weight of a member in each lane
}

// NewGroup returns an empty group. It draws the starting position of each lane from rng: balancers that
// start together would otherwise choose the same servers at the same time.
func NewGroup(rng *rand.Rand) Group {
	return Group{position: [laneCount]int{rng.IntN(math.MaxInt32), rng.IntN(math.MaxInt32)}}
}

// Reset removes all members. They keep their credit.
func (g *Group) Reset() { g.members, g.weight = g.members[:0], 0 }

// Add appends a member with its weight, which must be positive. Split must be called after the last Add.
func (g *Group) Add(member *Member, weight float64) {
	member.weight = weight
	g.members = append(g.members, member)
	g.weight += weight
}

// Split gives the first members to the large lane, up to largeShare of the group's weight, and the rest to
// the small lane.
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

// greatestWeight returns the greatest weight of the members, or 0 if there are none.
func greatestWeight(members []*Member) float64 {
	greatest := 0.0
	for _, member := range members {
		greatest = max(greatest, member.weight)
	}
	return greatest
}

// Len returns the number of members in a lane of a group that is not empty. The member at the split point
// counts in both lanes.
func (g *Group) Len(lane Lane) int {
	if lane == Large {
		return g.split + 1
	}
	return len(g.members) - g.split
}

// first returns the index in the group of the first member of a lane.
func (g *Group) first(lane Lane) int {
	if lane == Large {
		return 0
	}
	return g.split
}

// laneWeight returns the weight that a member has in a lane; i is the member's index within the lane.
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

// NextTurn moves the lane to its next member and gives that member credit: a full turn for the heaviest
// member of the lane, less for others in proportion to their weight. It returns the member's index in the
// group, and whether the member lacks the credit for a request: members of less weight miss some turns.
func (g *Group) NextTurn(lane Lane) (index int, lacksCredit bool) {
	turn := (g.position[lane] + 1) % g.Len(lane)
	g.position[lane] = turn
	index = g.first(lane) + turn
	member := g.members[index]
	member.credit = min(member.credit+g.laneWeight(lane, turn)/g.maxLaneWeight[lane], fullCredit)
	return index, member.credit < fullCredit
}

// TakeTurn charges a member, given by its index in the group, for a request that it got.
func (g *Group) TakeTurn(index int) { g.members[index].credit -= fullCredit }

// MemberForKey returns the member of the lane to which rendezvous hashing assigns the key, as its index in
// the group.
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
