package simulation

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/lab/scenario"
)

var updateGoldenDecisions = flag.Bool("update-golden-decisions", false,
	"write this architecture's files of testdata/golden_decisions anew instead of comparing with them")

// goldenDirectory holds the records of this architecture. The last digits of estimates differ between architectures:
// math.Exp, math.Log and fused multiplications round differently.
var goldenDirectory = filepath.Join("testdata", "golden_decisions", runtime.GOARCH)

// goldenRun is a scenario that is run with each of goldenSeeds for the golden record.
type goldenRun struct {
	name     string // prefix of the golden files
	scenario string // shipped scenario
	set      []string
	operated bool                        // operators exclude servers and change settings
	tenants  []float64                   // quota of each tenant, requests per second
	adjust   func(s *piernotch.Settings) // changes settings that no scenario has; may be nil
}

var goldenSeeds = []uint64{1, 2, 3}

var goldenRuns = []goldenRun{
	{name: "quiet-without-hints", scenario: "quiet", set: []string{
		"length_s=15", "traffic.hints=none", "traffic.load=0.7", "class.*.late_worth=0.5",
	}},
	{name: "many-balancers", scenario: "mass", operated: true, set: []string{
		"length_s=9", "balancers.count=36", "fleet.servers=36", "traffic.keys=900", "trouble[0].at_s=2",
		"trouble[0].for_s=3", "discovery.push=true",
	}},
	{name: "many-balancers-overloaded", scenario: "growth", set: []string{
		"length_s=9", "balancers.count=24", "fleet.servers=24", "traffic.load=1.3", "trouble[0].at_s=2",
		"trouble[0].for_s=3", "trouble[0].part=0.4", "balancers.retry_after=true",
	}},
	{name: "many-balancers-without-reports", scenario: "mass", set: []string{
		"length_s=9", "balancers.count=20", "fleet.servers=30", "traffic.keys=900", "trouble[0].at_s=2",
		"trouble[0].for_s=3", "discovery.push=true", "kind.*.report_every_ms=0", "score.worth_by=request",
	}},
	{name: "large-fleet", scenario: "growth", set: []string{
		"length_s=4", "balancers.count=6", "fleet.servers=300", "trouble[0].at_s=1", "trouble[0].for_s=2",
		"trouble[0].ramp_s=0.5", "discovery.push=true",
	}},
	{name: "repeats", scenario: "restart-storm", set: []string{
		"length_s=30", "class.segment-read.effect=keyed", "class.segment-read.scope=zone",
		"class.pick-submit.effect=keyed", "class.pick-submit.scope=cell", "class.pick-submit.window_ms=900",
		"kind.*.error_rate=0.04", "fleet.cell_size=2", "fleet.servers=20", "clients.impatient=0.1",
	}},
	{name: "tenants-in-burst", scenario: "felt-quake", operated: true, tenants: []float64{2, 9, 0, 30}, set: []string{
		"length_s=35", "balancers.retry_after=true", "class.packet-append.effect=keyed",
		"class.packet-append.scope=all", "trouble[2].kind=discovery_outage", "trouble[2].size=0",
	}},
	{name: "restart-storm-polled", scenario: "restart-storm", operated: true, set: []string{"length_s=40"}},
	{name: "restart-storm-pushed", scenario: "restart-storm", set: []string{
		"length_s=40", "discovery.push=true", "traffic.load=0.8", "trouble[2].kind=vanish",
	}},
	{name: "few-limits", scenario: "addis", set: []string{
		"length_s=35", "balancers.cancel=false", "balancers.probes=false", "balancers.second_copies=false",
		"balancers.max_attempts=2", "traffic.load=0.95",
	}},
	{name: "hedged-per-request", scenario: "report-late-stall", set: []string{
		"length_s=35", "score.worth_by=request", "class.*.effect=safe", "clients.impatient=0.1",
		"class.segment-read.late_worth=0.3",
	}, adjust: func(s *piernotch.Settings) { s.WeightPerRequest = true }},
	{name: "distant-zones", scenario: "growth", set: []string{
		"length_s=15", "zones.cross_ms=90", "zones.servers=[1,1,0,1]", "class.*.work_ms=[8,14]",
		"fleet.servers=8", "balancers.count=5", "trouble[0].at_s=4", "trouble[0].for_s=2", "trouble[0].part=0.4",
		"class.*.effect=keyed", "class.*.scope=all", "class.*.window_ms=300", "kind.*.error_rate=0.05",
	}},
	{name: "crashes-listed-late", scenario: "restart-storm", set: []string{
		"length_s=30", "discovery.push=true", "discovery.notice_s=9", "discovery.add_s=12", "fleet.servers=16",
		"trouble[0].kind=crash", "trouble[0].at_s=5", "trouble[0].for_s=2", "trouble[0].part=0.5",
		"trouble[0].ramp_s=0", "trouble[2].for_s=1",
	}},
	{name: "many-balancers-uneven", scenario: "growth", set: []string{
		"length_s=15", "balancers.count=24", "fleet.servers=24", "traffic.load=0.9", "traffic.keys=60",
		"traffic.key_zipf=1.4", "traffic.zone_skew=0.8", "zones.servers=[1,3,2,4]", "trouble[0].at_s=4",
		"discovery.push=true", "kind.*.report_every_ms=300", "kind.*.report_delay_ms=100",
	}},
	{name: "restarts-without-reports", scenario: "restart-storm", set: []string{
		"length_s=30", "discovery.push=true", "kind.*.report_every_ms=0", "traffic.load=0.8",
		"trouble[0].part=0.8", "trouble[1].for_s=0.5", "trouble[1].every_s=2", "fleet.servers=20",
	}},
	{name: "three-balancers", scenario: "chaos", operated: true, set: []string{
		"length_s=30", "discovery.push=true", "fleet.weights=none", "traffic.key_zipf=1.1",
	}},
}

// TestGoldenDecisions fails if the same events no longer lead to the same actions. After an intended change of
// decisions, the flag -update-golden-decisions writes the files anew, on a machine of each architecture.
func TestGoldenDecisions(t *testing.T) {
	t.Parallel()
	total := &goldenRecord{counts: map[goldenCode]int{}}
	var mutex sync.Mutex
	played := 0
	t.Run("runs", func(t *testing.T) {
		for _, run := range goldenRuns {
			for _, seed := range goldenSeeds {
				t.Run(fmt.Sprintf("%s/%d", run.name, seed), func(t *testing.T) {
					t.Parallel()
					record := run.play(t, seed)
					compareGolden(t, run.name, seed, record.text())
					mutex.Lock()
					defer mutex.Unlock()
					total.addCounts(record)
					played++
				})
			}
		}
	})
	if played < len(goldenRuns)*len(goldenSeeds) {
		return // only some runs were selected, or a run has failed
	}
	total.requireCoverage(t)
	files, err := filepath.Glob(filepath.Join(goldenDirectory, "*"))
	require.NoError(t, err)
	require.Len(t, files, played, "files that no run is compared with")
}

func (g *goldenRun) play(t *testing.T, seed uint64) *goldenRecord {
	t.Helper()
	s, err := scenario.Load(g.scenario)
	require.NoError(t, err)
	s, err = s.With(g.set...)
	require.NoError(t, err)
	d, err := s.Draw(seed)
	require.NoError(t, err)
	for _, quota := range g.tenants {
		d.Settings.Tenants = append(d.Settings.Tenants, piernotch.Tenant{QuotaPerSec: quota})
	}
	if g.adjust != nil {
		g.adjust(&d.Settings)
	}
	record := &goldenRecord{counts: map[goldenCode]int{}}
	tier := &goldenTier{inner: NewInProcess(), record: record, operated: g.operated, tenants: len(g.tenants)}
	w, err := New(d, tier)
	require.NoError(t, err)
	_, err = w.Run()
	require.NoError(t, err)
	return record
}

func (g *goldenRecord) addCounts(other *goldenRecord) {
	for code, n := range other.counts {
		g.counts[code] += n
	}
	g.secondTry += other.secondTry
	g.accepted += other.accepted
	g.refused += other.refused
	g.denied += other.denied
}

// requireCoverage checks that the runs together contain every kind of event, action and call.
func (g *goldenRecord) requireCoverage(t *testing.T) {
	t.Helper()
	for _, c := range goldenCodes {
		require.Positive(t, g.counts[c.code], c.label)
	}
	require.Positive(t, g.secondTry, "second attempts")
	require.Positive(t, g.accepted, "accepted changes of settings")
	require.Positive(t, g.refused, "refused changes of settings")
	require.Positive(t, g.denied, "attempts that are no longer allowed")
}

// compareGolden compares the text of a run with its golden file, or writes the file if the flag is set.
func compareGolden(t *testing.T, name string, seed uint64, got string) {
	t.Helper()
	file := filepath.Join(goldenDirectory, fmt.Sprintf("%s-%d.txt", name, seed))
	if *updateGoldenDecisions {
		require.NoError(t, os.MkdirAll(filepath.Dir(file), 0o755))
		require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
		return
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	if difference := goldenDifference(string(want), got); difference != "" {
		t.Errorf("scenario %s, seed %d: %s", name, seed, difference)
	}
}

// goldenDifference describes the first block in which two golden files differ, or returns "".
func goldenDifference(want, got string) string {
	if want == got {
		return ""
	}
	wanted, have := strings.Split(strings.TrimSpace(want), "\n"), strings.Split(strings.TrimSpace(got), "\n")
	for i := 1; i < max(len(wanted), len(have)); i++ {
		switch {
		case i >= len(have):
			return fmt.Sprintf("ends before block %d of the golden file%s", i-1, blockRange(wanted, i))
		case i >= len(wanted):
			return fmt.Sprintf("goes on with block %d, which the golden file has not%s", i-1, blockRange(have, i))
		case wanted[i] != have[i]:
			return fmt.Sprintf("block %d is the first to differ%s\n\twant %s\n\thave %s\ncounts\n\twant %s\n\thave %s",
				i-1, blockRange(wanted, i), wanted[i], have[i], wanted[0], have[0])
		}
	}
	return fmt.Sprintf("all blocks agree, but not the counts\n\twant %s\n\thave %s", wanted[0], have[0])
}

// blockRange describes the range of simulated time of the block in a line of a golden file.
func blockRange(lines []string, i int) string {
	from := blockStart(lines[i])
	if i+1 < len(lines) {
		return fmt.Sprintf(", from %v to %v", from, blockStart(lines[i+1]))
	}
	return fmt.Sprintf(", from %v to the end", from)
}

// blockStart returns the time of a block's first entry, or -1 if the line is invalid.
func blockStart(line string) time.Duration {
	var block, from int64
	if _, err := fmt.Sscan(line, &block, &from); err != nil {
		return -1
	}
	return time.Duration(from)
}

func TestGoldenDifferenceNamesBlockAndTimes(t *testing.T) {
	golden := "counts=4\n0 0 aa\n1 2000000000 bb\n2 3500000000 cc\n"
	require.Empty(t, goldenDifference(golden, golden))
	require.Contains(t, goldenDifference(golden, strings.ReplaceAll(golden, "bb", "bd")),
		"block 1 is the first to differ, from 2s to 3.5s")
	require.Contains(t, goldenDifference(golden, "counts=4\n0 0 aa\n1 2000000000 bb\n"),
		"ends before block 2 of the golden file, from 3.5s to the end")
	require.Contains(t, goldenDifference(golden, golden+"3 4000000000 dd\n"), "goes on with block 3")
	require.Contains(t, goldenDifference(golden, strings.ReplaceAll(golden, "counts=4", "counts=5")), "not the counts")
}
