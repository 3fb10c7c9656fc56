package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"piernotch/internal/lab/experiment"
	"piernotch/internal/lab/loadtest"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
)

type faulttestCmd struct {
	Names    []string `arg:"" optional:"" help:"Fault tests; none: all."`
	Runs     int      `default:"3" help:"Seeds of each."`
	Seed     uint64   `default:"1" help:"The first seed."`
	Simulate bool     `name:"simulate" aliases:"model" help:"In simulated time, instead of on sockets."`
	Program  string   `placeholder:"FILE" help:"The balancer; piernotch beside this program is the default."`
	List     bool     `help:"Only list the fault tests."`
	JSON     string   `name:"json" placeholder:"DIR" help:"Keep the results there, one file for each fault test; piernotch-lab plot draws them."` //nolint:lll // struct tags cannot be wrapped
}

func (c *faulttestCmd) Run(ctx context.Context, std *streams) error {
	if c.List {
		for _, test := range loadtest.FaultTests() {
			std.out.Printf("%-24s %s\n", test.Name, test.Description)
		}
		return nil
	}
	tests, err := c.selected()
	if err != nil {
		return err
	}
	if err := resolveProgram(&c.Program, "piernotch"); err != nil {
		return err
	}
	resultTable := table.NewWriter()
	resultTable.AppendHeader(table.Row{
		"fault test",
		"served, of the control",
		"worst 3 s",
		"recovery time, s",
		"rejected",
		"failed",
		"violations",
	})
	var valid []*simulation.Result // of all tests
	controls := faulttestControls{}
	for _, test := range tests {
		runs, control, err := c.playTest(ctx, std, controls, test)
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			break
		}
		valid = append(valid, withoutVoid(runs)...)
		resultTable.AppendRow(faulttestRow(test, runs, control))
		if err := c.save(test, withoutVoid(runs)); err != nil {
			return err
		}
	}
	std.out.Println(resultTable.RenderMarkdown())
	printRunViolations(std, valid)
	if experiment.Violations(valid) > 0 {
		return errFailed
	}
	return nil
}

// selected returns the fault tests that are named, in their own order; all if none is.
func (c *faulttestCmd) selected() ([]loadtest.FaultTest, error) {
	tests := loadtest.FaultTests()
	for _, name := range c.Names {
		if !slices.ContainsFunc(tests, func(test loadtest.FaultTest) bool { return test.Name == name }) {
			return nil, fmt.Errorf("no fault test %q; --list prints them", name)
		}
	}
	if len(c.Names) == 0 {
		return tests, nil
	}
	notNamed := func(test loadtest.FaultTest) bool { return !slices.Contains(c.Names, test.Name) }
	return slices.DeleteFunc(tests, notNamed), nil
}

// playTest plays a fault test and its control.
func (c *faulttestCmd) playTest(
	ctx context.Context,
	std *streams,
	controls faulttestControls,
	test loadtest.FaultTest,
) (runs, control []*simulation.Result, err error) {
	testScenario, err := test.Scenario()
	if err != nil {
		return nil, nil, err
	}
	control, err = c.control(ctx, std, controls, test)
	if err != nil {
		return nil, nil, err
	}
	runs, err = c.play(ctx, std, testScenario)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", test.Name, err)
	}
	return runs, control, nil
}

// faulttestControls are the runs without a fault, by their scenarios' texts: several tests share one.
type faulttestControls map[string][]*simulation.Result

// control plays the control of a fault test, unless it has been played for another test.
func (c *faulttestCmd) control(
	ctx context.Context,
	std *streams,
	controls faulttestControls,
	test loadtest.FaultTest,
) ([]*simulation.Result, error) {
	testScenario, key, err := test.Control()
	if err != nil {
		return nil, err
	}
	if controls[key] == nil {
		runs, err := c.play(ctx, std, testScenario)
		if err != nil {
			return nil, fmt.Errorf("control of %s: %w", test.Name, err)
		}
		controls[key] = runs
	}
	return controls[key], nil
}

// save writes the file of one fault test, if files are asked for.
func (c *faulttestCmd) save(test loadtest.FaultTest, runs []*simulation.Result) error {
	if c.JSON == "" {
		return nil
	}
	testScenario, err := test.Scenario()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.JSON, 0o755); err != nil {
		return err
	}
	file := &experiment.ResultFile{
		Kind: "run", Scenario: testScenario.Name, Description: testScenario.About, Seed: c.Seed,
		Runs: runs, Summary: experiment.SummarizeRuns(runs),
	}
	return file.Write(filepath.Join(c.JSON, test.Name+".json"))
}

// withoutVoid leaves out the runs that are void.
func withoutVoid(runs []*simulation.Result) []*simulation.Result {
	return slices.DeleteFunc(slices.Clone(runs), func(result *simulation.Result) bool { return result == nil })
}

// play plays all seeds of a scenario, in the order of the seeds; a void run is nil.
func (c *faulttestCmd) play(
	ctx context.Context,
	std *streams,
	testScenario *scenario.Scenario,
) ([]*simulation.Result, error) {
	if c.Simulate {
		return experiment.Run(
			ctx,
			experiment.Plan{Scenario: testScenario, Seed: c.Seed, Runs: c.Runs},
			experiment.Variant{},
		)
	}
	var runs []*simulation.Result
	for i := range c.Runs {
		realization, err := testScenario.Draw(c.Seed + uint64(i))
		if err != nil {
			return nil, err
		}
		result, err := loadtest.Run(ctx, realization, loadtest.Options{Program: c.Program})
		if err != nil {
			return nil, err
		}
		if result.Void != "" {
			std.err.Printf("%s, seed %d: void: %s\n", testScenario.Name, realization.Seed, result.Void)
			runs = append(runs, nil)
			continue
		}
		runs = append(runs, &result.Result)
	}
	return runs, nil
}

// faulttestRow sums up a fault test; seeds that are void on either side are left out.
func faulttestRow(test loadtest.FaultTest, runs, controls []*simulation.Result) table.Row {
	var served, worst, rejected, failed []float64
	var recovered []string
	violations := 0
	for i, result := range runs {
		if result == nil || controls[i] == nil {
			continue
		}
		recovery := loadtest.MeasureRecovery(result, controls[i], loadtest.FaultTime)
		served = append(served, recovery.Served)
		worst = append(worst, recovery.Worst)
		rejected = append(rejected, recovery.Rejected)
		failed = append(failed, recovery.Failed)
		recovered = append(recovered, fmt.Sprintf("%.0f", recovery.RecoveredAfter))
		violations += result.ViolationCount()
	}
	if len(served) == 0 {
		return table.Row{test.Name, "void"}
	}
	mean := func(values []float64) string { return fmt.Sprintf("%.3f", experiment.Summarize(values).Mean) }
	return table.Row{
		test.Name,
		mean(served),
		mean(worst),
		strings.Join(recovered, ", "),
		mean(rejected),
		mean(failed),
		violations,
	}
}
