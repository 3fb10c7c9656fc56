package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"piernotch/internal/lab/chaos"
	"piernotch/internal/lab/loadtest"
	"piernotch/internal/lab/simulation"
)

type chaosCmd struct {
	Name      string   `arg:"" optional:"" default:"mixed" help:"A kind of schedule; --list tells them."`
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

// chaosRun is what came of one schedule.
type chaosRun struct {
	Kind   string           `json:"kind"`
	Seed   uint64           `json:"seed"`
	Steps  []chaos.Step     `json:"steps"`
	Words  []string         `json:"words"`
	Failed string           `json:"failed,omitempty"`
	Report *loadtest.Report `json:"report,omitempty"`
}

func (c *chaosCmd) Run(ctx context.Context, o *output) error {
	if c.List {
		for _, k := range chaos.Kinds {
			fmt.Fprintf(o.out, "%-10s %s\n", k.Name, k.What)
		}
		return nil
	}
	if err := beside(&c.Program, "piernotch"); err != nil {
		return err
	}
	if c.Group {
		if err := beside(&c.voter, "piernotch-voter"); err != nil {
			return err
		}
	}
	var all []*chaosRun
	bad := 0
	for i := range c.Runs {
		run, err := c.draw(c.Seed + uint64(i))
		if err != nil {
			return err
		}
		if err := c.play(ctx, run); err != nil {
			return err
		}
		if ctx.Err() != nil {
			break
		}
		c.tell(o, run)
		if all = append(all, run); run.Failed == "" {
			continue
		}
		bad++
		if c.Shrink > 0 {
			c.shrink(ctx, o, run)
		}
	}
	if c.JSON != "" {
		if err := write(c.JSON, all); err != nil {
			return err
		}
	}
	fmt.Fprintf(o.out, "%d of %d runs kept everything\n", len(all)-bad, len(all))
	if bad > 0 {
		return errFails
	}
	return nil
}

func write(name string, what any) error {
	data, err := json.MarshalIndent(what, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, data, 0o644)
}

func (c *chaosCmd) draw(seed uint64) (*chaosRun, error) {
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
	_, d, err := day(c.Scenario, c.Set, c.Balancers, seed)
	if err != nil {
		return nil, err
	}
	run.Steps, err = chaos.Draw(c.Name, seed, chaos.Size{Balancers: len(d.Balancers), Servers: len(d.Servers), Length: d.Length, Steps: c.Steps})
	return run, err
}

// play plays a run's schedule on its day, and says what was not kept.
func (c *chaosCmd) play(ctx context.Context, run *chaosRun) error {
	_, d, err := day(c.Scenario, c.Set, c.Balancers, run.Seed)
	if err != nil {
		return err
	}
	run.Words, run.Failed = nil, ""
	for _, s := range run.Steps {
		run.Words = append(run.Words, s.String())
	}
	r, err := loadtest.Run(ctx, d, loadtest.Options{Program: c.Program, Logs: c.Logs, Faults: run.Steps, Voter: c.voter})
	run.Report = r
	switch {
	case r == nil || r.Void != "":
		if err == nil {
			err = fmt.Errorf("void: %s", r.Void)
		}
		return err
	case err != nil:
		run.Failed = err.Error()
	case r.Broken() > 0:
		b := r.Breaks[0]
		run.Failed = fmt.Sprintf("%d breaks of a rule, first %s at %.2f s: %s", r.Broken(), b.Rule, b.At.Seconds(), b.Message)
	default:
		from := int((d.Length - chaos.Rest/2).Seconds())
		asked, served := 0.0, 0.0
		for _, s := range r.Seconds[min(from, len(r.Seconds)):] {
			asked, served = asked+s.Asked, served+s.Served
		}
		if asked > 0 && served/asked < c.Back {
			run.Failed = fmt.Sprintf("%.3f served in time from %d s on, with all faults over; %.3f is wanted", served/asked, from, c.Back)
		}
	}
	return nil
}

func (c *chaosCmd) tell(o *output, run *chaosRun) {
	k := run.Report.Counts
	fmt.Fprintf(o.out, "%s, seed %d: %d tries, %d served, %d refused, %d failed, %d without an answer, %d broken, %d met no balancer, %d calls for the list\n",
		run.Kind, run.Seed, k.Tries, k.Served, k.Refused, k.Failed, k.Unanswered, k.Broken, k.Unreached, run.Report.ListCalls)
	if run.Failed == "" {
		return
	}
	fmt.Fprintln(o.out, "FAILED:", run.Failed)
	for _, w := range run.Words {
		fmt.Fprintln(o.out, " ", w)
	}
	tellBreaks(o, []*simulation.Result{&run.Report.Result})
	fmt.Fprintf(o.out, "again: piernotch-lab chaos %s --seed %d --steps %d\n", run.Kind, run.Seed, c.Steps)
}

// shrink looks for fewer faults that still fail, and keeps them in a file.
func (c *chaosCmd) shrink(ctx context.Context, o *output, run *chaosRun) {
	short := *run
	short.Steps = chaos.Shrink(run.Steps, c.Shrink, func(steps []chaos.Step) bool {
		try := *run
		try.Steps = steps
		if ctx.Err() != nil || c.play(ctx, &try) != nil || try.Failed == "" {
			return false
		}
		short.Failed = try.Failed
		return true
	})
	short.Report, short.Words = nil, nil
	for _, s := range short.Steps {
		short.Words = append(short.Words, s.String())
	}
	name := fmt.Sprintf("chaos-%s-%d.json", run.Kind, run.Seed)
	if err := write(name, short); err != nil {
		fmt.Fprintln(o.err, err)
		return
	}
	fmt.Fprintf(o.out, "%d faults still fail: piernotch-lab chaos --replay %s\n", len(short.Steps), name)
	for _, w := range short.Words {
		fmt.Fprintln(o.out, " ", w)
	}
}
