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
var sweepCharts = []string{
	"service",
	"worst_window",
	"refused_rate",
	"retry_rate",
	"choked_share",
	"p99_ms",
	"cold_peak",
	"falls",
}

// palette has the colors of lines.
var palette = []color.RGBA{
	{31, 119, 180, 255},
	{214, 39, 40, 255},
	{44, 160, 44, 255},
	{148, 103, 189, 255},
	{255, 127, 14, 255},
	{140, 86, 75, 255},
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

func newChart(name string, texts labels) *Chart {
	drawing := plot.New()
	drawing.Title.Text = texts.title
	drawing.X.Label.Text = texts.x
	drawing.Y.Label.Text = texts.y
	drawing.Legend.Top = true
	drawing.Legend.Left = true
	drawing.Add(plotter.NewGrid())
	return &Chart{Name: name, Plot: drawing, Width: 18 * vg.Centimeter, Height: 9 * vg.Centimeter}
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
func Charts(file *ResultFile) ([]*Chart, error) {
	switch {
	case file.Kind == kindCompare && file.Compare != nil:
		return runCharts([]series{
			{"a: " + file.Compare.A.Name, file.Compare.RunsA},
			{"b: " + file.Compare.B.Name, file.Compare.RunsB},
		})
	case file.Kind == kindRun:
		return runCharts([]series{{file.Scenario, file.Runs}})
	case file.Kind == kindSweep:
		var charts []*Chart
		for _, figure := range sweepCharts {
			chart, err := sweepChart(file, figure)
			if err != nil {
				return nil, err
			}
			charts = append(charts, chart)
		}
		return charts, nil
	}
	return nil, fmt.Errorf("a result of kind %q: %w", file.Kind, ErrNothingToDraw)
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
	for _, drawn := range all {
		if len(drawn.runs) > 0 && len(drawn.runs[0].Servers) > 0 {
			charts = append(charts, serversChart(drawn.name, drawn.runs[0]))
		}
	}
	return charts, nil
}
