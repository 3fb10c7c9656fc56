package experiment

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCompareFindsNoDifferenceToItselfAndWorseVariant(t *testing.T) {
	p := testPlan(t, 8, 0)
	c, err := Compare(context.Background(), p, Variant{Name: "a"}, Variant{Name: "b"})
	require.NoError(t, err)
	require.Equal(t, Inconclusive, c.Verdict)
	require.Zero(t, c.Difference["service"].Mean)
	// Without probes and second tries, with half of the fleet, anything is worse.
	c, err = Compare(context.Background(), p, Variant{}, Variant{Set: []string{"kind.*.speed=0.4", "traffic.rate_per_s=90"}})
	require.NoError(t, err)
	require.Equal(t, Worse, c.Verdict)
	_, err = Run(context.Background(), p, Variant{Set: []string{"no.such=1"}})
	require.Error(t, err)
	_, err = Run(context.Background(), p, Variant{Adapter: "/no/such/adapter"})
	require.Error(t, err)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, err = Run(ctx, p, Variant{})
	require.ErrorIs(t, err, context.Canceled)
}
