package scenario

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files again; only where the form changes on purpose")

// goldenScenario is what testdata/every-key.toml says: each key has a value that is no default, but
// for rate_per_s and trace, which would leave load and the classes without an effect.
func goldenScenario() *Scenario {
	f := Fixed
	between := func(from, to float64) Range { return Range{From: from, To: to, Set: true} }
	return &Scenario{
		Name: "every-key", About: "each key has a value of its own", Include: "under.toml", LengthS: between(101, 103), TickMS: f(4),
		Zones: Zones{
			Names: []string{"addis", "afar"}, Servers: []float64{0.75, 0.25},
			SameMS: f(0.3), CrossMS: between(9, 11), ClientMS: f(0.7), Jitter: f(0.1),
		},
		Balancers: Balancers{Count: 3, StartSpreadMS: f(900), MaxAttempts: 5, RetryAfter: true, MaxRetryAfterMS: f(1900), FrontNoticeS: f(2.5)},
		Fleet:     Fleet{Servers: 9, Cells: 2, Weights: "nominal", RoughCV: f(0.16)},
		Kinds: []Kind{
			{
				Name: "fast", Share: between(1, 2), Cores: 4, Speed: between(1.1, 1.3), SpeedCV: f(0.05), SlotsPerCore: f(2), QueuePerCore: f(21),
				Thrash: f(0.2), ThrashAt: f(6), ColdFrom: f(0.3), ColdS: f(20), WarmBy: "work", PauseEveryS: f(12), PauseMS: f(80), PauseGrow: f(0.4),
				ErrorRate: f(0.01), Cancel: "any", DropExpired: "any",
				ChokeAt: f(14), ChokeOverS: f(1.5), ChokeSlower: f(3), ChokeBelow: f(0.35), ChokeRestS: f(4.5), ChokeMostS: f(41),
				KeyGain: f(0.45), KeyS: f(31), KeysPerCore: f(64),
				HandshakeMS: f(1.25), HandshakeRTTs: f(2), ConnPerCore: f(128), ConnTax: f(0.15), ProbeMS: f(0.65),
				ReportEveryMS: f(210), ReportDelayMS: f(45), ReportNoise: f(0.07),
			},
			{
				Name: "slow", Share: f(1), Cores: 2, Speed: f(0.8), SlotsPerCore: f(1), QueuePerCore: f(20), HandshakeRTTs: f(1),
				WarmBy: "time", Cancel: "queued", DropExpired: "no",
			},
		},
		Classes: []Class{
			{
				Name: "read", Share: f(3), WorkMS: f(40), Dist: "pareto", CV: f(1.5), AttemptCV: f(0.2), AimMS: f(1200), DeadlineMS: f(5000),
				Worth: f(5), LateWorth: f(0.25), Effect: "keyed", Scope: "zone", WindowMS: f(4500),
			},
			{
				Name: "submit", Share: f(1), WorkMS: between(60, 90), Dist: "exponential", CV: f(1), AimMS: f(1000), DeadlineMS: f(5000),
				Worth: f(1), Effect: "unsafe",
			},
		},
		Traffic: Traffic{
			Load: between(0.6, 0.7), RatePerS: f(0), Shape: "waves", Swing: f(0.55), PeriodS: f(13), ZoneSkew: f(0.33),
			Keys: f(1000), KeyZipf: f(1.2), Hints: "exact", HintCV: f(0.44),
		},
		Clients: Clients{Retries: f(1.5), BackoffMS: f(190), TryShare: f(0.65), Honour: f(0.85), Impatient: f(0.05), MarksRetry: true},
		Discovery: Discovery{
			Push: true, NoticeS: f(2.2), SilentS: f(9), AddS: f(1.1), PeriodMS: f(510), SpreadMS: f(55), CallsPerS: f(22), CallLines: f(52), TimeoutMS: f(2900),
		},
		Rules: Rules{
			AnswerSlackMS: f(25), AskWithinMS: f(9000), ColdFrom: f(0.14), ColdMS: f(23000), DrainGraceMS: f(2100), FallMultiple: f(2.7), FallMS: f(2050),
			DialTimeoutMS: f(240), ProbeTimeoutMS: f(490), KeepaliveMS: f(59000),
		},
		Score: Score{
			Whole: f(0.5), WorstWindow: f(0.3), WorstClass: f(0.2), WindowS: f(11), WorthBy: "request",
			Waste: f(0.06), LateFail: f(0.04), CrossZone: f(0.02), Probe: f(0.015), Choke: f(0.09),
		},
		Draws: Draws{Troubles: f(2)},
		Troubles: []Trouble{
			{Kind: "pauses", AtS: between(20, 30), ForS: f(15), Part: f(0.4), Size: f(70), EveryS: f(3), RampS: f(1), Class: "submit", Zone: "addis", Weight: 2},
			{Kind: "replace", AtS: f(40), ForS: between(10, 20), Part: f(0.5), RampS: f(2), Weight: 1},
			{Kind: "burst", AtS: f(70), ForS: f(8), Size: between(1.5, 2.5), RampS: f(3), Weight: 1},
		},
	}
}

// TestScenarioGoldenFile guards the keys of scenario files.
func TestScenarioGoldenFile(t *testing.T) {
	got, err := Load("testdata/every-key.toml")
	require.NoError(t, err)
	got.origin = nil // the lines of the file
	require.Equal(t, goldenScenario(), got)
}

// describe writes an instance's values in order, one concern a line: no name of a field or type is in it.
func describe(d *Realization) []byte {
	var out bytes.Buffer
	line := func(values ...any) { fmt.Fprintln(&out, values...) }
	line(d.Name, d.Seed, d.Length, d.Tick, d.Zones, d.Delay, d.ClientDelay, d.Jitter, d.FailoverDelay)
	for _, server := range d.Servers {
		line(server)
	}
	line(d.Like(1, 1002))
	line(d.KindNames(), d.Balancers, d.Capacity(), d.MeanWork())
	line(d.Settings)
	line(d.Traffic)
	line(d.Clients)
	line(d.Discovery)
	line(d.Rules)
	line(d.Score)
	for _, class := range d.Classes {
		line(class.Class, class.Share, class.MeanWork, class.AttemptCV, class.Work.Rand(), class.Work.Rand())
	}
	for _, fault := range d.Faults {
		line(fault)
	}
	for _, step := range d.Steps() {
		line(step)
	}
	return out.Bytes()
}

// TestDrawnRealizationGoldenFile guards the drawn instances: a seed gives the same instance as ever, so that
// figures of two programs can be compared. The last digits are those that math.Exp has on amd64
// processors with FMA.
func TestDrawnRealizationGoldenFile(t *testing.T) {
	s, err := Load("testdata/every-key.toml")
	require.NoError(t, err)
	var got []byte
	for _, seed := range []uint64{1, 2, 3} {
		realization, err := s.Draw(seed)
		require.NoError(t, err)
		got = append(got, describe(realization)...)
	}
	if *update {
		require.NoError(t, os.WriteFile("testdata/days.txt", got, 0o644))
	}
	want, err := os.ReadFile("testdata/days.txt")
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
}
