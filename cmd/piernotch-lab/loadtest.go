package main

import (
	"context"
	"fmt"
	"os"

	"piernotch/internal/lab/experiment"
	"piernotch/internal/lab/loadtest"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
)

// drawRealization loads a scenario and draws one of its days, for the commands that play on sockets. With
// balancers above zero it replaces the scenario's number of balancers.
func drawRealization(name string, set []string, balancers int, seed uint64) (*scenario.Scenario, *scenario.Realization, error) {
	s, err := scenario.Load(name)
	if err != nil {
		return nil, nil, err
	}
	if balancers > 0 {
		set = append(append([]string{}, set...), fmt.Sprintf("balancers.count=%d", balancers))
	}
	if len(set) > 0 {
		s, err = s.With(set...)
		if err != nil {
			return nil, nil, err
		}
	}
	d, err := s.Draw(seed)
	return s, d, err
}

type loadtestCmd struct {
	Scenario  string   `arg:"" help:"A scenario file, or the name of a shipped one."`
	Balancers int      `help:"Balancers, instead of the scenario's."`
	Runs      int      `default:"1" help:"Seeds to play, one after the other, in real time."`
	Seed      uint64   `default:"1" help:"The first seed."`
	Set       []string `sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the scenario; may be repeated."`
	Program   string   `placeholder:"FILE" help:"The balancer; piernotch beside this program is the default."`
	Proxy     bool     `help:"Put net/http/httputil's ReverseProxy in the balancer's place, to compare CPU and memory."`
	MemoryMB  int      `name:"memory-mb" default:"192" help:"Memory limit given to each balancer."`
	Sockets   int      `default:"1024" help:"Descriptor limit given to each balancer."`
	Logs      string   `placeholder:"DIR" help:"Keep the balancers' configurations and logs there."`
	JSON      string   `name:"json" placeholder:"FILE" help:"Keep the result; piernotch-lab plot draws it."`
	Aim       []string `sep:"none" placeholder:"FIGURE>=X" help:"A bound for a mean; may be repeated."`
}

func (c *loadtestCmd) Run(ctx context.Context, o *output) error {
	if err := resolveProgram(&c.Program, "piernotch"); err != nil {
		return err
	}
	options := loadtest.Options{Program: c.Program, MemoryMB: c.MemoryMB, Sockets: c.Sockets, LogDir: c.Logs}
	if c.Proxy {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		options.Program = self
		options.Env = []string{reverseProxyVariable + "=1"}
	}
	aims, err := parseBounds(c.Aim)
	if err != nil {
		return err
	}
	played, err := c.play(ctx, o, options)
	if err != nil {
		return err
	}
	summary := experiment.SummarizeRuns(played.runs)
	if len(played.runs) > 1 {
		for _, name := range []string{"service", "whole", "worst_window", "worst_class", "refused_rate", "failed_rate", "p50_ms", "p99_ms"} {
			o.out.Printf("%s %s\n", name, summary[name])
		}
	}
	printRunViolations(o, played.runs)
	if err := c.save(played, summary); err != nil {
		return err
	}
	if played.void {
		return errFailed
	}
	return aims.check(o.out, summary, experiment.Violations(played.runs))
}

// save writes the result's file, if one is asked for.
func (c *loadtestCmd) save(played loadtestRuns, summary map[string]experiment.Interval) error {
	if c.JSON == "" {
		return nil
	}
	s := played.scenario
	f := &experiment.ResultFile{
		Kind: "run", Scenario: s.Name, Description: s.About + " (rehearsed on sockets)", Seed: c.Seed,
		Runs: played.runs, Summary: summary,
	}
	return f.Write(c.JSON)
}

// loadtestRuns are the runs of one command.
type loadtestRuns struct {
	scenario *scenario.Scenario
	runs     []*simulation.Result // of the valid ones
	void     bool                 // at least one run was void
}

// play plays the seeds one after the other until the context ends.
func (c *loadtestCmd) play(ctx context.Context, o *output, options loadtest.Options) (loadtestRuns, error) {
	var played loadtestRuns
	for i := range c.Runs {
		s, d, err := drawRealization(c.Scenario, c.Set, c.Balancers, c.Seed+uint64(i))
		if err != nil {
			return played, err
		}
		played.scenario = s
		printRealization(o, d, s.Name)
		r, err := loadtest.Run(ctx, d, options)
		if r != nil {
			printReport(o, r)
			if r.Void != "" {
				played.void = true
				o.out.Println("VOID:", r.Void)
			} else {
				played.runs = append(played.runs, &r.Result)
			}
		}
		if err != nil {
			return played, err
		}
		if ctx.Err() != nil {
			o.out.Println("ended early")
			break
		}
	}
	return played, nil
}
