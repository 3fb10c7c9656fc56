package main

import (
	"context"

	"github.com/jedib0t/go-pretty/v6/table"

	"piernotch/internal/lab/experiment"
)

type simulateSweepCmd struct {
	simulateOptions
	Vary    []string `required:"" sep:"none" placeholder:"KEY=V1,V2,…" help:"A key and its values; twice for two dimensions. Keys that change together are joined by +, as their values are."`
	Adapter string   `placeholder:"PROGRAM" help:"Let another program decide."`
}

func (c *simulateSweepCmd) Run(ctx context.Context, o *output) error {
	p, aims, err := c.plan()
	if err != nil {
		return err
	}
	dims, err := c.dimensions()
	if err != nil {
		return err
	}
	realizations := c.Runs
	for _, d := range dims {
		realizations *= len(d.Values)
	}
	var finish func()
	p.Progress, finish = progress(o, realizations, "sweeping")
	variant := experiment.Variant{Name: "builtin", Adapter: c.Adapter}
	points, err := experiment.Sweep(ctx, p, variant, dims)
	finish()
	if err != nil {
		return err
	}
	w, t := c.newTable(o, p)
	fillSweepTable(t, dims, points)
	t.Render()
	missed := c.checkPoints(w, aims, dims, points)
	f := &experiment.ResultFile{
		Kind: "sweep", Scenario: p.Scenario.Name, Description: p.Scenario.About, Seed: c.Seed,
		Variant: &variant, Dimensions: dims, Points: points,
	}
	if err := c.save(f); err != nil {
		return err
	}
	return missed
}

// dimensions reads the dimensions of the command line.
func (c *simulateSweepCmd) dimensions() ([]experiment.Dimension, error) {
	var dims []experiment.Dimension
	for _, text := range c.Vary {
		d, err := experiment.ParseDimension(text)
		if err != nil {
			return nil, err
		}
		dims = append(dims, d)
	}
	return dims, nil
}

// checkPoints prints the violations and missed bounds of all points, and returns errFailed for these.
func (c *simulateSweepCmd) checkPoints(w *printer, aims bounds, dims []experiment.Dimension, points []experiment.Point) error {
	var failed error
	for _, point := range points {
		var set []string
		for i, value := range point.Values {
			set = append(set, dims[i].Settings(value)...)
		}
		c.printViolations(w, set, c.Adapter, point.Runs)
		if err := aims.check(w, point.Summary, experiment.Violations(point.Runs)); err != nil {
			failed = err
		}
	}
	return failed
}

// fillSweepTable adds a row for each point: its values, then some of its figures.
func fillSweepTable(t table.Writer, dims []experiment.Dimension, points []experiment.Point) {
	figures := []string{"service", "worst_window", "refused_rate", "choked_share", "p99_ms", "cold_peak", "falls"}
	head := table.Row{}
	for _, d := range dims {
		head = append(head, d.Key)
	}
	for _, name := range figures {
		head = append(head, name)
	}
	t.AppendHeader(head)
	for _, point := range points {
		row := table.Row{}
		for _, value := range point.Values {
			row = append(row, value)
		}
		for _, name := range figures {
			row = append(row, point.Summary[name])
		}
		t.AppendRow(row)
	}
}
