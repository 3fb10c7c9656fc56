package experiment

import (
	"fmt"
	"slices"
	"strconv"

	"gonum.org/v1/plot/plotter"

	"piernotch/internal/lab/storednames"
)

// sweepChart draws a figure over the first dimension, with a line for each value of the second.
func sweepChart(file *ResultFile, figure string) (*Chart, error) {
	if len(file.Points) == 0 || len(file.Dimensions) == 0 {
		return nil, fmt.Errorf("a sweep without points: %w", ErrNothingToDraw)
	}
	first := file.Dimensions[0]
	display := storednames.Display(storednames.Figures, figure)
	chart := newChart(figure, labels{title: display + ", mean and 95% interval over seeds", x: first.Key, y: display})
	if !isNumeric(first.Values) {
		chart.Plot.NominalX(first.Values...)
	}
	if len(file.Dimensions) < 2 {
		return chart, addSweepLine(chart, sweepPoints(file, figure, ""), 0, "")
	}
	second := file.Dimensions[1]
	for i, value := range second.Values {
		legend := ""
		if value != "" {
			legend = second.Key + "=" + value
		}
		if err := addSweepLine(chart, sweepPoints(file, figure, value), i, legend); err != nil {
			return nil, err
		}
	}
	return chart, nil
}

// isNumeric reports whether all values are numbers.
func isNumeric(values []string) bool {
	for _, value := range values {
		if _, err := strconv.ParseFloat(value, 64); err != nil {
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
func sweepPoints(file *ResultFile, figure, second string) pointsWithErrors {
	var points pointsWithErrors
	first := file.Dimensions[0].Values
	numeric := isNumeric(first)
	for _, point := range file.Points {
		if len(file.Dimensions) == 2 && point.Values[1] != second {
			continue
		}
		x := float64(max(lastIndex(first, point.Values[0]), 0))
		if numeric {
			x, _ = strconv.ParseFloat(point.Values[0], 64)
		}
		interval := point.Summary[figure]
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
func addSweepLine(chart *Chart, points pointsWithErrors, number int, legend string) error {
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
	chart.Plot.Add(line, dots, bars)
	if legend != "" {
		chart.Plot.Legend.Add(legend, line)
	}
	return nil
}
