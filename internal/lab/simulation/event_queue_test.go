package simulation

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Events are popped in order of time, also while further events are scheduled.
func TestEventQueuePopsInOrderOfTime(t *testing.T) {
	var q eventQueue
	rng := rand.New(rand.NewPCG(2, 2))
	now := time.Duration(0)
	for range 3000 {
		q.schedule(time.Duration(rng.IntN(1000000)), eventScript, 0)
	}
	for range 100000 {
		e, ok := q.pop()
		require.True(t, ok)
		require.GreaterOrEqual(t, e.at, now)
		now = e.at
		q.schedule(now+time.Duration(rng.IntN(1000000)), eventScript, 0)
	}
}

func TestEventQueueOrdersByTimePriorityAndPlanning(t *testing.T) {
	var q eventQueue
	rng := rand.New(rand.NewPCG(1, 1))
	var want []scheduledEvent
	for i := range 5000 {
		at, kind := time.Duration(rng.IntN(50)), eventKind(rng.IntN(int(eventKinds)))
		q.schedule(at, kind, uint64(i))
		want = append(
			want,
			scheduledEvent{at: at, order: uint64(priorityByKind[kind])<<56 | uint64(i+1), id: uint64(i)},
		)
		if rng.IntN(3) == 0 {
			e, _ := q.pop()
			want = slices.DeleteFunc(want, func(w scheduledEvent) bool { return w.id == e.id })
		}
	}
	slices.SortFunc(want, func(x, y scheduledEvent) int {
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
