package experiment

import (
	"bytes"
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"piernotch/internal/lab/simulation"
)

// pngDPI is the resolution of PNG images, dots an inch.
const pngDPI = 160

// sweepCharts are the figures of a sweep that are drawn.
var sweepCharts = []string{"service", "worst_window", "refused_rate", "retry_rate", "choked_share", "p99_ms", "cold_peak", "falls"}

// palette has the colors of lines.
var palette = []color.RGBA{
	{31, 119, 180, 255}, {214, 39, 40, 255}, {44, 160, 44, 255}, {148, 103, 189, 255}, {255, 127, 14, 255}, {140, 86, 75, 255},
}

func lineColor(i int) color.RGBA { return palette[i%len(palette)] }

// translucent is a color for an area behind lines.
func translucent(c color.RGBA) color.NRGBA { return color.NRGBA{c.R, c.G, c.B, 60} }

// Chart is one drawing.
type Chart struct {
	Name   string
	Plot   *plot.Plot
	Width  vg.Length
	Height vg.Length
}

// labels are the texts of a chart.
type labels struct{ title, x, y string }

func newChart(name string, l labels) *Chart {
	p := plot.New()
	p.Title.Text = l.title
	p.X.Label.Text = l.x
	p.Y.Label.Text = l.y
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	return &Chart{Name: name, Plot: p, Width: 18 * vg.Centimeter, Height: 9 * vg.Centimeter}
}

// SVG returns the chart as SVG.
func (c *Chart) SVG() ([]byte, error) {
	canvas := vgsvg.New(c.Width, c.Height)
	c.Plot.Draw(draw.New(canvas))
	var out bytes.Buffer
	_, err := canvas.WriteTo(&out)
	return out.Bytes(), err
}

// PNG returns the chart as PNG.
func (c *Chart) PNG() ([]byte, error) {
	canvas := vgimg.NewWith(vgimg.UseWH(c.Width, c.Height), vgimg.UseDPI(pngDPI))
	c.Plot.Draw(draw.New(canvas))
	var out bytes.Buffer
	_, err := vgimg.PngCanvas{Canvas: canvas}.WriteTo(&out)
	return out.Bytes(), err
}

// series is a set of runs that is drawn as one line.
type series struct {
	name string
	runs []*simulation.Result
}

// Charts draws all that a result has to show. A result without anything is ErrNothingToDraw.
func Charts(f *ResultFile) ([]*Chart, error) {
	switch {
	case f.Kind == kindCompare && f.Compare != nil:
		return runCharts([]series{{"a: " + f.Compare.A.Name, f.Compare.RunsA}, {"b: " + f.Compare.B.Name, f.Compare.RunsB}})
	case f.Kind == kindRun:
		return runCharts([]series{{f.Scenario, f.Runs}})
	case f.Kind == kindSweep:
		var charts []*Chart
		for _, figure := range sweepCharts {
			c, err := sweepChart(f, figure)
			if err != nil {
				return nil, err
			}
			charts = append(charts, c)
		}
		return charts, nil
	}
	return nil, fmt.Errorf("a result of kind %q: %w", f.Kind, ErrNothingToDraw)
}

// runCharts draws service over time, latencies, and the servers of each series' first run.
func runCharts(all []series) ([]*Chart, error) {
	service, err := serviceChart(all)
	if err != nil {
		return nil, err
	}
	latency, err := latencyChart(all)
	if err != nil {
		return nil, err
	}
	charts := []*Chart{service}
	if hasLatency(all[0].runs) {
		charts = append(charts, latency)
	}
	for _, s := range all {
		if len(s.runs) > 0 && len(s.runs[0].Servers) > 0 {
			charts = append(charts, serversChart(s.name, s.runs[0]))
		}
	}
	return charts, nil
}
