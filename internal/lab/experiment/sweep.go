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
	invalid := func(d Dimension, err error) (Dimension, error) {
		return d, &FlagError{Flag: "--vary", Value: text, Err: err}
	}
	key, list, ok := strings.Cut(text, "=")
	d := Dimension{Key: strings.TrimSpace(key)}
	if !ok || d.Key == "" {
		return invalid(d, errors.New("KEY=V1,V2,… is expected"))
	}
	d.Values = splitValues(list)
	if len(d.Values) == 0 {
		return invalid(d, errors.New("no values"))
	}
	for _, value := range d.Values {
		if strings.Count(value, "+") != strings.Count(d.Key, "+") {
			return invalid(d, fmt.Errorf("%s has not one value for each key", value))
		}
	}
	return d, nil
}

// splitValues splits a list at the commas outside of brackets, and leaves out empty values.
func splitValues(list string) []string {
	var values []string
	depth, from := 0, 0
	for i, c := range list + "," {
		switch {
		case c == '[':
			depth++
		case c == ']':
			depth--
		case c == ',' && depth == 0:
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
func Sweep(ctx context.Context, p Plan, v Variant, dimensions []Dimension) ([]Point, error) {
	if len(dimensions) < 1 || len(dimensions) > 2 {
		return nil, fmt.Errorf("%w, not %d", ErrDimensions, len(dimensions))
	}
	var points []Point
	for _, values := range combinations(dimensions) {
		at := v
		at.Set = slices.Clone(v.Set)
		for i, value := range values {
			at.Set = append(at.Set, dimensions[i].Settings(value)...)
		}
		runs, err := Run(ctx, p, at)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", strings.Join(at.Set, " "), err)
		}
		points = append(points, Point{Values: values, Summary: SummarizeRuns(runs), Runs: withoutSeries(runs)})
	}
	return points, nil
}

// combinations returns all combinations of the dimensions' values; the last dimension changes first.
func combinations(dimensions []Dimension) [][]string {
	all := [][]string{{}}
	for _, d := range dimensions {
		var next [][]string
		for _, values := range all {
			for _, value := range d.Values {
				next = append(next, append(slices.Clone(values), value))
			}
		}
		all = next
	}
	return all
}

// withoutSeries drops what a run holds by second, server and percentile: a sweep keeps the figures only.
func withoutSeries(runs []*simulation.Result) []*simulation.Result {
	for _, r := range runs {
		r.Seconds = nil
		r.Servers = nil
		r.Latency = nil
	}
	return runs
}
