package experiment

import (
	"context"
	"fmt"

	"piernotch/internal/lab/simulation"
)

// Verdict is what a comparison says of its second variant. The values are those of result files.
type Verdict string

// Verdicts.
const (
	Better       Verdict = "better"
	Worse        Verdict = "worse"
	Inconclusive Verdict = "can't tell"
)

// Comparison is B against A on the same seeds.
type Comparison struct {
	A          Variant              `json:"a"`
	B          Variant              `json:"b"`
	SummaryA   map[string]Interval  `json:"summary_a"`
	SummaryB   map[string]Interval  `json:"summary_b"`
	Difference map[string]Interval  `json:"difference"` // B less A, paired by seed
	Verdict    Verdict              `json:"verdict"`    // on service, for B
	RunsA      []*simulation.Result `json:"runs_a"`
	RunsB      []*simulation.Result `json:"runs_b"`
}

// Compare plays both variants on the same seeds.
func Compare(ctx context.Context, plan Plan, variantA, variantB Variant) (*Comparison, error) {
	runsA, err := Run(ctx, plan, variantA)
	if err != nil {
		return nil, fmt.Errorf("a: %w", err)
	}
	runsB, err := Run(ctx, plan, variantB)
	if err != nil {
		return nil, fmt.Errorf("b: %w", err)
	}
	comparison := &Comparison{
		A: variantA, B: variantB, RunsA: runsA, RunsB: runsB,
		SummaryA: SummarizeRuns(runsA), SummaryB: SummarizeRuns(runsB), Difference: map[string]Interval{},
	}
	for _, figure := range figures {
		valuesA := column(runsA, figure.Value)
		differences := column(runsB, figure.Value)
		for i := range differences {
			differences[i] -= valuesA[i]
		}
		comparison.Difference[figure.Name] = Summarize(differences)
	}
	comparison.Verdict = judge(comparison.Difference["service"])
	return comparison, nil
}

// judge is inconclusive unless the whole interval lies on one side.
func judge(difference Interval) Verdict {
	switch {
	case difference.Low == nil:
		return Inconclusive
	case *difference.Low > 0:
		return Better
	case *difference.High < 0:
		return Worse
	}
	return Inconclusive
}
