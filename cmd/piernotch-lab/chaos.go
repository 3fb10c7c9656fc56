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
)

type chaosCmd struct {
	Name      string   `arg:"" optional:"" default:"mixed" help:"A kind of schedule; --list prints them."`
	List      bool     `help:"Only list the kinds."`
	Seed      uint64   `default:"1" help:"Of the first run: the day and its faults."`
	Runs      int      `default:"1" help:"Seeds to play, one after the other, in real time."`
	Steps     int      `default:"12" help:"Faults of each run."`
	Scenario  string   `default:"chaos" help:"A scenario file, or the name of a shipped one."`
	Balancers int      `help:"Balancers, instead of the scenario's."`
	Set       []string `sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the scenario; may be repeated."`
	Back      float64  `default:"0.9" help:"Share that has to be served in time in the end, when all faults are over."`
	Shrink    int      `default:"0" help:"Runs that may be spent on leaving out faults of a run that fails."`
	Replay    string   `placeholder:"FILE" help:"Play the schedule in the file."`
	Program   string   `placeholder:"FILE" help:"The balancer; piernotch beside this program is the default."`
	Group     bool     `help:"The balancers share one watch of discovery, by a group of three voters (piernotch-voter beside this program); for schedules without links."`
	Logs      string   `placeholder:"DIR" help:"Keep the balancers' configurations and logs there."`
	JSON      string   `name:"json" placeholder:"FILE" help:"Keep the results there."`
	voter     string
}

// chaosRun is one schedule and what came of it, as it is kept in files.
type chaosRun struct {
	Kind         string           `json:"kind"`
	Seed         uint64           `json:"seed"`
	Steps        []chaos.Step     `json:"steps"`
	Descriptions []string         `json:"words"` // of the steps
	Failed       string           `json:"failed,omitempty"`
	Report       *loadtest.Report `json:"report,omitempty"`
}

func (c *chaosCmd) Run(ctx context.Context, o *output) error {
	if c.List {
		for _, kind := range chaos.Kinds {
			o.out.Printf("%-10s %s\n", kind.Name, kind.Description)
		}
		return nil
	}
	if err := resolveProgram(&c.Program, "piernotch"); err != nil {
		return err
	}
	if c.Group {
		if err := resolveProgram(&c.voter, "piernotch-voter"); err != nil {
			return err
		}
	}
	runs, err := c.playAll(ctx, o)
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
	o.out.Printf("%d of %d runs kept everything\n", len(runs)-failed, len(runs))
	if failed > 0 {
		return errFailed
	}
	return nil
}

// playAll plays the seeds one after the other until the context ends.
func (c *chaosCmd) playAll(ctx context.Context, o *output) ([]*chaosRun, error) {
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
		c.print(o, run)
		runs = append(runs, run)
		if run.Failed != "" && c.Shrink > 0 {
			c.shrink(ctx, o, run)
		}
	}
	return runs, nil
}

// schedule reads the schedule to replay, or draws that of a seed.
func (c *chaosCmd) schedule(seed uint64) (*chaosRun, error) {
	run := &chaosRun{Kind: c.Name, Seed: seed}
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
	_, d, err := drawRealization(c.Scenario, c.Set, c.Balancers, seed)
	if err != nil {
		return nil, err
	}
	size := chaos.Size{Balancers: len(d.Balancers), Servers: len(d.Servers), Length: d.Length, Steps: c.Steps}
	run.Steps, err = chaos.Draw(c.Name, seed, size)
	return run, err
}

// play plays a run's schedule on its day and fills in how it went. The error is of a run that says
// nothing: it could not be played, or is void.
func (c *chaosCmd) play(ctx context.Context, run *chaosRun) error {
	_, d, err := drawRealization(c.Scenario, c.Set, c.Balancers, run.Seed)
	if err != nil {
		return err
	}
	run.Failed = ""
	run.describe()
	report, err := loadtest.Run(ctx, d, loadtest.Options{Program: c.Program, LogDir: c.Logs, Faults: run.Steps, VoterProgram: c.voter})
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
		run.Failed = fmt.Sprintf("%d breaks of a rule, first %s at %.2f s: %s", report.ViolationCount(), first.Rule, first.At.Seconds(), first.Message)
	default:
		run.Failed = c.checkRecovery(report, d.Length)
	}
	return nil
}

// checkRecovery says what was wrong with the service once all faults were over; "" is nothing.
func (c *chaosCmd) checkRecovery(report *loadtest.Report, length time.Duration) string {
	from := int((length - chaos.RecoveryTime/2).Seconds())
	asked, served := 0.0, 0.0
	for _, s := range report.Seconds[min(from, len(report.Seconds)):] {
		asked += s.AskedWeight
		served += s.ServedWeight
	}
	if asked > 0 && served/asked < c.Back {
		return fmt.Sprintf("%.3f served in time from %d s on, with all faults over; %.3f is wanted", served/asked, from, c.Back)
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

func (c *chaosCmd) print(o *output, run *chaosRun) {
	counts := run.Report.Counts
	o.out.Printf("%s, seed %d: %d tries, %d served, %d refused, %d failed, %d without an answer, %d broken, %d met no balancer, %d calls for the list\n",
		run.Kind, run.Seed, counts.Attempts, counts.Served, counts.Rejected, counts.Failed, counts.TimedOut, counts.Disconnected, counts.Unreachable, run.Report.DiscoveryCalls)
	if run.Failed == "" {
		return
	}
	o.out.Println("FAILED:", run.Failed)
	for _, description := range run.Descriptions {
		o.out.Println(" ", description)
	}
	printRunViolations(o, []*simulation.Result{&run.Report.Result})
	o.out.Printf("again: piernotch-lab chaos %s --seed %d --steps %d\n", run.Kind, run.Seed, c.Steps)
}

// shrink looks for fewer faults that still fail, and keeps them in a file.
func (c *chaosCmd) shrink(ctx context.Context, o *output, run *chaosRun) {
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
		o.err.Println(err)
		return
	}
	o.out.Printf("%d faults still fail: piernotch-lab chaos --replay %s\n", len(short.Steps), name)
	for _, description := range short.Descriptions {
		o.out.Println(" ", description)
	}
}
