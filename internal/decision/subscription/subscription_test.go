package subscription

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const pollInterval = 8 * time.Second

func newSchedule() (*Schedule, *rand.Rand) {
	s, rng := &Schedule{}, rand.New(rand.NewPCG(3, 4))
	s.Configure(Options{Subscribe: true, PollInterval: pollInterval})
	s.Start(0, rng)
	return s, rng
}

func TestFirstSubscriptionHasRandomDelay(t *testing.T) {
	s, _ := newSchedule()
	require.Positive(t, s.nextAt)
	require.Less(t, s.nextAt, time.Second)
	require.False(t, s.SubscribeIfDue(s.nextAt-1))
	require.True(t, s.SubscribeIfDue(s.nextAt))
	require.False(t, s.SubscribeIfDue(time.Hour), "there is one already")
}

func TestBackoffDoublesUpToPollInterval(t *testing.T) {
	s, rng := newSchedule()
	now := time.Second
	for _, backoff := range []time.Duration{1, 2, 4, 8, 8, 8} {
		backoff *= time.Second
		require.True(t, s.SubscribeIfDue(now))
		s.Failed(now, rng)
		require.False(t, s.SubscribeIfDue(now+backoff/2-1), "backoff %v", backoff)
		require.Less(t, s.nextAt, now+backoff*3/2)
		now = s.nextAt
	}
	s.Succeeded()
	s.Failed(now, rng)
	require.Less(t, s.nextAt, now+3*time.Second/2, "success resets the backoff")
}

func TestNothingIsDueUnlessDiscoveryHasToBeAsked(t *testing.T) {
	s, rng := newSchedule()
	s.Configure(Options{PollInterval: pollInterval})
	require.False(t, s.SubscribeIfDue(time.Hour))
	s.Failed(time.Hour, rng)
	require.False(t, s.SubscribeIfDue(2*time.Hour))
}
