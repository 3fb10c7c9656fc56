// Package experiment runs the model over seeds and says what the figures are worth:
// means with 95% intervals, paired differences, sweeps; and draws them.
package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
)

// Format names the layout of a result file.
const Format = "notchlab/1"

// Variant is what decides, and under which settings.
type Variant struct {
	Name    string   `json:"name"`
	Adapter string   `json:"adapter,omitempty"` // a program on the wire; none: the module in process
	Set     []string `json:"set,omitempty"`     // KEY=VALUE on top of the scenario
}

// ParseVariant reads what a command line says: "builtin" or nothing for the module as
// built in, an executable's path, a file of lines KEY=VALUE, or KEY=VALUE[;KEY=VALUE].
func ParseVariant(text string) (Variant, error) {
	v := Variant{Name: text}
	if text == "" || text == "builtin" {
		v.Name = "builtin"
		return v, nil
	}
	if info, err := os.Stat(text); err == nil && !info.IsDir() {
		if info.Mode()&0o111 != 0 {
			v.Adapter = text
			return v, nil
		}
		data, err := os.ReadFile(text)
		if err != nil {
			return v, err
		}
		for line := range strings.Lines(string(data)) {
			if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
				v.Set = append(v.Set, line)
			}
		}
		return v, nil
	}
	if !strings.Contains(text, "=") {
		return v, fmt.Errorf("%s: no such file, and no KEY=VALUE", text)
	}
	for part := range strings.SplitSeq(text, ";") {
		v.Set = append(v.Set, strings.TrimSpace(part))
	}
	return v, nil
}

// Plan is what is to be run.
type Plan struct {
	Scenario *scenario.Scenario
	Seed     uint64 // the first; the others follow it
	Runs     int
	Workers  int // 0: as many as there are cores
}

// Progress is told of each run that has ended, from any goroutine.
type Progress func()

// Run plays all seeds for one variant. Results stand in the order of the seeds,
// whatever the number of workers.
func Run(ctx context.Context, p Plan, v Variant, done Progress) ([]*simulation.Result, error) {
	s, err := p.Scenario.With(v.Set...)
	if err != nil {
		return nil, err
	}
	results := make([]*simulation.Result, p.Runs)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(p.Workers, 1))
	if p.Workers == 0 {
		g.SetLimit(runtime.GOMAXPROCS(0))
	}
	for i := range p.Runs {
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			r, err := one(s, p.Seed+uint64(i), v.Adapter)
			if err != nil {
				return err
			}
			results[i] = r
			if done != nil {
				done()
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return results, nil
}

func one(s *scenario.Scenario, seed uint64, adapter string) (*simulation.Result, error) {
	day, err := s.Draw(seed)
	if err != nil {
		return nil, err
	}
	var tier simulation.Tier = simulation.NewInProcess()
	if adapter != "" {
		if tier, err = simulation.StartChild(day, adapter); err != nil {
			return nil, err
		}
	}
	w, err := simulation.New(day, tier)
	if err != nil {
		_ = tier.Close()
		return nil, err
	}
	r, err := w.Run()
	if cerr := tier.Close(); err == nil && cerr != nil {
		err = fmt.Errorf("seed %d: %w", seed, cerr)
	}
	return r, err
}

// Interval is a mean with its 95% interval; a single value has none.
type Interval struct {
	Mean float64  `json:"mean"`
	Lo   *float64 `json:"lo95"`
	Hi   *float64 `json:"hi95"`
}

// String is the mean and half of the interval.
func (i Interval) String() string {
	if i.Lo == nil {
		return fmt.Sprintf("%.4g (one run, no interval)", i.Mean)
	}
	return fmt.Sprintf("%.4g ± %.2g", i.Mean, (*i.Hi-*i.Lo)/2)
}

// Summarize returns the mean of values and its interval by Student's t.
func Summarize(values []float64) Interval {
	mean, sd := stat.MeanStdDev(values, nil)
	i := Interval{Mean: mean}
	if n := float64(len(values)); n > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975)
		half := t * sd / math.Sqrt(n)
		lo, hi := mean-half, mean+half
		i.Lo, i.Hi = &lo, &hi
	}
	return i
}

// figures are what is summed up of each run.
var figures = []struct {
	Name string
	Of   func(r *simulation.Result) float64
}{
	{"service", func(r *simulation.Result) float64 { return r.Service }},
	{"whole", func(r *simulation.Result) float64 { return r.Whole }},
	{"worst_window", func(r *simulation.Result) float64 { return r.WorstWindow }},
	{"worst_class", func(r *simulation.Result) float64 { return r.WorstClass }},
	{"deducted", func(r *simulation.Result) float64 { return r.Deducted }},
	{"lost", func(r *simulation.Result) float64 { return float64(r.Lost) }},
	{"repeated", func(r *simulation.Result) float64 { return float64(r.Repeated) }},
	{"drain_breaks", func(r *simulation.Result) float64 { return float64(r.DrainBreaks) }},
	{"cold_falls", func(r *simulation.Result) float64 { return float64(r.ColdFalls) }},
	{"cold_peak", func(r *simulation.Result) float64 { return r.ColdPeak }},
	{"drain_latest_ms", func(r *simulation.Result) float64 { return r.DrainLatest }},
	{"falls", func(r *simulation.Result) float64 { return float64(r.Falls) }},
	{"requests", func(r *simulation.Result) float64 { return float64(r.Requests) }},
	{"refused_rate", func(r *simulation.Result) float64 { return r.RefusedRate }},
	{"failed_rate", func(r *simulation.Result) float64 { return r.FailedRate }},
	{"retry_rate", func(r *simulation.Result) float64 { return r.RetryRate }},
	{"waste_rate", func(r *simulation.Result) float64 { return r.WasteRate }},
	{"cross_rate", func(r *simulation.Result) float64 { return r.CrossRate }},
	{"probe_rate", func(r *simulation.Result) float64 { return r.ProbeRate }},
	{"choked_share", func(r *simulation.Result) float64 { return r.ChokedShare }},
	{"p50_ms", func(r *simulation.Result) float64 { return r.P50 }},
	{"p99_ms", func(r *simulation.Result) float64 { return r.P99 }},
	{"events", func(r *simulation.Result) float64 { return float64(r.Events) }},
	{"wall_s", func(r *simulation.Result) float64 { return r.WallS }},
	{"module_s", func(r *simulation.Result) float64 { return r.ModuleS }},
}

// FigureNames lists what is summed up.
func FigureNames() []string {
	var names []string
	for _, f := range figures {
		names = append(names, f.Name)
	}
	return names
}

// Summary is the interval of each figure.
func Summary(runs []*simulation.Result) map[string]Interval {
	out := map[string]Interval{}
	for _, f := range figures {
		out[f.Name] = Summarize(column(runs, f.Of))
	}
	return out
}

func column(runs []*simulation.Result, of func(*simulation.Result) float64) []float64 {
	values := make([]float64, len(runs))
	for i, r := range runs {
		values[i] = of(r)
	}
	return values
}

// Broken is how often rules were broken over all runs.
func Broken(runs []*simulation.Result) int {
	n := 0
	for _, r := range runs {
		n += r.Broken()
	}
	return n
}

// Verdict is what a comparison says.
type Verdict string

// Verdicts.
const (
	Better   Verdict = "better"
	Worse    Verdict = "worse"
	CantTell Verdict = "can't tell"
)

// Comparison is B against A on the same seeds.
type Comparison struct {
	A          Variant              `json:"a"`
	B          Variant              `json:"b"`
	SummaryA   map[string]Interval  `json:"summary_a"`
	SummaryB   map[string]Interval  `json:"summary_b"`
	Difference map[string]Interval  `json:"difference"` // B less A, paired by seed
	Verdict    Verdict              `json:"verdict"`    // on service, for B
	RunsA      []*simulation.Result `json:"runs_a"`
	RunsB      []*simulation.Result `json:"runs_b"`
}

// Compare plays both variants on the same seeds.
func Compare(ctx context.Context, p Plan, a, b Variant, done Progress) (*Comparison, error) {
	c := &Comparison{A: a, B: b, Difference: map[string]Interval{}}
	var err error
	if c.RunsA, err = Run(ctx, p, a, done); err != nil {
		return nil, fmt.Errorf("a: %w", err)
	}
	if c.RunsB, err = Run(ctx, p, b, done); err != nil {
		return nil, fmt.Errorf("b: %w", err)
	}
	c.SummaryA, c.SummaryB = Summary(c.RunsA), Summary(c.RunsB)
	for _, f := range figures {
		va, vb := column(c.RunsA, f.Of), column(c.RunsB, f.Of)
		for i := range vb {
			vb[i] -= va[i]
		}
		c.Difference[f.Name] = Summarize(vb)
	}
	c.Verdict = verdict(c.Difference["service"])
	return c, nil
}

// verdict says nothing unless the whole interval lies on one side.
func verdict(d Interval) Verdict {
	switch {
	case d.Lo == nil:
		return CantTell
	case *d.Lo > 0:
		return Better
	case *d.Hi < 0:
		return Worse
	}
	return CantTell
}

// Vary is one dimension of a sweep: a key, or several that change together, joined by
// "+" like their values.
type Vary struct {
	Key    string   `json:"key"`
	Values []string `json:"values"`
}

// Settings turns one value into overrides.
func (v Vary) Settings(value string) []string {
	keys, values := strings.Split(v.Key, "+"), strings.Split(value, "+")
	var set []string
	for i := range min(len(keys), len(values)) {
		set = append(set, keys[i]+"="+values[i])
	}
	return set
}

// ParseVary reads KEY=V1,V2,…; commas inside of brackets do not part values.
func ParseVary(text string) (Vary, error) {
	key, list, ok := strings.Cut(text, "=")
	v := Vary{Key: strings.TrimSpace(key)}
	if !ok || v.Key == "" {
		return v, fmt.Errorf("--vary %s: KEY=V1,V2,… is expected", text)
	}
	depth, from := 0, 0
	for i, c := range list + "," {
		switch {
		case c == '[':
			depth++
		case c == ']':
			depth--
		case c == ',' && depth == 0:
			if value := strings.TrimSpace(list[from:i]); value != "" {
				v.Values = append(v.Values, value)
			}
			from = i + 1
		}
	}
	if len(v.Values) == 0 {
		return v, fmt.Errorf("--vary %s: no values", text)
	}
	for _, value := range v.Values {
		if strings.Count(value, "+") != strings.Count(v.Key, "+") {
			return v, fmt.Errorf("--vary %s: %s has not one value for each key", text, value)
		}
	}
	return v, nil
}

// Point is one setting of a sweep.
type Point struct {
	Values  []string             `json:"values"` // by dimension
	Summary map[string]Interval  `json:"summary"`
	Runs    []*simulation.Result `json:"runs,omitempty"`
}

// Sweep plays every combination of one or two dimensions on the same seeds.
func Sweep(ctx context.Context, p Plan, v Variant, dims []Vary, done Progress) ([]Point, error) {
	if len(dims) < 1 || len(dims) > 2 {
		return nil, fmt.Errorf("a sweep has one or two dimensions, not %d", len(dims))
	}
	combos := [][]string{{}}
	for _, d := range dims {
		var next [][]string
		for _, c := range combos {
			for _, value := range d.Values {
				next = append(next, append(slices.Clone(c), value))
			}
		}
		combos = next
	}
	var points []Point
	for _, c := range combos {
		at := v
		at.Set = slices.Clone(v.Set)
		for i, value := range c {
			at.Set = append(at.Set, dims[i].Settings(value)...)
		}
		runs, err := Run(ctx, p, at, done)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", strings.Join(at.Set, " "), err)
		}
		point := Point{Values: c, Summary: Summary(runs), Runs: runs}
		for _, r := range runs { // a sweep keeps the figures, not the series
			r.Seconds, r.Servers, r.Latency = nil, nil, nil
		}
		points = append(points, point)
	}
	return points, nil
}

// File is a result as it is kept.
type File struct {
	Format   string               `json:"format"`
	Kind     string               `json:"kind"` // run, compare, sweep
	Scenario string               `json:"scenario"`
	About    string               `json:"about,omitempty"`
	Seed     uint64               `json:"seed"`
	Variant  *Variant             `json:"variant,omitempty"`
	Runs     []*simulation.Result `json:"runs,omitempty"`
	Summary  map[string]Interval  `json:"summary,omitempty"`
	Compare  *Comparison          `json:"compare,omitempty"`
	Vary     []Vary               `json:"vary,omitempty"`
	Points   []Point              `json:"points,omitempty"`
}

// Reproducible removes what depends on the machine's speed.
func (f *File) Reproducible() {
	clean := func(runs []*simulation.Result) {
		for _, r := range runs {
			r.WallS, r.ModuleS = 0, 0
		}
	}
	drop := func(maps ...map[string]Interval) {
		for _, m := range maps {
			delete(m, "wall_s")
			delete(m, "module_s")
		}
	}
	clean(f.Runs)
	drop(f.Summary)
	if f.Compare != nil {
		clean(f.Compare.RunsA)
		clean(f.Compare.RunsB)
		drop(f.Compare.SummaryA, f.Compare.SummaryB, f.Compare.Difference)
	}
	for i := range f.Points {
		clean(f.Points[i].Runs)
		drop(f.Points[i].Summary)
	}
}

// Write keeps a result in a file, or on standard output for "-".
func (f *File) Write(name string) error {
	f.Format = Format
	data, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return err
	}
	data = append(data, '\n')
	if name == "-" {
		_, err = os.Stdout.Write(data)
		return err
	}
	return os.WriteFile(name, data, 0o644)
}

// ReadFile reads a result. Errors name the file.
func ReadFile(name string) (*File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	f := &File{}
	if err := json.Unmarshal(data, f); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if f.Format != Format {
		return nil, fmt.Errorf("%s: format %q, %q is expected", name, f.Format, Format)
	}
	return f, nil
}

// Aim is a bound that a figure's mean must keep.
type Aim struct {
	Figure string
	Least  bool // at least the bound, or else at most
	Bound  float64
}

// ParseAim reads FIGURE>=BOUND or FIGURE<=BOUND.
func ParseAim(text string) (Aim, error) {
	for _, op := range []string{">=", "<="} {
		name, bound, ok := strings.Cut(text, op)
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(bound), 64)
		name = strings.TrimSpace(name)
		if err != nil || !slices.Contains(FigureNames(), name) {
			return Aim{}, fmt.Errorf("--aim %s: one of %s and a number are expected", text, strings.Join(FigureNames(), ", "))
		}
		return Aim{name, op == ">=", v}, nil
	}
	return Aim{}, fmt.Errorf("--aim %s: FIGURE>=BOUND or FIGURE<=BOUND is expected", text)
}

// Missed tells whether a summary misses the aim.
func (a Aim) Missed(s map[string]Interval) bool {
	m := s[a.Figure].Mean
	return a.Least && m < a.Bound || !a.Least && m > a.Bound
}

// Counter is a Progress that counts, for those who print it now and then.
type Counter struct{ n atomic.Int64 }

// Done counts one run.
func (c *Counter) Done() { c.n.Add(1) }

// Count is how many have ended.
func (c *Counter) Count() int { return int(c.n.Load()) }
