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

type drillCmd struct {
	Names   []string `arg:"" optional:"" help:"Drills; none: all."`
	Runs    int      `default:"3" help:"Seeds of each."`
	Seed    uint64   `default:"1" help:"The first seed."`
	Model   bool     `help:"In simulated time, instead of on sockets."`
	Program string   `placeholder:"FILE" help:"The balancer; piernotch beside this program is the default."`
	List    bool     `help:"Only list the drills."`
	JSON    string   `name:"json" placeholder:"DIR" help:"Keep the results there, a file a drill; piernotch-lab plot draws them."`
}

func (c *drillCmd) Run(ctx context.Context, o *output) error {
	drills := loadtest.Drills()
	if c.List {
		for _, d := range drills {
			fmt.Fprintf(o.out, "%-24s %s\n", d.Name, d.What)
		}
		return nil
	}
	for _, name := range c.Names {
		if !slices.ContainsFunc(drills, func(d loadtest.Drill) bool { return d.Name == name }) {
			return fmt.Errorf("no drill %q; --list tells them", name)
		}
	}
	if err := beside(&c.Program, "piernotch"); err != nil {
		return err
	}
	t := table.NewWriter()
	t.AppendHeader(table.Row{"drill", "served, of the control", "worst 3 s", "back after, s", "refused", "failed", "rules broken"})
	var broken []*simulation.Result
	controls := map[string][]*simulation.Result{}
	for _, d := range drills {
		if len(c.Names) > 0 && !slices.Contains(c.Names, d.Name) {
			continue
		}
		s, err := d.Scenario()
		if err != nil {
			return err
		}
		calm, key, err := d.Control()
		if err != nil {
			return err
		}
		if controls[key] == nil {
			if controls[key], err = c.play(ctx, o, calm); err != nil {
				return fmt.Errorf("control of %s: %w", d.Name, err)
			}
		}
		runs, err := c.play(ctx, o, s)
		if err != nil {
			return fmt.Errorf("%s: %w", d.Name, err)
		}
		if ctx.Err() != nil {
			break
		}
		broken = append(broken, slices.DeleteFunc(slices.Clone(runs), func(r *simulation.Result) bool { return r == nil })...)
		t.AppendRow(drillRow(d, runs, controls[key]))
		if c.JSON != "" {
			if err := os.MkdirAll(c.JSON, 0o755); err != nil {
				return err
			}
			kept := slices.DeleteFunc(slices.Clone(runs), func(r *simulation.Result) bool { return r == nil })
			f := &experiment.File{Kind: "run", Scenario: s.Name, About: s.About, Seed: c.Seed, Runs: kept, Summary: experiment.Summary(kept)}
			if err := f.Write(filepath.Join(c.JSON, d.Name+".json")); err != nil {
				return err
			}
		}
	}
	fmt.Fprintln(o.out, t.RenderMarkdown())
	tellBreaks(o, broken)
	if experiment.Broken(broken) > 0 {
		return errFails
	}
	return nil
}

// play plays all seeds of a drill.
func (c *drillCmd) play(ctx context.Context, o *output, s *scenario.Scenario) ([]*simulation.Result, error) {
	if c.Model {
		return experiment.Run(ctx, experiment.Plan{Scenario: s, Seed: c.Seed, Runs: c.Runs}, experiment.Variant{}, nil)
	}
	var runs []*simulation.Result
	for i := range c.Runs {
		d, err := s.Draw(c.Seed + uint64(i))
		if err != nil {
			return nil, err
		}
		r, err := loadtest.Run(ctx, d, loadtest.Options{Program: c.Program})
		if err != nil {
			return nil, err
		}
		if r.Void != "" {
			fmt.Fprintf(o.err, "%s, seed %d: void: %s\n", s.Name, d.Seed, r.Void)
			runs = append(runs, nil)
			continue
		}
		runs = append(runs, &r.Result)
	}
	return runs, nil
}

// drillRow sums up a drill; runs that are void on either side are left out.
func drillRow(d loadtest.Drill, runs, controls []*simulation.Result) table.Row {
	var whole, worst, refused, failed []float64
	var back []string
	broken := 0
	for i, r := range runs {
		if r == nil || controls[i] == nil {
			continue
		}
		v := loadtest.Recover(r, controls[i], loadtest.DrillAt)
		whole, worst = append(whole, v.Whole), append(worst, v.Lowest)
		refused, failed = append(refused, v.Refused), append(failed, v.Failed)
		back = append(back, fmt.Sprintf("%.0f", v.Back))
		broken += r.Broken()
	}
	if len(whole) == 0 {
		return table.Row{d.Name, "void"}
	}
	mean := func(v []float64) string { return fmt.Sprintf("%.3f", experiment.Summarize(v).Mean) }
	return table.Row{d.Name, mean(whole), mean(worst), strings.Join(back, ", "), mean(refused), mean(failed), broken}
}
