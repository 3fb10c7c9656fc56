package watch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Followers that lose their holder must not all start to poll discovery at the same moment (a thundering herd), and
// must stop once there is a holder again.
func TestFollowersPollAtSpreadTimesAfterHolderLoss(t *testing.T) {
	const n = 300
	var followers []*Follower
	for i := range n {
		f := NewFollower(DefaultTiming, rand.New(rand.NewPCG(uint64(i), 1)), 0)
		require.True(t, f.EventReceived(time.Second, 7))
		followers = append(followers, f)
	}
	polling := func(now time.Duration) (count int) {
		for _, f := range followers {
			if f.ShouldPoll(now, RoleFollower) {
				count++
			}
		}
		return count
	}
	lastHeartbeat := time.Second
	require.Zero(t, polling(lastHeartbeat+DefaultTiming.HeartbeatTimeout-1))
	require.InDelta(t, n/2, polling(lastHeartbeat+DefaultTiming.HeartbeatTimeout+DefaultTiming.TimeoutJitter/2), n/8)
	require.Equal(t, n, polling(lastHeartbeat+DefaultTiming.HeartbeatTimeout+DefaultTiming.TimeoutJitter))
	require.Less(t, DefaultTiming.HeartbeatTimeout+DefaultTiming.TimeoutJitter, 6*time.Second)
	for _, f := range followers {
		require.False(t, f.EventReceived(20*time.Second, 6), "a holder that has been replaced")
	}
	require.Equal(t, n, polling(20*time.Second))
	for _, f := range followers {
		require.True(t, f.EventReceived(20*time.Second, 8))
		require.True(t, f.ShouldPoll(20*time.Second, RoleHolder), "the holder polls")
	}
	require.Zero(t, polling(20*time.Second))
}
