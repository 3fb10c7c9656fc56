package concurrency

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const tick = 10 * time.Millisecond

// newLimit returns a Limit with a finite bound and the given number of requests in flight.
func newLimit(inflight int) Limit {
	l := New()
	for range inflight {
		l.Started()
	}
	l.Adjust(tick, targetInflight)
	return l
}

func TestNewLimitAllowsAnyNumber(t *testing.T) {
	l := New()
	for range 1000 {
		l.Started()
	}
	require.False(t, l.Reached())
	l.Adjust(tick, 9)
	require.False(t, math.IsInf(l.Bound(), 0))
	l.Remove(tick)
	require.True(t, math.IsInf(l.Bound(), 1))
}

// The limit changes at most by a factor of e in 0.35 s, and not at all while the mean is at the target.
func TestLimitFollowsMean(t *testing.T) {
	for _, c := range []struct {
		mean   float64
		factor float64 // by which the limit changes in 70 ms
	}{
		{targetInflight, 1},
		{targetInflight * 2, math.Exp(-math.Ln2 / 5)},
		{targetInflight / 2, math.Exp(math.Ln2 / 5)},
		{targetInflight * 100, math.Exp(-1.0 / 5)},
		{0, math.Exp(1.0 / 5)},
	} {
		l := newLimit(10)
		before := l.Bound()
		require.Equal(t, 2*10+targetInflight, before)
		l.Adjust(70*time.Millisecond, c.mean)
		require.InDelta(t, before*c.factor, l.Bound(), 1e-9, "mean %v", c.mean)
	}
}

func TestLimitFallsToOneRequest(t *testing.T) {
	l := newLimit(10)
	for range 1000 {
		l.Adjust(tick, 50)
	}
	require.Equal(t, 1.0, l.Bound())
	require.True(t, l.Reached())
	for range 10 {
		l.Ended()
	}
	require.False(t, l.Reached(), "one request keeps going")
}

// Without requests the limit falls with the recent peak. Otherwise the limit would be too high to hold back
// the next burst.
func TestUnusedLimitStaysWithinReach(t *testing.T) {
	l := newLimit(10)
	for range 10 {
		l.Ended()
	}
	for range 200 {
		l.Adjust(tick, 0)
	}
	peak := 10 * math.Exp(-2)
	most := (peakHeadroom*peak + targetInflight) * math.Exp(tick.Seconds()/adjustTime)
	require.InDelta(t, most, l.Bound(), 1e-9)
}
