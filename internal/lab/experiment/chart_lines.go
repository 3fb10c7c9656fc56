package experiment

import (
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"piernotch/internal/lab/simulation"
)

// serviceChart draws service over time.
func serviceChart(all []series) (*Chart, error) {
	chart := newChart("service", labels{
		title: "Service over time, mean and 95% band over seeds",
		x:     "second of the run",
		y:     "share of priority weight served within the latency objective",
	})
	chart.Plot.Y.Min = 0
	chart.Plot.Y.Max = 1.02
	for i, drawn := range all {
		if err := addBand(chart.Plot, serviceBand(drawn), i); err != nil {
			return nil, err
		}
	}
	return chart, nil
}

// latencyChart draws latency over percentiles.
func latencyChart(all []series) (*Chart, error) {
	chart := newChart("latency", labels{
		title: "Latency of served requests, mean and 95% band over seeds",
		x:     "percentile",
		y:     "ms",
	})
	for i, drawn := range all {
		if err := addBand(chart.Plot, latencyBand(drawn), i); err != nil {
			return nil, err
		}
	}
	chart.Plot.Y.Scale = plot.LogScale{}
	chart.Plot.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	chart.Plot.X.Tick.Marker = plot.ConstantTicks(tailTicks)
	return chart, nil
}

func hasLatency(runs []*simulation.Result) bool {
	for _, run := range runs {
		if len(run.Latency) > 0 {
			return true
		}
	}
	return false
}

// band is a mean with its interval over x.
type band struct {
	name   string
	xs     []float64
	values func(i int) []float64 // of all runs at xs[i]; points without any are left out
}

// lowestBandEdge, in ms, keeps latencies and the lower edge of their band above zero, which a logarithmic scale
// does not have.
const lowestBandEdge = 1e-3

// addBand draws a band in the color of a number, unless it has no points.
func addBand(drawing *plot.Plot, drawn band, number int) error {
	var line, upper, lower plotter.XYs
	for i, x := range drawn.xs {
		values := drawn.values(i)
		if len(values) == 0 {
			continue
		}
		interval := Summarize(values)
		low, high := interval.Mean, interval.Mean
		if interval.Low != nil {
			low, high = *interval.Low, *interval.High
		}
		line = append(line, plotter.XY{X: x, Y: interval.Mean})
		upper = append(upper, plotter.XY{X: x, Y: high})
		lower = append(lower, plotter.XY{X: x, Y: max(low, lowestBandEdge)})
	}
	if len(line) == 0 {
		return nil
	}
	outline := upper
	for i := len(lower) - 1; i >= 0; i-- {
		outline = append(outline, lower[i])
	}
	area, err := plotter.NewPolygon(outline)
	if err != nil {
		return err
	}
	area.Color = translucent(lineColor(number))
	area.Width = 0
	meanLine, err := plotter.NewLine(line)
	if err != nil {
		return err
	}
	meanLine.Color = lineColor(number)
	meanLine.Width = vg.Points(1.4)
	drawing.Add(area, meanLine)
	drawing.Legend.Add(drawn.name, meanLine)
	return nil
}

// serviceBand is the share served within the latency objective, by second.
func serviceBand(drawn series) band {
	seconds := 0
	for _, run := range drawn.runs {
		seconds = max(seconds, len(run.Seconds))
	}
	xs := make([]float64, seconds)
	for i := range xs {
		xs[i] = float64(i) + 0.5
	}
	return band{drawn.name, xs, func(i int) []float64 {
		var values []float64
		for _, run := range drawn.runs {
			if hasRequests := i < len(run.Seconds) && run.Seconds[i].AskedWeight > 0; hasRequests {
				values = append(values, run.Seconds[i].ServedWeight/run.Seconds[i].AskedWeight)
			}
		}
		return values
	}}
}

// latencyBand is the latency in ms, by percentile. The percentiles are those of the first run that has any.
func latencyBand(drawn series) band {
	var xs []float64
	for _, run := range drawn.runs {
		if len(run.Latency) == 0 {
			continue
		}
		for _, step := range run.Latency {
			if step.Percentile < 100 {
				xs = append(xs, tailScale(step.Percentile))
			}
		}
		break
	}
	return band{drawn.name, xs, func(i int) []float64 {
		var values []float64
		for _, run := range drawn.runs {
			if i < len(run.Latency) {
				values = append(values, max(run.Latency[i].MS, lowestBandEdge))
			}
		}
		return values
	}}
}

// smallestTail is the share above the last percentile that tailScale tells apart, 99.999.
const smallestTail = 1e-5

// tailScale stretches the tail: from 90 to 99 is as far as from 99 to 99.9.
func tailScale(percentile float64) float64 {
	return -math.Log10(max(1-percentile/100, smallestTail))
}

var tailTicks = []plot.Tick{
	{Value: tailScale(0), Label: "0"},
	{Value: tailScale(50), Label: "50"},
	{Value: tailScale(90), Label: "90"},
	{Value: tailScale(99), Label: "99"},
	{Value: tailScale(99.9), Label: "99.9"},
	{Value: tailScale(99.99), Label: "99.99"},
}
