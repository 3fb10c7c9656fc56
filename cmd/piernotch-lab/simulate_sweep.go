package main

import (
	"context"

	"github.com/jedib0t/go-pretty/v6/table"

	"piernotch/internal/lab/experiment"
	"piernotch/internal/lab/storednames"
)

type simulateSweepCmd struct {
	simulateOptions
	Vary    []string `required:"" sep:"none" placeholder:"KEY=V1,V2,…" help:"A key and its values; twice for two dimensions. Keys that change together are joined by +, as their values are."` //nolint:lll // struct tags cannot be wrapped
	Adapter string   `placeholder:"PROGRAM" help:"Let another program decide."`
}

func (c *simulateSweepCmd) Run(ctx context.Context, std *streams) error {
	plan, thresholds, err := c.plan()
	if err != nil {
		return err
	}
	dimensions, err := c.dimensions()
	if err != nil {
		return err
	}
	runs := c.Runs
	for _, dimension := range dimensions {
		runs *= len(dimension.Values)
	}
	var finish func()
	plan.Progress, finish = progress(std, runs, "sweeping")
	variant := experiment.Variant{Name: "builtin", Adapter: c.Adapter}
	points, err := experiment.Sweep(ctx, plan, variant, dimensions)
	finish()
	if err != nil {
		return err
	}
	out, resultTable := c.newTable(std, plan)
	fillSweepTable(resultTable, dimensions, points)
	resultTable.Render()
	missed := c.checkPoints(out, thresholds, dimensions, points)
	file := &experiment.ResultFile{
		Kind: "sweep", Scenario: plan.Scenario.Name, Description: plan.Scenario.About, Seed: c.Seed,
		Variant: &variant, Dimensions: dimensions, Points: points,
	}
	if err := c.save(file); err != nil {
		return err
	}
	return missed
}

// dimensions reads the dimensions of the command line.
func (c *simulateSweepCmd) dimensions() ([]experiment.Dimension, error) {
	var dimensions []experiment.Dimension
	for _, text := range c.Vary {
		dimension, err := experiment.ParseDimension(text)
		if err != nil {
			return nil, err
		}
		dimensions = append(dimensions, dimension)
	}
	return dimensions, nil
}

// checkPoints prints the violations and missed thresholds of all points, and returns errFailed for these.
func (c *simulateSweepCmd) checkPoints(
	out *printer,
	thresholds bounds,
	dimensions []experiment.Dimension,
	points []experiment.Point,
) error {
	var failed error
	for _, point := range points {
		var set []string
		for i, value := range point.Values {
			set = append(set, dimensions[i].Settings(value)...)
		}
		c.printViolations(out, set, c.Adapter, point.Runs)
		if err := thresholds.check(out, point.Summary, experiment.Violations(point.Runs)); err != nil {
			failed = err
		}
	}
	return failed
}

// fillSweepTable adds a row for each point: its values, then some of its figures.
func fillSweepTable(resultTable table.Writer, dimensions []experiment.Dimension, points []experiment.Point) {
	figures := []string{"service", "worst_window", "refused_rate", "choked_share", "p99_ms", "cold_peak", "falls"}
	head := table.Row{}
	for _, dimension := range dimensions {
		head = append(head, dimension.Key)
	}
	for _, name := range figures {
		head = append(head, storednames.Display(storednames.Figures, name))
	}
	resultTable.AppendHeader(head)
	for _, point := range points {
		row := table.Row{}
		for _, value := range point.Values {
			row = append(row, value)
		}
		for _, name := range figures {
			row = append(row, point.Summary[name])
		}
		resultTable.AppendRow(row)
	}
}
