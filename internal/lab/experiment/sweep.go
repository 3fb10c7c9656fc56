package experiment

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"piernotch/internal/lab/simulation"
)

// Dimension is one dimension of a sweep: a key, or several that change together, joined by "+" like their
// values.
type Dimension struct {
	Key    string   `json:"key"`
	Values []string `json:"values"`
}

// Settings returns the settings KEY=VALUE that one value stands for.
func (d Dimension) Settings(value string) []string {
	keys := strings.Split(d.Key, "+")
	values := strings.Split(value, "+")
	var set []string
	for i := range min(len(keys), len(values)) {
		set = append(set, keys[i]+"="+values[i])
	}
	return set
}

// ParseDimension reads KEY=V1,V2,…; commas inside of brackets do not separate values. Its errors are
// FlagErrors of --vary.
func ParseDimension(text string) (Dimension, error) {
	invalid := func(dimension Dimension, err error) (Dimension, error) {
		return dimension, &FlagError{Flag: "--vary", Value: text, Err: err}
	}
	key, list, ok := strings.Cut(text, "=")
	dimension := Dimension{Key: strings.TrimSpace(key)}
	if !ok || dimension.Key == "" {
		return invalid(dimension, errors.New("KEY=V1,V2,… is expected"))
	}
	dimension.Values = splitValues(list)
	if len(dimension.Values) == 0 {
		return invalid(dimension, errors.New("no values"))
	}
	for _, value := range dimension.Values {
		if strings.Count(value, "+") != strings.Count(dimension.Key, "+") {
			return invalid(dimension, fmt.Errorf("%s has not one value for each key", value))
		}
	}
	return dimension, nil
}

// splitValues splits a list at the commas outside of brackets, and leaves out empty values.
func splitValues(list string) []string {
	var values []string
	depth, from := 0, 0
	for i, character := range list + "," {
		switch {
		case character == '[':
			depth++
		case character == ']':
			depth--
		case character == ',' && depth == 0:
			if value := strings.TrimSpace(list[from:i]); value != "" {
				values = append(values, value)
			}
			from = i + 1
		}
	}
	return values
}

// Point is one setting of a sweep.
type Point struct {
	Values  []string             `json:"values"` // by dimension
	Summary map[string]Interval  `json:"summary"`
	Runs    []*simulation.Result `json:"runs,omitempty"` // without their series
}

// Sweep plays every combination of one or two dimensions on the same seeds. Other numbers of dimensions are
// ErrDimensions.
func Sweep(ctx context.Context, plan Plan, variant Variant, dimensions []Dimension) ([]Point, error) {
	if len(dimensions) < 1 || len(dimensions) > 2 {
		return nil, fmt.Errorf("%w, not %d", ErrDimensions, len(dimensions))
	}
	var points []Point
	for _, values := range combinations(dimensions) {
		varied := variant
		varied.Set = slices.Clone(variant.Set)
		for i, value := range values {
			varied.Set = append(varied.Set, dimensions[i].Settings(value)...)
		}
		runs, err := Run(ctx, plan, varied)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", strings.Join(varied.Set, " "), err)
		}
		points = append(points, Point{Values: values, Summary: SummarizeRuns(runs), Runs: withoutSeries(runs)})
	}
	return points, nil
}

// combinations returns all combinations of the dimensions' values; the last dimension changes first.
func combinations(dimensions []Dimension) [][]string {
	all := [][]string{{}}
	for _, dimension := range dimensions {
		var next [][]string
		for _, values := range all {
			for _, value := range dimension.Values {
				next = append(next, append(slices.Clone(values), value))
			}
		}
		all = next
	}
	return all
}

// withoutSeries drops what a run holds by second, server and percentile: a sweep keeps the figures only.
func withoutSeries(runs []*simulation.Result) []*simulation.Result {
	for _, run := range runs {
		run.Seconds = nil
		run.Servers = nil
		run.Latency = nil
	}
	return runs
}
