package experiment

import (
	"context"
	"encoding/json"
	"encoding/xml"
	"io"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/scenario"
)

// testPlan is a plan of short days.
func testPlan(t *testing.T, runs, workers int) Plan {
	t.Helper()
	s, err := scenario.Load("addis")
	require.NoError(t, err)
	s, err = s.With("length_s=15")
	require.NoError(t, err)
	return Plan{Scenario: s, Seed: 11, Runs: runs, Workers: workers}
}

func TestResultsDoNotDependOnNumberOfWorkers(t *testing.T) {
	var encoded [2][]byte
	for i, workers := range []int{1, 4} {
		var c Counter
		runs, err := Run(context.Background(), testPlan(t, 6, workers), Variant{}, c.Done)
		require.NoError(t, err)
		require.Equal(t, 6, c.Count())
		f := &ResultFile{Kind: "run", Runs: runs, Summary: SummarizeRuns(runs)}
		f.RemoveTimings()
		encoded[i], err = json.Marshal(f)
		require.NoError(t, err)
	}
	require.Equal(t, string(encoded[0]), string(encoded[1]))
}

func TestCompareFindsNoDifferenceToItselfAndWorseVariant(t *testing.T) {
	p := testPlan(t, 8, 0)
	c, err := Compare(context.Background(), p, Variant{Name: "a"}, Variant{Name: "b"}, nil)
	require.NoError(t, err)
	require.Equal(t, Inconclusive, c.Verdict)
	require.Zero(t, c.Difference["service"].Mean)
	// Without probes and second tries, with half of the fleet, anything is worse.
	c, err = Compare(context.Background(), p, Variant{}, Variant{Set: []string{"kind.*.speed=0.4", "traffic.rate_per_s=90"}}, nil)
	require.NoError(t, err)
	require.Equal(t, Worse, c.Verdict)
	_, err = Run(context.Background(), p, Variant{Set: []string{"no.such=1"}}, nil)
	require.Error(t, err)
	_, err = Run(context.Background(), p, Variant{Adapter: "/no/such/adapter"}, nil)
	require.Error(t, err)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, err = Run(ctx, p, Variant{}, nil)
	require.ErrorIs(t, err, context.Canceled)
}

// Of 95% intervals, 95 in 100 contain the true mean.
func TestIntervalCoverage(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	covered := 0
	const rounds = 4000
	for range rounds {
		v := make([]float64, 6)
		for i := range v {
			v[i] = 3 + 2*rng.NormFloat64()
		}
		if s := Summarize(v); *s.Low <= 3 && 3 <= *s.High {
			covered++
		}
	}
	require.InDelta(t, 0.95, float64(covered)/rounds, 0.012)
	one := Summarize([]float64{7})
	require.Nil(t, one.Low, "one run has no interval")
	require.Contains(t, one.String(), "no interval")
}

func TestSweepsAndCharts(t *testing.T) {
	p := testPlan(t, 2, 0)
	dims := []Dimension{{"traffic.load", []string{"0.4", "0.8"}}, {"fleet.servers", []string{"8", "12"}}}
	points, err := Sweep(context.Background(), p, Variant{}, dims, nil)
	require.NoError(t, err)
	require.Len(t, points, 4)
	require.Equal(t, []string{"0.4", "12"}, points[1].Values)
	_, err = Sweep(context.Background(), p, Variant{}, nil, nil)
	require.ErrorIs(t, err, ErrDimensions)
	runs, err := Run(context.Background(), p, Variant{}, nil)
	require.NoError(t, err)
	cmp, err := Compare(context.Background(), p, Variant{Name: "x"}, Variant{Name: "y"}, nil)
	require.NoError(t, err)
	broken := points[0].Runs[0]
	broken.ColdFalls, broken.Breaks = 1, []invariants.Violation{{Rule: invariants.Cold, Server: 3, Message: "pushed over", Steps: []string{"a step"}}}
	for _, f := range []*ResultFile{
		{Kind: "sweep", Scenario: "s", Dimensions: dims, Points: points},
		{Kind: "run", Scenario: "s", Runs: runs, Summary: SummarizeRuns(runs)},
		{Kind: "compare", Scenario: "s", Compare: cmp},
	} {
		name := filepath.Join(t.TempDir(), "r.json")
		require.NoError(t, f.Write(name))
		back, err := ReadFile(name)
		require.NoError(t, err)
		svg, err := Render(back, "x.svg", "")
		require.NoError(t, err)
		for dec := xml.NewDecoder(strings.NewReader(string(svg))); ; { // it is well formed
			if _, err := dec.Token(); err != nil {
				require.ErrorIs(t, err, io.EOF)
				break
			}
		}
		png, err := Render(back, "x.png", "")
		require.NoError(t, err)
		require.Equal(t, "\x89PNG", string(png[:4]))
		html, err := Render(back, "x.html", "")
		require.NoError(t, err)
		require.NotContains(t, string(html), "src=", "it needs nothing beside it")
		if f.Kind == "sweep" {
			require.Contains(t, string(html), "pushed over\na step")
			require.Equal(t, invariants.Cold, back.Points[0].Runs[0].Breaks[0].Rule)
		} else {
			require.Contains(t, string(html), "No rule was broken")
		}
		_, err = Render(back, "x.svg", "nonsense")
		require.ErrorIs(t, err, ErrUnknownChart)
		require.ErrorContains(t, err, "there are:")
		_, err = Render(back, "x.pdf", "")
		require.ErrorIs(t, err, ErrUnknownImageFormat)
	}
}

func TestParseCommandLineValues(t *testing.T) {
	v, err := ParseDimension("kind.fast.speed=[1,2],3")
	require.NoError(t, err)
	require.Equal(t, []string{"[1,2]", "3"}, v.Values)
	v, err = ParseDimension("balancers.count+fleet.servers=4+20,12+60")
	require.NoError(t, err)
	require.Equal(t, []string{"balancers.count=12", "fleet.servers=60"}, v.Settings(v.Values[1]))
	for _, bad := range []string{"x", "=1", "x=", "a+b=1"} {
		_, err := ParseDimension(bad)
		var flagErr *FlagError
		require.ErrorAs(t, err, &flagErr, bad)
	}
	b, err := ParseVariant("balancers.max_attempts=1; balancers.cancel=false")
	require.NoError(t, err)
	require.Len(t, b.Set, 2)
	_, err = ParseVariant("nowhere")
	require.ErrorIs(t, err, ErrUnknownVariant)
	a, err := ParseBound("service>=0.9")
	require.NoError(t, err)
	require.True(t, a.Missed(map[string]Interval{"service": {Mean: 0.8}}))
	require.False(t, a.Missed(map[string]Interval{"service": {Mean: 0.9}}))
	_, err = ParseBound("beauty>=1")
	require.Error(t, err)
}
