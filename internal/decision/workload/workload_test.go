package workload

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newModel returns a Model of two classes.
func newModel() *Model {
	m := New()
	m.EnsureClasses(2)
	return &m
}

// arrive has the Model observe the arrival of a request of class 0.
func arrive(m *Model, hint float64) { m.ObserveArrival(hint, m.Expect(0, hint)) }

func TestHintsMoveMedianMeanAndShare(t *testing.T) {
	m := newModel()
	for i := range 2000 { // half of the requests are heavy, with three quarters of the work
		arrive(m, 10+20*float64(i%2))
	}
	require.Greater(t, m.MedianHint(), 10.0)
	require.Less(t, m.MedianHint(), 30.0)
	require.InDelta(t, 20, m.Mean(), 1)
	require.InDelta(t, 0.75, m.LargeShare(), 0.05)
}

func TestExpectation(t *testing.T) {
	for name, c := range map[string]struct {
		hint float64
		want Expectation
	}{
		"light":            {hint: 5, want: Expectation{Work: 5}},
		"the median":       {hint: 10, want: Expectation{Work: 10}},
		"heavy":            {hint: 11, want: Expectation{Work: 11, Large: true}},
		"no hint":          {hint: 0, want: Expectation{Work: 10}},
		"negative hint":    {hint: -3, want: Expectation{Work: 10}},
		"infinite hint":    {hint: math.Inf(1), want: Expectation{Work: 10}},
		"hint is a NaN":    {hint: math.NaN(), want: Expectation{Work: 10}},
		"smallest of many": {hint: 0.001, want: Expectation{Work: 0.001}},
	} {
		m := newModel()
		arrive(m, 10)
		require.Equal(t, c.want, m.Expect(1, c.hint), name)
	}
	require.Equal(t, Expectation{Work: 11}, newModel().Expect(0, 11), "the first request has no median above it")
	require.Equal(t, Expectation{}, newModel().Expect(0, 0), "nothing is known")
}

func TestFastResponsesReplaceMissingHints(t *testing.T) {
	m := newModel()
	for i := range 400 {
		latency := time.Duration(20+i%3*80) * time.Millisecond // a third of the requests do not queue
		m.ObserveResponse(0, latency)
	}
	require.InDelta(t, 20, m.WithoutHint(0), 4)
	require.Zero(t, m.WithoutHint(1), "the other class has neither a response nor a mean")
	arrive(m, 33)
	require.Equal(t, 33.0, m.WithoutHint(1), "the mean work until there is a response")
	m.EnsureClasses(3)
	require.InDelta(t, 20, m.WithoutHint(0), 4)
	require.Equal(t, 33.0, m.WithoutHint(2))
}

func TestRestore(t *testing.T) {
	for _, impossible := range []Snapshot{
		{MedianHint: -1, Mean: 80, LargeShare: 0.7},
		{MedianHint: 0, Mean: 80, LargeShare: 0.7},
		{MedianHint: math.Inf(1), Mean: 80, LargeShare: 0.7},
		{MedianHint: 50, Mean: 0, LargeShare: 0.7},
		{MedianHint: 50, Mean: math.NaN(), LargeShare: 0.7},
		{MedianHint: 50, Mean: math.Inf(1), LargeShare: 0.7},
		{MedianHint: 50, Mean: 80, LargeShare: 1.1},
		{MedianHint: 50, Mean: 80, LargeShare: math.NaN()},
	} {
		m := newModel()
		require.False(t, m.Restore(impossible), "%+v", impossible)
		require.Equal(t, newModel(), m, "%+v", impossible)
	}
	m, good := newModel(), Snapshot{MedianHint: 50, Mean: 80, LargeShare: 0.7}
	require.True(t, m.Restore(good))
	require.Equal(t, good, m.Snapshot())
	require.False(t, m.Restore(good), "the restored hints count as the balancer's own")
	m = newModel()
	arrive(m, 1)
	require.False(t, m.Restore(good), "a balancer with cost hints of its own does not restore")
}
