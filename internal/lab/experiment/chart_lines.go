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
	c := newChart("service", labels{"Service over time, mean and 95% band over seeds", "second of the day", "worth served in time"})
	c.Plot.Y.Min = 0
	c.Plot.Y.Max = 1.02
	for i, s := range all {
		if err := addBand(c.Plot, serviceBand(s), i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// latencyChart draws latency over percentiles.
func latencyChart(all []series) (*Chart, error) {
	c := newChart("latency", labels{"Latency of served requests, mean and 95% band over seeds", "percentile", "ms"})
	for i, s := range all {
		if err := addBand(c.Plot, latencyBand(s), i); err != nil {
			return nil, err
		}
	}
	c.Plot.Y.Scale = plot.LogScale{}
	c.Plot.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	c.Plot.X.Tick.Marker = plot.ConstantTicks(tailTicks)
	return c, nil
}

func hasLatency(runs []*simulation.Result) bool {
	for _, r := range runs {
		if len(r.Latency) > 0 {
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

// lowestBandEdge keeps the lower edge of a band above zero, which a logarithmic scale does not have.
const lowestBandEdge = 1e-3

// addBand draws a band in the color of a number, unless it has no points.
func addBand(p *plot.Plot, b band, number int) error {
	var line, upper, lower plotter.XYs
	for i, x := range b.xs {
		values := b.values(i)
		if len(values) == 0 {
			continue
		}
		s := Summarize(values)
		low, high := s.Mean, s.Mean
		if s.Low != nil {
			low, high = *s.Low, *s.High
		}
		line = append(line, plotter.XY{X: x, Y: s.Mean})
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
	l, err := plotter.NewLine(line)
	if err != nil {
		return err
	}
	l.Color = lineColor(number)
	l.Width = vg.Points(1.4)
	p.Add(area, l)
	p.Legend.Add(b.name, l)
	return nil
}

// serviceBand is the share served in time, by second.
func serviceBand(s series) band {
	seconds := 0
	for _, r := range s.runs {
		seconds = max(seconds, len(r.Seconds))
	}
	xs := make([]float64, seconds)
	for i := range xs {
		xs[i] = float64(i) + 0.5
	}
	return band{s.name, xs, func(i int) []float64 {
		var values []float64
		for _, r := range s.runs {
			if i < len(r.Seconds) && r.Seconds[i].AskedWeight > 0 {
				values = append(values, r.Seconds[i].ServedWeight/r.Seconds[i].AskedWeight)
			}
		}
		return values
	}}
}

// latencyBand is the latency in ms, by percentile. The percentiles are those of the first run that has any.
func latencyBand(s series) band {
	var xs []float64
	for _, r := range s.runs {
		if len(r.Latency) == 0 {
			continue
		}
		for _, step := range r.Latency {
			if step.Percentile < 100 {
				xs = append(xs, tailScale(step.Percentile))
			}
		}
		break
	}
	return band{s.name, xs, func(i int) []float64 {
		var values []float64
		for _, r := range s.runs {
			if i < len(r.Latency) {
				values = append(values, max(r.Latency[i].MS, 0.001))
			}
		}
		return values
	}}
}

// tailScale stretches the tail: from 90 to 99 is as far as from 99 to 99.9.
func tailScale(percentile float64) float64 {
	return -math.Log10(max(1-percentile/100, 1e-5))
}

var tailTicks = []plot.Tick{
	{Value: tailScale(0), Label: "0"}, {Value: tailScale(50), Label: "50"}, {Value: tailScale(90), Label: "90"}, {Value: tailScale(99), Label: "99"},
	{Value: tailScale(99.9), Label: "99.9"}, {Value: tailScale(99.99), Label: "99.99"},
}
