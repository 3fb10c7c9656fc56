package experiment

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCompareFindsNoDifferenceToItselfAndWorseVariant(t *testing.T) {
	plan := testPlan(t, 8, 0)
	comparison, err := Compare(context.Background(), plan, Variant{Name: "a"}, Variant{Name: "b"})
	require.NoError(t, err)
	require.Equal(t, Inconclusive, comparison.Verdict)
	require.Zero(t, comparison.Difference["service"].Mean)
	// Slower servers under more traffic are worse.
	comparison, err = Compare(
		context.Background(),
		plan,
		Variant{},
		Variant{Set: []string{"kind.*.speed=0.4", "traffic.rate_per_s=90"}},
	)
	require.NoError(t, err)
	require.Equal(t, Worse, comparison.Verdict)
	_, err = Run(context.Background(), plan, Variant{Set: []string{"no.such=1"}})
	require.Error(t, err)
	_, err = Run(context.Background(), plan, Variant{Adapter: "/no/such/adapter"})
	require.Error(t, err)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, err = Run(ctx, plan, Variant{})
	require.ErrorIs(t, err, context.Canceled)
}
