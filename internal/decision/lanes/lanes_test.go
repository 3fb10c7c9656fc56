package lanes

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// newTestGroup returns a group of members with these weights and the ids 1, 2, 3 and so on.
func newTestGroup(largeShare float64, weights ...float64) *Group {
	group := NewGroup(rand.New(rand.NewPCG(1, 2)))
	for i, weight := range weights {
		member := NewMember(uint64(i + 1))
		group.Add(&member, weight)
	}
	group.Split(largeShare)
	return &group
}

func TestSplitGivesLanesTheirShareOfWeight(t *testing.T) {
	for name, c := range map[string]struct {
		largeShare   float64
		weights      []float64
		small, large int // members in the lane
	}{
		"halves":               {0.5, []float64{1, 1, 1, 1}, 3, 2},
		"within a member":      {0.6, []float64{1, 1, 1, 1}, 2, 3},
		"by weight":            {0.5, []float64{3, 1, 1, 1}, 4, 1},
		"all to the large":     {1, []float64{1, 1, 1}, 1, 3},
		"more than there is":   {1.5, []float64{1, 1, 1}, 1, 3},
		"a member serves both": {0.5, []float64{1}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			group := newTestGroup(c.largeShare, c.weights...)
			require.Equal(t, c.small, group.Len(Small))
			require.Equal(t, c.large, group.Len(Large))
			require.Equal(t, Small, Large.Other())
			require.Equal(t, Large, Small.Other())
		})
	}
}

func TestTurnsFollowWeights(t *testing.T) {
	for name, c := range map[string]struct {
		lane       Lane
		largeShare float64
		weights    []float64
		want       []float64 // each member's share of the requests
	}{
		"equal":              {Large, 1, []float64{1, 1, 1, 1}, []float64{0.25, 0.25, 0.25, 0.25}},
		"one of less weight": {Large, 1, []float64{1, 0.5, 1}, []float64{0.4, 0.2, 0.4}},
		"large lane":         {Large, 0.375, []float64{1, 1, 1, 1}, []float64{0.667, 0.333, 0, 0}},
		"small lane":         {Small, 0.375, []float64{1, 1, 1, 1}, []float64{0, 0.2, 0.4, 0.4}},
	} {
		t.Run(name, func(t *testing.T) {
			const requests = 3000
			group := newTestGroup(c.largeShare, c.weights...)
			got := make([]float64, len(c.weights))
			for taken := 0; taken < requests; {
				if index, lacksCredit := group.NextTurn(c.lane); !lacksCredit {
					group.TakeTurn(index)
					got[index] += 1.0 / requests
					taken++
				}
			}
			require.InDeltaSlice(t, c.want, got, 0.01)
		})
	}
}

func TestMissedTurnsAreNotMadeUpFor(t *testing.T) {
	group := newTestGroup(1, 1, 1)
	for range 100 { // no member has capacity
		group.NextTurn(Large)
	}
	group.TakeTurn(0)
	require.Less(t, group.members[0].credit, fullCredit)
	group.Reset()
	require.Empty(t, group.members)
}

func TestMemberForKeyMovesOnlyKeysOfLeavingMember(t *testing.T) {
	const keys = 4000
	all, fewer := newTestGroup(1, 1, 1, 1, 1), newTestGroup(1, 1, 1, 1)
	perMember := make([]int, 4)
	for key := range uint64(keys) {
		index := all.MemberForKey(Large, key)
		perMember[index]++
		if index < 3 {
			require.Equal(t, index, fewer.MemberForKey(Large, key), "key %d", key)
		}
	}
	for index, count := range perMember {
		require.InDelta(t, keys/4, count, keys/40, "member %d", index)
	}
	half := newTestGroup(0.5, 1, 1, 1, 1)
	for key := range uint64(100) {
		require.GreaterOrEqual(t, half.MemberForKey(Small, key), 1)
		require.LessOrEqual(t, half.MemberForKey(Large, key), 1)
	}
}

func TestBalanceMovesSplitTowardsLateLaneWithinBounds(t *testing.T) {
	for name, c := range map[string]struct {
		late Lane
		want float64 // the large lane's share; its share of the work is 0.6
	}{
		"the small lane gets twice its share at most": {Small, 0.6 - 0.4},
		"the small lane keeps half of its share":      {Large, 0.6 + 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			var balance Balance
			require.Equal(t, 0.6, balance.LargeShare(0.6))
			for range 200 {
				for lane := range Lane(laneCount) {
					balance.Observe(Response{Lane: lane, Late: lane == c.late, MaxStep: 0.05, LargeWorkShare: 0.6})
				}
			}
			require.InDelta(t, c.want, balance.LargeShare(0.6), 1e-9)
		})
	}
}
