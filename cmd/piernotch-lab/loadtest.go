package main

import (
	"context"
	"fmt"
	"os"

	"piernotch/internal/lab/experiment"
	"piernotch/internal/lab/loadtest"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
	"piernotch/internal/lab/storednames"
)

// drawRealization loads a scenario and draws one realization of it, for the commands that play on sockets.
// A number of balancers above zero replaces the scenario's.
func drawRealization(
	name string,
	set []string,
	balancers int,
	seed uint64,
) (*scenario.Scenario, *scenario.Realization, error) {
	loaded, err := scenario.Load(name)
	if err != nil {
		return nil, nil, err
	}
	if balancers > 0 {
		set = append(append([]string{}, set...), fmt.Sprintf("balancers.count=%d", balancers))
	}
	if len(set) > 0 {
		loaded, err = loaded.With(set...)
		if err != nil {
			return nil, nil, err
		}
	}
	realization, err := loaded.Draw(seed)
	return loaded, realization, err
}

type loadtestCmd struct {
	Scenario  string   `arg:"" help:"A scenario file, or the name of a shipped one."`
	Balancers int      `help:"Number of balancers, instead of the scenario's."`
	Runs      int      `default:"1" help:"Seeds to play, one after the other, in real time."`
	Seed      uint64   `default:"1" help:"The first seed."`
	Set       []string `sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the scenario; may be repeated."`
	Program   string   `placeholder:"FILE" help:"The balancer; piernotch beside this program is the default."`
	Proxy     bool     `help:"Run net/http/httputil's ReverseProxy in place of the balancer, to compare CPU and memory."` //nolint:lll // struct tags cannot be wrapped
	MemoryMB  int      `name:"memory-mb" default:"192" help:"Memory limit given to each balancer."`
	Sockets   int      `default:"1024" help:"Descriptor limit given to each balancer."`
	Logs      string   `placeholder:"DIR" help:"Keep the balancers' configurations and logs there."`
	JSON      string   `name:"json" placeholder:"FILE" help:"Keep the result; piernotch-lab plot draws it."`
	Threshold []string `name:"threshold" aliases:"aim" sep:"none" placeholder:"FIGURE>=X" help:"A threshold for a mean; may be repeated. Missing it exits with 1."` //nolint:lll // struct tags cannot be wrapped
}

func (c *loadtestCmd) Run(ctx context.Context, std *streams) error {
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
	thresholds, err := parseBounds(c.Threshold)
	if err != nil {
		return err
	}
	played, err := c.play(ctx, std, options)
	if err != nil {
		return err
	}
	summary := experiment.SummarizeRuns(played.runs)
	if len(played.runs) > 1 {
		for _, name := range []string{
			"service",
			"whole",
			"worst_window",
			"worst_class",
			"refused_rate",
			"failed_rate",
			"p50_ms",
			"p99_ms",
		} {
			std.out.Printf("%s %s\n", storednames.Display(storednames.Figures, name), summary[name])
		}
	}
	printRunViolations(std, played.runs)
	if err := c.save(played, summary); err != nil {
		return err
	}
	if played.void {
		return errFailed
	}
	return thresholds.check(std.out, summary, experiment.Violations(played.runs))
}

// save writes the result's file, if one is asked for.
func (c *loadtestCmd) save(played loadtestRuns, summary map[string]experiment.Interval) error {
	if c.JSON == "" {
		return nil
	}
	loaded := played.scenario
	file := &experiment.ResultFile{
		Kind: "run", Scenario: loaded.Name, Description: loaded.About + " (load test on sockets)", Seed: c.Seed,
		Runs: played.runs, Summary: summary,
	}
	return file.Write(c.JSON)
}

// loadtestRuns are the runs of one command.
type loadtestRuns struct {
	scenario *scenario.Scenario
	runs     []*simulation.Result // of the valid ones
	void     bool                 // at least one run was void
}

// play plays the seeds one after the other until the context ends.
func (c *loadtestCmd) play(ctx context.Context, std *streams, options loadtest.Options) (loadtestRuns, error) {
	var played loadtestRuns
	for i := range c.Runs {
		loaded, realization, err := drawRealization(c.Scenario, c.Set, c.Balancers, c.Seed+uint64(i))
		if err != nil {
			return played, err
		}
		played.scenario = loaded
		printRealization(std, loaded.Name, realization)
		report, err := loadtest.Run(ctx, realization, options)
		if report != nil {
			printReport(std, report)
			if report.Void != "" {
				played.void = true
				std.out.Println("VOID:", report.Void)
			} else {
				played.runs = append(played.runs, &report.Result)
			}
		}
		if err != nil {
			return played, err
		}
		if ctx.Err() != nil {
			std.out.Println("ended early")
			break
		}
	}
	return played, nil
}
