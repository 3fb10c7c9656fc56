package retrybudget

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBudgetAllowsShareOfRequests(t *testing.T) {
	for name, c := range map[string]struct{ maxAttempts, requests, want int }{
		"no requests":        {maxAttempts: 3, requests: 0, want: 0},
		"less than one":      {maxAttempts: 3, requests: 6, want: 0},
		"one for seven":      {maxAttempts: 3, requests: 7, want: 1},
		"a share of many":    {maxAttempts: 3, requests: 100, want: 15},
		"the bound":          {maxAttempts: 3, requests: 10_000, want: 20},
		"a bound by attempt": {maxAttempts: 6, requests: 10_000, want: 40},
	} {
		t.Run(name, func(t *testing.T) {
			var b Budget
			b.Configure(c.maxAttempts)
			for range c.requests {
				b.RequestArrived()
			}
			spent := 0
			for ; b.Available(); spent++ {
				b.Spend()
			}
			require.Equal(t, c.want, spent)
			require.Less(t, b.Left(), 1.0)
		})
	}
}

func TestLowerBoundAppliesFromNextRequest(t *testing.T) {
	var b Budget
	b.Configure(6)
	for range 1000 {
		b.RequestArrived()
	}
	b.Configure(3)
	require.InDelta(t, 40, b.Left(), 1e-9, "what has been collected stays")
	b.RequestArrived()
	require.InDelta(t, 20, b.Left(), 1e-9)
}
