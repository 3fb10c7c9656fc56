package simulation

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The first of the planned events is popped, also while more are planned.
func TestEventQueuePopsInOrderOfTime(t *testing.T) {
	var q eventQueue
	rng := rand.New(rand.NewPCG(2, 2))
	now := time.Duration(0)
	for range 3000 {
		q.plan(time.Duration(rng.IntN(1000000)), priorityMessage, eventScript, 0, 0)
	}
	for range 100000 {
		e, ok := q.pop()
		require.True(t, ok)
		require.GreaterOrEqual(t, e.at, now)
		now = e.at
		q.plan(now+time.Duration(rng.IntN(1000000)), priorityMessage, eventScript, 0, 0)
	}
}

func TestEventQueueOrdersByTimePriorityAndPlanning(t *testing.T) {
	var q eventQueue
	rng := rand.New(rand.NewPCG(1, 1))
	var want []plannedEvent
	for i := range 5000 {
		at, prio := time.Duration(rng.IntN(50)), uint8(rng.IntN(9))
		q.plan(at, prio, eventScript, uint64(i), 0)
		want = append(want, plannedEvent{at: at, order: uint64(prio)<<56 | uint64(i+1), id: uint64(i)})
		if rng.IntN(3) == 0 {
			e, _ := q.pop()
			want = slices.DeleteFunc(want, func(w plannedEvent) bool { return w.id == e.id })
		}
	}
	slices.SortFunc(want, func(x, y plannedEvent) int {
		if x.before(&y) {
			return -1
		}
		return 1
	})
	for _, w := range want {
		e, ok := q.pop()
		require.True(t, ok)
		require.Equal(t, w.id, e.id)
	}
	_, ok := q.pop()
	require.False(t, ok)
}
