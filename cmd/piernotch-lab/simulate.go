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
	"piernotch/internal/lab/storednames"
)

// maxPrintedViolations bounds the violations that are printed of one result.
const maxPrintedViolations = 5

type simulateCmd struct {
	Run     simulateRunCmd     `cmd:"" help:"Play a scenario over seeds: means with 95% intervals."`
	Compare simulateCompareCmd `cmd:"" help:"Play two variants on the same seeds: differences with 95% intervals and a verdict."` //nolint:lll // struct tags cannot be wrapped
	Sweep   simulateSweepCmd   `cmd:"" help:"Play a scenario for every value of one or two keys."`
}

// simulateOptions are the arguments that all of them take.
type simulateOptions struct {
	Scenario     string   `arg:"" help:"A scenario file, or the name of a shipped one."`
	Runs         int      `default:"5" help:"Seeds to play."`
	Seed         uint64   `default:"1" help:"The first seed; the others follow it."`
	Set          []string `sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the scenario; may be repeated."`
	Workers      int      `default:"0" help:"Runs at the same time; 0: as many as there are cores."`
	JSON         string   `name:"json" placeholder:"FILE" help:"Keep the result; - is standard output."`
	Reproducible bool     `help:"Leave out of the result what depends on the machine's speed."`
	Threshold    []string `name:"threshold" aliases:"aim" sep:"none" placeholder:"FIGURE>=X" help:"A threshold for a mean; may be repeated. Missing it exits with 1."` //nolint:lll // struct tags cannot be wrapped
}

// plan reads the scenario and the thresholds of the command line.
func (c *simulateOptions) plan() (experiment.Plan, bounds, error) {
	if c.Runs < 1 {
		return experiment.Plan{}, bounds{}, fmt.Errorf("--runs %d: at least 1 is expected", c.Runs)
	}
	thresholds, err := parseBounds(c.Threshold)
	if err != nil {
		return experiment.Plan{}, bounds{}, err
	}
	loaded, err := scenario.Load(c.Scenario)
	if err == nil && len(c.Set) > 0 {
		loaded, err = loaded.With(c.Set...)
	}
	return experiment.Plan{Scenario: loaded, Seed: c.Seed, Runs: c.Runs, Workers: c.Workers}, thresholds, err
}

// textOutput is where a result's text is printed: the error output when its JSON goes to standard output.
func (c *simulateOptions) textOutput(std *streams) *printer {
	if c.JSON == "-" {
		return std.err
	}
	return std.out
}

// newTable begins the text of a result.
func (c *simulateOptions) newTable(std *streams, plan experiment.Plan) (*printer, table.Writer) {
	out := c.textOutput(std)
	resultTable := table.NewWriter()
	resultTable.SetOutputMirror(out)
	resultTable.SetTitle("%s, %d seeds from %d", plan.Scenario.Name, c.Runs, c.Seed)
	return out, resultTable
}

// save writes the result's file, if one is asked for.
func (c *simulateOptions) save(file *experiment.ResultFile) error {
	if c.JSON == "" {
		return nil
	}
	if c.Reproducible {
		file.RemoveTimings()
	}
	return file.Write(c.JSON)
}

// progress shows how far a long run is, on a terminal only. Done counts one, finish ends the display.
func progress(std *streams, total int, what string) (done, finish func()) {
	file, ok := std.err.writer.(*os.File)
	if ok {
		info, err := file.Stat()
		ok = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	if !ok {
		return nil, func() {}
	}
	bar := progressbar.NewOptions(total, progressbar.OptionSetWriter(file), progressbar.OptionSetDescription(what),
		progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())
	return func() { _ = bar.Add(1) }, func() { _ = bar.Finish() }
}

// printViolations prints the first violations and the commands that replay them.
func (c *simulateOptions) printViolations(out *printer, set []string, adapter string, runs []*simulation.Result) {
	printed := 0
	for _, result := range runs {
		for _, violation := range result.Violations {
			if printed++; printed > maxPrintedViolations {
				return
			}
			out.Printf("VIOLATION seed %d: %s\n", result.Seed, violation)
			for _, step := range violation.Steps {
				out.Println("    " + step)
			}
			out.Println("    replay: " + c.replayCommand(result.Seed, set, adapter))
		}
	}
}

// replayCommand is the command line that plays one seed again.
func (c *simulateOptions) replayCommand(seed uint64, set []string, adapter string) string {
	command := fmt.Sprintf("piernotch-lab simulate run %s --runs 1 --seed %d", c.Scenario, seed)
	for _, setting := range append(append([]string{}, c.Set...), set...) {
		command += fmt.Sprintf(" --set '%s'", setting)
	}
	if adapter != "" {
		command += " --adapter " + adapter
	}
	return command
}

// printedFigures are the figures that are printed, by their stored names; the JSON holds all.
var printedFigures = []string{
	"service",
	"whole",
	"worst_window",
	"worst_class",
	"deducted",
	"lost",
	"repeated",
	"drain_breaks",
	"cold_falls",
	"cold_peak",
	"drain_latest_ms",
	"falls",
	"refused_rate",
	"failed_rate",
	"retry_rate",
	"waste_rate",
	"cross_rate",
	"probe_rate",
	"choked_share",
	"p50_ms",
	"p99_ms",
}

type simulateRunCmd struct {
	simulateOptions
	Adapter string `placeholder:"PROGRAM" help:"Let another program decide, over the simulator's protocol."`
}

func (c *simulateRunCmd) Run(ctx context.Context, std *streams) error {
	plan, thresholds, err := c.plan()
	if err != nil {
		return err
	}
	var finish func()
	plan.Progress, finish = progress(std, c.Runs, "playing")
	variant := experiment.Variant{Name: "builtin", Adapter: c.Adapter}
	runs, err := experiment.Run(ctx, plan, variant)
	finish()
	if err != nil {
		return err
	}
	summary := experiment.SummarizeRuns(runs)
	out, resultTable := c.newTable(std, plan)
	resultTable.AppendHeader(table.Row{"figure", "mean and 95% interval"})
	for _, name := range printedFigures {
		resultTable.AppendRow(table.Row{storednames.Display(storednames.Figures, name), summary[name]})
	}
	resultTable.Render()
	printSpeed(out, runs)
	c.printViolations(out, nil, c.Adapter, runs)
	file := &experiment.ResultFile{
		Kind: "run", Scenario: plan.Scenario.Name, Description: plan.Scenario.About, Seed: c.Seed,
		Variant: &variant, Runs: runs, Summary: summary,
	}
	if err := c.save(file); err != nil {
		return err
	}
	return thresholds.check(out, summary, experiment.Violations(runs))
}

// printSpeed prints how fast the simulation was.
func printSpeed(out *printer, runs []*simulation.Result) {
	requests, events := 0, 0
	wall, decisions := 0.0, 0.0
	for _, result := range runs {
		requests += result.Requests
		events += result.Events
		wall += result.WallS
		decisions += result.ModuleS
	}
	out.Printf(
		"%d requests, %d events in %.2f core seconds (%.0f requests per core second), %.0f%% of it in the "+
			"decision module\n",
		requests,
		events,
		wall,
		float64(requests)/max(wall, 1e-9),
		100*decisions/max(wall, 1e-9),
	)
}
