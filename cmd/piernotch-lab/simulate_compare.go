package main

import (
	"context"
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"piernotch/internal/lab/experiment"
)

type simulateCompareCmd struct {
	simulateOptions
	A string `default:"builtin" placeholder:"VARIANT" help:"What is compared against: builtin, a program on the simulator's wire, KEY=VALUE[;KEY=VALUE], or a file of such lines."`
	B string `required:"" placeholder:"VARIANT" help:"What is compared."`
}

func (c *simulateCompareCmd) Run(ctx context.Context, o *output) error {
	p, aims, err := c.plan()
	if err != nil {
		return err
	}
	a, err := experiment.ParseVariant(c.A)
	if err != nil {
		return fmt.Errorf("--a: %w", err)
	}
	b, err := experiment.ParseVariant(c.B)
	if err != nil {
		return fmt.Errorf("--b: %w", err)
	}
	var finish func()
	p.Progress, finish = progress(o, 2*c.Runs, "comparing")
	comparison, err := experiment.Compare(ctx, p, a, b)
	finish()
	if err != nil {
		return err
	}
	w, t := c.newTable(o, p)
	t.AppendHeader(table.Row{"figure", "a: " + a.Name, "b: " + b.Name, "b less a, paired"})
	for _, name := range printedFigures {
		t.AppendRow(table.Row{name, comparison.SummaryA[name], comparison.SummaryB[name], comparison.Difference[name]})
	}
	t.Render()
	w.Printf("b is %s\n", map[experiment.Verdict]string{
		experiment.Better: "better", experiment.Worse: "worse", experiment.Inconclusive: "neither: these seeds can't tell",
	}[comparison.Verdict])
	c.printViolations(w, a.Set, a.Adapter, comparison.RunsA)
	c.printViolations(w, b.Set, b.Adapter, comparison.RunsB)
	f := &experiment.ResultFile{Kind: "compare", Scenario: p.Scenario.Name, Description: p.Scenario.About, Seed: c.Seed, Compare: comparison}
	if err := c.save(f); err != nil {
		return err
	}
	return aims.check(w, comparison.SummaryB, experiment.Violations(comparison.RunsA)+experiment.Violations(comparison.RunsB))
}
