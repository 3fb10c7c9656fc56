package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"piernotch/internal/lab/chaos"
	"piernotch/internal/lab/loadtest"
	"piernotch/internal/lab/simulation"
	"piernotch/internal/lab/storednames"
)

type chaosCmd struct {
	Kind         string   `arg:"" name:"kind" optional:"" default:"mixed" help:"A kind of schedule; --list prints them."` //nolint:lll // struct tags cannot be wrapped
	List         bool     `help:"Only list the kinds."`
	Seed         uint64   `default:"1" help:"Of the first run: its realization of the scenario and its faults."`
	Runs         int      `default:"1" help:"Seeds to play, one after the other, in real time."`
	Faults       int      `name:"faults" aliases:"steps" default:"12" help:"Faults of each run."`
	Scenario     string   `default:"chaos" help:"A scenario file, or the name of a shipped one."`
	Balancers    int      `help:"Number of balancers, instead of the scenario's."`
	Set          []string `sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the scenario; may be repeated."`
	MinRecovered float64  `name:"min-recovered" aliases:"back" default:"0.9" help:"Share that has to be served within its latency objective at the end, when all faults are over."` //nolint:lll // struct tags cannot be wrapped
	Shrink       int      `default:"0" help:"Runs that may be spent on leaving out faults of a run that fails."`
	Replay       string   `placeholder:"FILE" help:"Play the schedule in the file."`
	Program      string   `placeholder:"FILE" help:"The balancer; piernotch beside this program is the default."`
	SharedWatch  bool     `name:"shared-watch" aliases:"group" help:"The balancers share one watch of discovery, through a control group of three voters (piernotch-voter beside this program); for schedules without links."` //nolint:lll // struct tags cannot be wrapped
	Logs         string   `placeholder:"DIR" help:"Keep the balancers' configurations and logs there."`
	JSON         string   `name:"json" placeholder:"FILE" help:"Keep the results there."`
	voterProgram string
}

// chaosRun is one schedule and its result, as it is kept in files.
type chaosRun struct {
	Kind         string           `json:"kind"`
	Seed         uint64           `json:"seed"`
	Steps        []chaos.Step     `json:"steps"`
	Descriptions []string         `json:"words"` // of the steps
	Failed       string           `json:"failed,omitempty"`
	Report       *loadtest.Report `json:"report,omitempty"`
}

func (c *chaosCmd) Run(ctx context.Context, std *streams) error {
	if c.List {
		for _, kind := range chaos.Kinds {
			std.out.Printf("%-10s %s\n", storednames.Display(storednames.ScheduleKinds, kind.Name), kind.Description)
		}
		return nil
	}
	if err := resolveProgram(&c.Program, "piernotch"); err != nil {
		return err
	}
	if c.SharedWatch {
		if err := resolveProgram(&c.voterProgram, "piernotch-voter"); err != nil {
			return err
		}
	}
	runs, err := c.playAll(ctx, std)
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, runs); err != nil {
			return err
		}
	}
	failed := 0
	for _, run := range runs {
		if run.Failed != "" {
			failed++
		}
	}
	std.out.Printf("%d of %d runs passed\n", len(runs)-failed, len(runs))
	if failed > 0 {
		return errFailed
	}
	return nil
}

// playAll plays the seeds one after the other until the context ends.
func (c *chaosCmd) playAll(ctx context.Context, std *streams) ([]*chaosRun, error) {
	var runs []*chaosRun
	for i := range c.Runs {
		run, err := c.schedule(c.Seed + uint64(i))
		if err != nil {
			return nil, err
		}
		if err := c.play(ctx, run); err != nil {
			return nil, err
		}
		if ctx.Err() != nil {
			break
		}
		c.print(std, run)
		runs = append(runs, run)
		if run.Failed != "" && c.Shrink > 0 {
			c.shrink(ctx, std, run)
		}
	}
	return runs, nil
}

// schedule reads the schedule to replay, or draws that of a seed.
func (c *chaosCmd) schedule(seed uint64) (*chaosRun, error) {
	run := &chaosRun{Kind: storednames.Stored(storednames.ScheduleKinds, c.Kind), Seed: seed}
	if c.Replay != "" {
		data, err := os.ReadFile(c.Replay)
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(data, run); err != nil {
			return nil, fmt.Errorf("%s: %w", c.Replay, err)
		}
		return run, nil
	}
	_, realization, err := drawRealization(c.Scenario, c.Set, c.Balancers, seed)
	if err != nil {
		return nil, err
	}
	size := chaos.Size{
		Balancers: len(realization.Balancers),
		Servers:   len(realization.Servers),
		Length:    realization.Length,
		Steps:     c.Faults,
	}
	run.Steps, err = chaos.Draw(run.Kind, seed, size)
	return run, err
}

// play plays a run's schedule on its realization and fills in the result. The error is of a run without a
// result: it could not be played, or is void.
func (c *chaosCmd) play(ctx context.Context, run *chaosRun) error {
	_, realization, err := drawRealization(c.Scenario, c.Set, c.Balancers, run.Seed)
	if err != nil {
		return err
	}
	run.Failed = ""
	run.describe()
	report, err := loadtest.Run(ctx, realization, loadtest.Options{
		Program:      c.Program,
		LogDir:       c.Logs,
		Faults:       run.Steps,
		VoterProgram: c.voterProgram,
	})
	run.Report = report
	switch {
	case report == nil:
		return err
	case report.Void != "":
		if err == nil {
			err = fmt.Errorf("void: %s", report.Void)
		}
		return err
	case err != nil:
		run.Failed = err.Error()
	case report.ViolationCount() > 0:
		first := report.Violations[0]
		run.Failed = fmt.Sprintf(
			"%d violations of invariants, the first %s at %.2f s: %s",
			report.ViolationCount(),
			first.Rule,
			first.At.Seconds(),
			first.Message,
		)
	default:
		run.Failed = c.checkRecovery(report, realization.Length)
	}
	return nil
}

// checkRecovery says what was wrong with the service once all faults were over; "" is nothing.
func (c *chaosCmd) checkRecovery(report *loadtest.Report, length time.Duration) string {
	from := int((length - chaos.RecoveryTime/2).Seconds())
	asked, served := 0.0, 0.0
	for _, second := range report.Seconds[min(from, len(report.Seconds)):] {
		asked += second.AskedWeight
		served += second.ServedWeight
	}
	if asked > 0 && served/asked < c.MinRecovered {
		return fmt.Sprintf(
			"%.3f served within the latency objective from %d s on, after all faults; at least %.3f is required",
			served/asked,
			from,
			c.MinRecovered,
		)
	}
	return ""
}

// describe fills in the descriptions of the steps.
func (r *chaosRun) describe() {
	r.Descriptions = nil
	for _, step := range r.Steps {
		r.Descriptions = append(r.Descriptions, step.String())
	}
}

func (c *chaosCmd) print(std *streams, run *chaosRun) {
	counts := run.Report.Counts
	std.out.Printf(
		"%s, seed %d: %d attempts, %s, %d polls of discovery\n",
		storednames.Display(storednames.ScheduleKinds, run.Kind),
		run.Seed,
		counts.Attempts,
		describeCounts(counts),
		run.Report.DiscoveryCalls,
	)
	if run.Failed == "" {
		return
	}
	std.out.Println("FAILED:", run.Failed)
	for _, description := range run.Descriptions {
		std.out.Println(" ", description)
	}
	printRunViolations(std, []*simulation.Result{&run.Report.Result})
	std.out.Printf(
		"replay: piernotch-lab chaos %s --seed %d --faults %d\n",
		storednames.Display(storednames.ScheduleKinds, run.Kind),
		run.Seed,
		c.Faults,
	)
}

// shrink looks for fewer faults that still fail, and keeps them in a file.
func (c *chaosCmd) shrink(ctx context.Context, std *streams, run *chaosRun) {
	short := *run
	short.Steps = chaos.Shrink(run.Steps, c.Shrink, func(steps []chaos.Step) bool {
		attempt := *run
		attempt.Steps = steps
		if ctx.Err() != nil || c.play(ctx, &attempt) != nil || attempt.Failed == "" {
			return false
		}
		short.Failed = attempt.Failed
		return true
	})
	short.Report = nil
	short.describe()
	name := fmt.Sprintf("chaos-%s-%d.json", run.Kind, run.Seed)
	if err := writeJSON(name, short); err != nil {
		std.err.Println(err)
		return
	}
	std.out.Printf("%d faults still fail: piernotch-lab chaos --replay %s\n", len(short.Steps), name)
	for _, description := range short.Descriptions {
		std.out.Println(" ", description)
	}
}
