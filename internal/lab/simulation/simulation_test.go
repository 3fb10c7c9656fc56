package simulation

import (
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/goodput"
	"piernotch/internal/lab/scenario"
)

// run runs one realization of a scenario with changed settings, and requires that nothing is left unfinished.
func run(t *testing.T, tier Tier, name string, seed uint64, set ...string) *Result {
	t.Helper()
	s, err := scenario.Load(name)
	require.NoError(t, err)
	s, err = s.With(set...)
	require.NoError(t, err)
	d, err := s.Draw(seed)
	require.NoError(t, err)
	w, err := New(d, tier)
	require.NoError(t, err)
	r, err := w.Run()
	require.NoError(t, err)
	require.Zero(t, w.clientRequests.Len(), "a client waits for ever")
	require.Zero(t, w.attempts.Len(), "an attempt is never released")
	return r
}

func TestShippedScenariosKeepAllRules(t *testing.T) {
	for _, name := range scenario.Shipped() {
		if name == "wide" || name == "long-churn" || name == "mass" {
			continue // the same mechanisms as in the others, but for minutes
		}
		r := run(t, NewInProcess(), name, 7)
		require.Zero(t, r.ViolationCount(), "%s: %v", name, r.Violations)
		require.Greater(t, r.Requests, 1000, name)
		require.Greater(t, r.Service, 0.3, name)
		require.InEpsilon(t, r.Little.Inflight, r.Little.PerSec*r.Little.SojournS, 1e-6, "%s: Little's law", name)
	}
}

func TestSameSeedGivesSameResult(t *testing.T) {
	a, b := run(t, NewInProcess(), "felt-quake", 3), run(t, NewInProcess(), "felt-quake", 3)
	a.WallS, b.WallS, a.ModuleS, b.ModuleS = 0, 0, 0, 0
	require.Equal(t, a, b)
	require.NotEqual(t, a.Digest, run(t, NewInProcess(), "felt-quake", 4).Digest)
}

func TestTrafficDoesNotDependOnDecisions(t *testing.T) {
	a := run(t, NewInProcess(), "addis", 5)
	b := run(t, NewInProcess(), "addis", 5, "balancers.max_attempts=1", "balancers.second_copies=false")
	require.NotEqual(t, a.Digest, b.Digest, "the decisions differ")
	require.Equal(t, a.Requests, b.Requests)
	for i := range a.Seconds {
		require.Equal(t, a.Seconds[i].AskedWeight, b.Seconds[i].AskedWeight, "second %d", i)
	}
}

func TestUnusualServerAndTrafficCounts(t *testing.T) {
	for _, c := range []struct {
		what string
		set  []string
	}{
		{"no servers", []string{"fleet.servers=0", "traffic.rate_per_s=20", "length_s=5"}},
		{"one server", []string{"fleet.servers=1", "length_s=5"}},
		{"a zone without servers", []string{"zones.servers=[1,1,0,1]", "length_s=5"}},
		{"a class nobody sends", []string{"class.pick-submit.share=0", "length_s=5"}},
		{"no traffic", []string{"traffic.load=0", "length_s=5"}},
	} {
		r := run(t, NewInProcess(), "quiet", 1, c.set...)
		require.Zero(t, r.ViolationCount(), "%s: %v", c.what, r.Violations)
		switch c.what {
		case "no servers":
			require.Positive(t, r.Requests)
			require.Zero(t, r.ServedShare)
		case "no traffic":
			require.Zero(t, r.Requests)
		default:
			require.Positive(t, r.ServedShare, c.what)
		}
	}
}

func TestArrivalsMatchThoseOfWorld(t *testing.T) {
	s, err := scenario.Load("felt-quake")
	require.NoError(t, err)
	d, err := s.Draw(3)
	require.NoError(t, err)
	list, err := Arrivals(d)
	require.NoError(t, err)
	r := run(t, NewInProcess(), "felt-quake", 3)
	require.Len(t, list, r.Requests)
	d, err = s.Draw(3)
	require.NoError(t, err)
	tl := goodput.New(d)
	for _, a := range list {
		tl.RequestSent(a.At, a.Class, a.Work)
	}
	for i := range tl.Seconds {
		require.InDelta(t, r.Seconds[i].AskedWeight, tl.Seconds[i].AskedWeight, 1e-6)
	}
}
