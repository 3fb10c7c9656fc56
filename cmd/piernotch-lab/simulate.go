package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/schollz/progressbar/v3"

	"piernotch/internal/lab/experiment"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
	"piernotch/internal/trace"
)

type modelCmd struct {
	Run     runCmd     `cmd:"" help:"Play a scenario over seeds: means with 95% intervals."`
	Compare compareCmd `cmd:"" help:"Play two variants on the same seeds: differences with 95% intervals and a verdict."`
	Sweep   sweepCmd   `cmd:"" help:"Play a scenario for every value of one or two keys."`
}

// common is what all of them take.
type common struct {
	Scenario     string   `arg:"" help:"A scenario file, or the name of a shipped one."`
	Runs         int      `default:"5" help:"Seeds to play."`
	Seed         uint64   `default:"1" help:"The first seed; the others follow it."`
	Set          []string `sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the scenario; may be repeated."`
	Workers      int      `default:"0" help:"Days played at once; 0: as many as there are cores."`
	JSON         string   `name:"json" placeholder:"FILE" help:"Keep the result; - is standard output."`
	Reproducible bool     `help:"Leave out of the result what depends on the machine's speed."`
	Aim          []string `sep:"none" placeholder:"FIGURE>=X" help:"A bound for a mean; may be repeated. Missing it exits with 1."`
}

// plan reads the scenario and the counts.
func (c *common) plan() (experiment.Plan, []experiment.Aim, error) {
	if c.Runs < 1 {
		return experiment.Plan{}, nil, fmt.Errorf("--runs %d: at least 1 is expected", c.Runs)
	}
	var aims []experiment.Aim
	for _, text := range c.Aim {
		a, err := experiment.ParseAim(text)
		if err != nil {
			return experiment.Plan{}, nil, err
		}
		aims = append(aims, a)
	}
	s, err := scenario.Load(c.Scenario)
	if err == nil && len(c.Set) > 0 {
		s, err = s.With(c.Set...)
	}
	return experiment.Plan{Scenario: s, Seed: c.Seed, Runs: c.Runs, Workers: c.Workers}, aims, err
}

// show prints a result's text, unless its JSON goes there.
func (c *common) show(o *output) io.Writer {
	if c.JSON == "-" {
		return o.err
	}
	return o.out
}

// table begins the text of a result.
func (c *common) table(o *output, p experiment.Plan) (io.Writer, table.Writer) {
	w, t := c.show(o), table.NewWriter()
	t.SetOutputMirror(w)
	t.SetTitle("%s, %d seeds from %d", p.Scenario.Name, c.Runs, c.Seed)
	return w, t
}

func (c *common) keep(f *experiment.File) error {
	if c.JSON == "" {
		return nil
	}
	if c.Reproducible {
		f.Reproducible()
	}
	return f.Write(c.JSON)
}

// progress shows how far a long run is, on a terminal only.
func progress(o *output, n int, what string) (experiment.Progress, func()) {
	f, ok := o.err.(*os.File)
	if ok {
		info, err := f.Stat()
		ok = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	if !ok {
		return nil, func() {}
	}
	bar := progressbar.NewOptions(n, progressbar.OptionSetWriter(f), progressbar.OptionSetDescription(what),
		progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())
	return func() { _ = bar.Add(1) }, func() { _ = bar.Finish() }
}

// tell prints the broken rules and how to see them again.
func tell(w io.Writer, c *common, set []string, adapter string, runs []*simulation.Result) {
	told := 0
	for _, r := range runs {
		for _, b := range r.Breaks {
			if told++; told > 5 {
				return
			}
			fmt.Fprintf(w, "BROKEN seed %d: %s\n", r.Seed, b)
			for _, s := range b.Steps {
				fmt.Fprintln(w, "    "+s)
			}
			again := fmt.Sprintf("piernotch-lab model run %s --runs 1 --seed %d", c.Scenario, r.Seed)
			for _, s := range append(append([]string{}, c.Set...), set...) {
				again += fmt.Sprintf(" --set '%s'", s)
			}
			if adapter != "" {
				again += " --adapter " + adapter
			}
			fmt.Fprintln(w, "    replay: "+again)
		}
	}
}

// judged are the figures that are printed; the JSON holds all.
var judged = []string{"service", "whole", "worst_window", "worst_class", "deducted", "lost", "repeated", "drain_breaks", "cold_falls", "cold_peak", "drain_latest_ms", "falls",
	"refused_rate", "failed_rate", "retry_rate", "waste_rate", "cross_rate", "probe_rate", "choked_share", "p50_ms", "p99_ms"}

type runCmd struct {
	common
	Adapter string `placeholder:"PROGRAM" help:"Let another program decide, on the simulator's wire."`
}

func (c *runCmd) Run(ctx context.Context, o *output) error {
	p, aims, err := c.plan()
	if err != nil {
		return err
	}
	done, finish := progress(o, c.Runs, "playing")
	v := experiment.Variant{Name: "builtin", Adapter: c.Adapter}
	runs, err := experiment.Run(ctx, p, v, done)
	finish()
	if err != nil {
		return err
	}
	f := &experiment.File{Kind: "run", Scenario: p.Scenario.Name, About: p.Scenario.About, Seed: c.Seed, Variant: &v, Runs: runs, Summary: experiment.Summary(runs)}
	w, t := c.table(o, p)
	t.AppendHeader(table.Row{"figure", "mean and 95% interval"})
	for _, n := range judged {
		t.AppendRow(table.Row{n, f.Summary[n]})
	}
	t.Render()
	requests, events, wall, module := 0, 0, 0.0, 0.0
	for _, r := range runs {
		requests, events, wall, module = requests+r.Requests, events+r.Events, wall+r.WallS, module+r.ModuleS
	}
	fmt.Fprintf(w, "%d requests, %d events in %.2f core seconds (%.0f requests a second and core), of it %.0f%% in decisions\n",
		requests, events, wall, float64(requests)/max(wall, 1e-9), 100*module/max(wall, 1e-9))
	tell(w, &c.common, nil, c.Adapter, runs)
	if err := c.keep(f); err != nil {
		return err
	}
	return c.held(w, aims, f.Summary, experiment.Broken(runs))
}

// held turns broken rules and missed aims into the exit code.
func (c *common) held(w io.Writer, aims []experiment.Aim, s map[string]experiment.Interval, broken int) error {
	bad := broken > 0
	for i, a := range aims {
		if a.Missed(s) {
			fmt.Fprintf(w, "missed: %s, it is %s\n", c.Aim[i], s[a.Figure])
			bad = true
		}
	}
	if bad {
		return errFails
	}
	return nil
}

type compareCmd struct {
	common
	A string `default:"builtin" placeholder:"VARIANT" help:"What is compared against: builtin, a program on the simulator's wire, KEY=VALUE[;KEY=VALUE], or a file of such lines."`
	B string `required:"" placeholder:"VARIANT" help:"What is compared."`
}

func (c *compareCmd) Run(ctx context.Context, o *output) error {
	p, aims, err := c.plan()
	if err != nil {
		return err
	}
	a, err := experiment.ParseVariant(c.A)
	if err != nil {
		return fmt.Errorf("--a: %w", err)
	}
	b, err := experiment.ParseVariant(c.B)
	if err != nil {
		return fmt.Errorf("--b: %w", err)
	}
	done, finish := progress(o, 2*c.Runs, "comparing")
	cmp, err := experiment.Compare(ctx, p, a, b, done)
	finish()
	if err != nil {
		return err
	}
	w, t := c.table(o, p)
	t.AppendHeader(table.Row{"figure", "a: " + a.Name, "b: " + b.Name, "b less a, paired"})
	for _, n := range judged {
		t.AppendRow(table.Row{n, cmp.SummaryA[n], cmp.SummaryB[n], cmp.Difference[n]})
	}
	t.Render()
	fmt.Fprintf(w, "b is %s\n", map[experiment.Verdict]string{
		experiment.Better: "better", experiment.Worse: "worse", experiment.CantTell: "neither: these seeds can't tell",
	}[cmp.Verdict])
	tell(w, &c.common, a.Set, a.Adapter, cmp.RunsA)
	tell(w, &c.common, b.Set, b.Adapter, cmp.RunsB)
	f := &experiment.File{Kind: "compare", Scenario: p.Scenario.Name, About: p.Scenario.About, Seed: c.Seed, Compare: cmp}
	if err := c.keep(f); err != nil {
		return err
	}
	return c.held(w, aims, cmp.SummaryB, experiment.Broken(cmp.RunsA)+experiment.Broken(cmp.RunsB))
}

type sweepCmd struct {
	common
	Vary    []string `required:"" sep:"none" placeholder:"KEY=V1,V2,…" help:"A key and its values; twice for two dimensions. Keys that change together are joined by +, as their values are."`
	Adapter string   `placeholder:"PROGRAM" help:"Let another program decide."`
}

func (c *sweepCmd) Run(ctx context.Context, o *output) error {
	p, aims, err := c.plan()
	if err != nil {
		return err
	}
	var dims []experiment.Vary
	n := c.Runs
	for _, text := range c.Vary {
		v, err := experiment.ParseVary(text)
		if err != nil {
			return err
		}
		n *= len(v.Values)
		dims = append(dims, v)
	}
	done, finish := progress(o, n, "sweeping")
	v := experiment.Variant{Name: "builtin", Adapter: c.Adapter}
	points, err := experiment.Sweep(ctx, p, v, dims, done)
	finish()
	if err != nil {
		return err
	}
	w, t := c.table(o, p)
	head := table.Row{}
	for _, d := range dims {
		head = append(head, d.Key)
	}
	shown := []string{"service", "worst_window", "refused_rate", "choked_share", "p99_ms", "cold_peak", "falls"}
	for _, f := range shown {
		head = append(head, f)
	}
	t.AppendHeader(head)
	broken, missed := 0, error(nil)
	for _, pt := range points {
		row := table.Row{}
		for _, value := range pt.Values {
			row = append(row, value)
		}
		for _, f := range shown {
			row = append(row, pt.Summary[f])
		}
		t.AppendRow(row)
		broken += experiment.Broken(pt.Runs)
	}
	t.Render()
	for _, pt := range points {
		var set []string
		for i, value := range pt.Values {
			set = append(set, dims[i].Settings(value)...)
		}
		tell(w, &c.common, set, c.Adapter, pt.Runs)
		if err := c.held(w, aims, pt.Summary, 0); err != nil {
			missed = err
		}
	}
	f := &experiment.File{Kind: "sweep", Scenario: p.Scenario.Name, About: p.Scenario.About, Seed: c.Seed, Variant: &v, Vary: dims, Points: points}
	if err := c.keep(f); err != nil {
		return err
	}
	if broken > 0 {
		return errFails
	}
	return missed
}

type plotCmd struct {
	Result string `arg:"" type:"existingfile" help:"A result that --json kept."`
	Out    string `short:"o" required:"" placeholder:"FILE" help:"Where to; .svg, .png or .html (a report with all charts)."`
	Chart  string `placeholder:"NAME" help:"Which chart: service, latency, servers; of a sweep: the figure. The first is the default."`
}

func (c *plotCmd) Run(o *output) error {
	f, err := experiment.ReadFile(c.Result)
	if err != nil {
		return err
	}
	data, err := experiment.Render(f, c.Out, c.Chart)
	if err != nil {
		return err
	}
	return os.WriteFile(c.Out, data, 0o644)
}

type traceCmd struct {
	Show traceShowCmd `cmd:"" help:"Say what a recording holds."`
}

type traceShowCmd struct {
	File string `arg:"" type:"existingfile"`
}

func (c *traceShowCmd) Run(o *output) error {
	r, err := trace.Open(c.File)
	if err != nil {
		return err
	}
	defer r.Close()
	h := r.Header()
	var rec trace.Record
	n, hinted := 0, 0
	ends := [4]int{}
	classes := make([]int, len(h.Classes))
	for {
		if err = r.Next(&rec); err != nil {
			break
		}
		n++
		classes[rec.Class]++
		ends[min(int(rec.Outcome), 3)]++
		if rec.CostHint > 0 {
			hinted++
		}
	}
	fmt.Fprintf(o.out, "%s: balancer %q, zone %q, %d requests, the last at %.3f s\n", c.File, h.Name, h.Zone, n, rec.At.Seconds())
	for i, name := range h.Classes {
		fmt.Fprintf(o.out, "  %s: %d\n", name, classes[i])
	}
	fmt.Fprintf(o.out, "  served %d, refused %d, failed %d, left %d; with a cost hint %d\n", ends[0], ends[1], ends[2], ends[3], hinted)
	if !errors.Is(err, io.EOF) {
		fmt.Fprintln(o.err, strings.TrimSpace(err.Error()))
		return errFails
	}
	return nil
}
