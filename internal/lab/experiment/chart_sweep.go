package experiment

import (
	"fmt"
	"slices"
	"strconv"

	"gonum.org/v1/plot/plotter"
)

// sweepChart draws a figure over the first dimension, with a line for each value of the second.
func sweepChart(f *ResultFile, figure string) (*Chart, error) {
	if len(f.Points) == 0 || len(f.Dimensions) == 0 {
		return nil, fmt.Errorf("a sweep without points: %w", ErrNothingToDraw)
	}
	first := f.Dimensions[0]
	c := newChart(figure, labels{figure + ", mean and 95% interval over seeds", first.Key, figure})
	if !isNumeric(first.Values) {
		c.Plot.NominalX(first.Values...)
	}
	if len(f.Dimensions) < 2 {
		return c, addSweepLine(c, sweepPoints(f, figure, ""), 0, "")
	}
	second := f.Dimensions[1]
	for i, value := range second.Values {
		legend := ""
		if value != "" {
			legend = second.Key + "=" + value
		}
		if err := addSweepLine(c, sweepPoints(f, figure, value), i, legend); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// isNumeric reports whether all values are numbers.
func isNumeric(values []string) bool {
	for _, v := range values {
		if _, err := strconv.ParseFloat(v, 64); err != nil {
			return false
		}
	}
	return true
}

// pointsWithErrors are points and half of their intervals.
type pointsWithErrors struct {
	plotter.XYs
	plotter.YErrors
}

// sweepPoints returns a figure over the first dimension, where the second one, if there is any, has a value.
func sweepPoints(f *ResultFile, figure, second string) pointsWithErrors {
	var points pointsWithErrors
	first := f.Dimensions[0].Values
	numeric := isNumeric(first)
	for _, p := range f.Points {
		if len(f.Dimensions) == 2 && p.Values[1] != second {
			continue
		}
		x := float64(max(lastIndex(first, p.Values[0]), 0))
		if numeric {
			x, _ = strconv.ParseFloat(p.Values[0], 64)
		}
		interval := p.Summary[figure]
		half := interval.halfWidth()
		points.XYs = append(points.XYs, plotter.XY{X: x, Y: interval.Mean})
		points.YErrors = append(points.YErrors, struct{ Low, High float64 }{half, half})
	}
	return points
}

// lastIndex returns the place of a value from the end, -1 if it is missing.
func lastIndex(values []string, value string) int {
	for i, v := range slices.Backward(values) {
		if v == value {
			return i
		}
	}
	return -1
}

// addSweepLine draws points in the color of a number, with a legend if there is one.
func addSweepLine(c *Chart, points pointsWithErrors, number int, legend string) error {
	bars, err := plotter.NewYErrorBars(points)
	if err != nil {
		return err
	}
	line, dots, err := plotter.NewLinePoints(points.XYs)
	if err != nil {
		return err
	}
	color := lineColor(number)
	bars.Color = color
	line.Color = color
	dots.Color = color
	c.Plot.Add(line, dots, bars)
	if legend != "" {
		c.Plot.Legend.Add(legend, line)
	}
	return nil
}
