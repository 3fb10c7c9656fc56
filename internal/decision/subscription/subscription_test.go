package subscription

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
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

func TestBackoffDoublesUpToItsBound(t *testing.T) {
	s, rng := newSchedule()
	s.Configure(Options{Subscribe: true, PollInterval: 4 * time.Second})
	now := time.Second
	for _, backoff := range []time.Duration{500 * time.Millisecond, time.Second, maxBackoff, maxBackoff, maxBackoff} {
		require.True(t, s.SubscribeIfDue(now))
		s.Failed(now, rng)
		require.False(t, s.SubscribeIfDue(now+backoff/2-1), "backoff %v", backoff)
		require.Less(t, s.nextAt, now+backoff*3/2)
		now = s.nextAt
	}
	s.Succeeded()
	s.Failed(now, rng)
	require.Less(t, s.nextAt, now+750*time.Millisecond, "success resets the backoff")
}

// With any settings and after any number of failures, two waits and a failed dial between them end within
// NotifyLimit. Otherwise the grace period of a drain could begin before the balancer knows of the change.
func TestTwoWaitsEndWithinNotifyLimit(t *testing.T) {
	const dialTimeout = time.Second
	rapid.Check(t, func(t *rapid.T) {
		s := &Schedule{}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		interval := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "interval"))
		s.Configure(Options{Subscribe: true, PollInterval: interval})
		s.Start(0, rng)
		require.LessOrEqual(t, s.nextAt, maxBackoff)
		now := s.nextAt
		for range rapid.IntRange(0, 20).Draw(t, "failures") {
			s.Failed(now, rng)
			now = s.nextAt
		}
		back := now // discovery is reachable from here on, just after a failed call
		for range 2 {
			s.Failed(now, rng)
			require.False(t, s.SubscribeIfDue(s.nextAt-1))
			now = s.nextAt + dialTimeout
		}
		require.LessOrEqual(t, now-dialTimeout-back, NotifyLimit)
	})
}

func TestHastenBringsWaitingSubscriptionForward(t *testing.T) {
	s, rng := newSchedule()
	for range 5 {
		s.SubscribeIfDue(s.nextAt)
		s.Failed(time.Second, rng)
	}
	due := s.nextAt
	s.Configure(s.options)
	s.Hasten(time.Second, rng)
	require.LessOrEqual(t, s.nextAt, min(due, 2*time.Second))
	require.True(t, s.SubscribeIfDue(s.nextAt))
	s.Hasten(time.Hour, rng)
	require.False(t, s.SubscribeIfDue(time.Hour), "there is one already")
}

func TestNothingIsDueUnlessDiscoveryHasToBeAsked(t *testing.T) {
	s, rng := newSchedule()
	s.Configure(Options{PollInterval: pollInterval})
	require.False(t, s.SubscribeIfDue(time.Hour))
	s.Failed(time.Hour, rng)
	require.False(t, s.SubscribeIfDue(2*time.Hour))
}
