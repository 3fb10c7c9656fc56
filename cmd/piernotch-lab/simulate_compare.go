package main

import (
	"context"
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"piernotch/internal/lab/experiment"
	"piernotch/internal/lab/storednames"
)

type simulateCompareCmd struct {
	simulateOptions
	A string `name:"a" default:"builtin" placeholder:"VARIANT" help:"What is compared against: builtin, a program that speaks the simulator's protocol, KEY=VALUE[;KEY=VALUE], or a file of such lines."` //nolint:lll // struct tags cannot be wrapped
	B string `name:"b" required:"" placeholder:"VARIANT" help:"What is compared."`
}

func (c *simulateCompareCmd) Run(ctx context.Context, std *streams) error {
	plan, thresholds, err := c.plan()
	if err != nil {
		return err
	}
	variantA, err := experiment.ParseVariant(c.A)
	if err != nil {
		return fmt.Errorf("--a: %w", err)
	}
	variantB, err := experiment.ParseVariant(c.B)
	if err != nil {
		return fmt.Errorf("--b: %w", err)
	}
	var finish func()
	plan.Progress, finish = progress(std, 2*c.Runs, "comparing")
	comparison, err := experiment.Compare(ctx, plan, variantA, variantB)
	finish()
	if err != nil {
		return err
	}
	out, resultTable := c.newTable(std, plan)
	resultTable.AppendHeader(table.Row{"figure", "a: " + variantA.Name, "b: " + variantB.Name, "b less a, paired"})
	for _, name := range printedFigures {
		resultTable.AppendRow(table.Row{
			storednames.Display(storednames.Figures, name),
			comparison.SummaryA[name],
			comparison.SummaryB[name],
			comparison.Difference[name],
		})
	}
	resultTable.Render()
	out.Printf("b is %s\n", map[experiment.Verdict]string{
		experiment.Better:       "better",
		experiment.Worse:        "worse",
		experiment.Inconclusive: "neither better nor worse: these seeds can't tell",
	}[comparison.Verdict])
	c.printViolations(out, variantA.Set, variantA.Adapter, comparison.RunsA)
	c.printViolations(out, variantB.Set, variantB.Adapter, comparison.RunsB)
	file := &experiment.ResultFile{
		Kind:        "compare",
		Scenario:    plan.Scenario.Name,
		Description: plan.Scenario.About,
		Seed:        c.Seed,
		Compare:     comparison,
	}
	if err := c.save(file); err != nil {
		return err
	}
	return thresholds.check(
		out,
		comparison.SummaryB,
		experiment.Violations(comparison.RunsA)+experiment.Violations(comparison.RunsB),
	)
}
