package main

import (
	"context"
	"fmt"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/schollz/progressbar/v3"

	"piernotch/internal/lab/experiment"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
)

// maxPrintedViolations bounds the violations that are printed of one result.
const maxPrintedViolations = 5

type simulateCmd struct {
	Run     simulateRunCmd     `cmd:"" help:"Play a scenario over seeds: means with 95% intervals."`
	Compare simulateCompareCmd `cmd:"" help:"Play two variants on the same seeds: differences with 95% intervals and a verdict."`
	Sweep   simulateSweepCmd   `cmd:"" help:"Play a scenario for every value of one or two keys."`
}

// simulateOptions are the arguments that all of them take.
type simulateOptions struct {
	Scenario     string   `arg:"" help:"A scenario file, or the name of a shipped one."`
	Runs         int      `default:"5" help:"Seeds to play."`
	Seed         uint64   `default:"1" help:"The first seed; the others follow it."`
	Set          []string `sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the scenario; may be repeated."`
	Workers      int      `default:"0" help:"Days played at once; 0: as many as there are cores."`
	JSON         string   `name:"json" placeholder:"FILE" help:"Keep the result; - is standard output."`
	Reproducible bool     `help:"Leave out of the result what depends on the machine's speed."`
	Aim          []string `sep:"none" placeholder:"FIGURE>=X" help:"A bound for a mean; may be repeated. Missing it exits with 1."`
}

// plan reads the scenario and the bounds of the command line.
func (c *simulateOptions) plan() (experiment.Plan, bounds, error) {
	if c.Runs < 1 {
		return experiment.Plan{}, bounds{}, fmt.Errorf("--runs %d: at least 1 is expected", c.Runs)
	}
	aims, err := parseBounds(c.Aim)
	if err != nil {
		return experiment.Plan{}, bounds{}, err
	}
	s, err := scenario.Load(c.Scenario)
	if err == nil && len(c.Set) > 0 {
		s, err = s.With(c.Set...)
	}
	return experiment.Plan{Scenario: s, Seed: c.Seed, Runs: c.Runs, Workers: c.Workers}, aims, err
}

// textOutput is where a result's text is printed: the error output when its JSON goes to standard output.
func (c *simulateOptions) textOutput(o *output) *printer {
	if c.JSON == "-" {
		return o.err
	}
	return o.out
}

// newTable begins the text of a result.
func (c *simulateOptions) newTable(o *output, p experiment.Plan) (*printer, table.Writer) {
	w := c.textOutput(o)
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetTitle("%s, %d seeds from %d", p.Scenario.Name, c.Runs, c.Seed)
	return w, t
}

// save writes the result's file, if one is asked for.
func (c *simulateOptions) save(f *experiment.ResultFile) error {
	if c.JSON == "" {
		return nil
	}
	if c.Reproducible {
		f.RemoveTimings()
	}
	return f.Write(c.JSON)
}

// progress shows how far a long run is, on a terminal only. Done counts one, finish ends the display.
func progress(o *output, n int, what string) (done, finish func()) {
	f, ok := o.err.writer.(*os.File)
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

// printViolations prints the first violations and the commands that replay them.
func (c *simulateOptions) printViolations(w *printer, set []string, adapter string, runs []*simulation.Result) {
	printed := 0
	for _, r := range runs {
		for _, violation := range r.Violations {
			if printed++; printed > maxPrintedViolations {
				return
			}
			w.Printf("BROKEN seed %d: %s\n", r.Seed, violation)
			for _, step := range violation.Steps {
				w.Println("    " + step)
			}
			w.Println("    replay: " + c.replayCommand(r.Seed, set, adapter))
		}
	}
}

// replayCommand is the command line that plays one seed again.
func (c *simulateOptions) replayCommand(seed uint64, set []string, adapter string) string {
	command := fmt.Sprintf("piernotch-lab simulate run %s --runs 1 --seed %d", c.Scenario, seed)
	for _, s := range append(append([]string{}, c.Set...), set...) {
		command += fmt.Sprintf(" --set '%s'", s)
	}
	if adapter != "" {
		command += " --adapter " + adapter
	}
	return command
}

// printedFigures are the figures that are printed; the JSON holds all.
var printedFigures = []string{
	"service", "whole", "worst_window", "worst_class", "deducted", "lost", "repeated", "drain_breaks", "cold_falls", "cold_peak", "drain_latest_ms", "falls",
	"refused_rate", "failed_rate", "retry_rate", "waste_rate", "cross_rate", "probe_rate", "choked_share", "p50_ms", "p99_ms",
}

type simulateRunCmd struct {
	simulateOptions
	Adapter string `placeholder:"PROGRAM" help:"Let another program decide, on the simulator's wire."`
}

func (c *simulateRunCmd) Run(ctx context.Context, o *output) error {
	p, aims, err := c.plan()
	if err != nil {
		return err
	}
	var finish func()
	p.Progress, finish = progress(o, c.Runs, "playing")
	variant := experiment.Variant{Name: "builtin", Adapter: c.Adapter}
	runs, err := experiment.Run(ctx, p, variant)
	finish()
	if err != nil {
		return err
	}
	summary := experiment.SummarizeRuns(runs)
	w, t := c.newTable(o, p)
	t.AppendHeader(table.Row{"figure", "mean and 95% interval"})
	for _, name := range printedFigures {
		t.AppendRow(table.Row{name, summary[name]})
	}
	t.Render()
	printSpeed(w, runs)
	c.printViolations(w, nil, c.Adapter, runs)
	f := &experiment.ResultFile{
		Kind: "run", Scenario: p.Scenario.Name, Description: p.Scenario.About, Seed: c.Seed,
		Variant: &variant, Runs: runs, Summary: summary,
	}
	if err := c.save(f); err != nil {
		return err
	}
	return aims.check(w, summary, experiment.Violations(runs))
}

// printSpeed prints how fast the simulation was.
func printSpeed(w *printer, runs []*simulation.Result) {
	requests, events := 0, 0
	wall, module := 0.0, 0.0
	for _, r := range runs {
		requests += r.Requests
		events += r.Events
		wall += r.WallS
		module += r.ModuleS
	}
	w.Printf("%d requests, %d events in %.2f core seconds (%.0f requests a second and core), of it %.0f%% in decisions\n",
		requests, events, wall, float64(requests)/max(wall, 1e-9), 100*module/max(wall, 1e-9))
}
