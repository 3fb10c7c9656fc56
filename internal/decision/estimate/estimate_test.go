package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRatePerSecond(t *testing.T) {
	const start = 10 * time.Second
	for _, c := range []struct {
		length, idle time.Duration // time with additions of 5 every 10 ms, and time after the last addition
		want         float64
	}{
		{length: 5 * time.Second, want: 500},
		{length: 100 * time.Millisecond, want: 120}, // 50 in all, over half a second
		{length: 5 * time.Second, idle: time.Second, want: 500 / math.E},
	} {
		var rate Rate
		rate.Start(start)
		now := start
		for ; now < start+c.length; now += 10 * time.Millisecond {
			rate.Add(now, 5)
		}
		require.InEpsilon(t, c.want, rate.PerSecond(now+c.idle), 0.05, "%+v", c)
	}
}

func TestUpdateRatio(t *testing.T) {
	for name, c := range map[string]struct{ ratio, latency, work, gain, want float64 }{
		"the first sample":  {ratio: 0, latency: 30, work: 10, gain: 0.1, want: 3},
		"by the gain":       {ratio: 2, latency: 30, work: 10, gain: 0.25, want: 2.25},
		"by half at most":   {ratio: 2, latency: 30, work: 10, gain: 7, want: 2.5},
		"no work":           {ratio: 2, latency: 30, work: 0, gain: 0.1, want: 2},
		"no number as work": {ratio: 2, latency: 30, work: math.NaN(), gain: 0.1, want: 2},
		"no latency":        {ratio: 2, latency: 0, work: 10, gain: 0.1, want: 2},
		"infinite gain":     {ratio: 2, latency: 30, work: 10, gain: math.Inf(1), want: 2},
		"no number as gain": {ratio: 2, latency: 30, work: 10, gain: math.NaN(), want: 2},
	} {
		require.Equal(t, c.want, UpdateRatio(c.ratio, c.latency, c.work, c.gain), name)
	}
}

func TestJitterStaysBelowLimit(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	same := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		delay := Jitter(rng, time.Second)
		require.GreaterOrEqual(t, delay, time.Duration(0))
		require.Less(t, delay, time.Second)
		require.Equal(t, time.Duration(same.Float64()*float64(time.Second)), delay, "one draw each")
	}
}

func TestMixBitsIsSplitMix64Finalizer(t *testing.T) {
	require.Equal(t, uint64(0), MixBits(0))
	// The first output of SplitMix64 with seed 0 is the finalizer applied to the generator's increment.
	require.Equal(t, uint64(0xe220a8397b1dcdaf), MixBits(0x9e3779b97f4a7c15))
}
