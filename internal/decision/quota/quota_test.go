package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRequestsWithinQuota(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond float64
		balancers int
		tenant    int
		interval  time.Duration // between two of the 100 requests
		want      int
	}{
		"below the quota": {perSecond: 50, balancers: 1, interval: 25 * time.Millisecond, want: 100},
		// A full bucket of 20 tokens, and 20 more per second for 2.475 s.
		"twice the quota":           {perSecond: 20, balancers: 1, interval: 25 * time.Millisecond, want: 69},
		"a share of the quota":      {perSecond: 40, balancers: 2, interval: 25 * time.Millisecond, want: 69},
		"a burst":                   {perSecond: 20, balancers: 1, interval: 0, want: 20},
		"one request for low rates": {perSecond: 0.1, balancers: 1, interval: 0, want: 1},
		"unlimited":                 {perSecond: 0, balancers: 1, interval: 0, want: 100},
		"unknown tenant":            {perSecond: 1, balancers: 1, tenant: 7, interval: 0, want: 100},
		"no tenant":                 {perSecond: 1, balancers: 1, tenant: -1, interval: 0, want: 100},
	} {
		t.Run(name, func(t *testing.T) {
			var l Limiter
			l.Configure(Options{PerSecond: []float64{c.perSecond}, BalancerCount: c.balancers})
			within := 0
			for i := range 100 {
				if l.Take(10*time.Second+time.Duration(i)*c.interval, c.tenant) {
					within++
				}
			}
			require.Equal(t, c.want, within)
		})
	}
}

func TestNewQuotaKeepsTokens(t *testing.T) {
	var l Limiter
	l.Configure(Options{PerSecond: []float64{5, 5}, BalancerCount: 1})
	for range 5 {
		require.True(t, l.Take(10*time.Second, 0))
	}
	l.Configure(Options{PerSecond: []float64{50, 5}, BalancerCount: 1})
	require.False(t, l.Take(10*time.Second, 0), "a higher quota adds no tokens at once")
	require.True(t, l.Take(10*time.Second, 1), "tenants have buckets of their own")
	require.True(t, l.Take(10*time.Second+20*time.Millisecond, 0), "the new rate applies")
}
