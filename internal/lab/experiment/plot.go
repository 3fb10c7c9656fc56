package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"path/filepath"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"piernotch/internal/lab/simulation"
)

var inks = []color.RGBA{{31, 119, 180, 255}, {214, 39, 40, 255}, {44, 160, 44, 255}, {148, 103, 189, 255}, {255, 127, 14, 255}, {140, 86, 75, 255}}

func ink(i int) color.RGBA { return inks[i%len(inks)] }

func light(c color.RGBA) color.NRGBA { return color.NRGBA{c.R, c.G, c.B, 60} }

// Chart is one drawing.
type Chart struct {
	Name   string
	Plot   *plot.Plot
	Width  vg.Length
	Height vg.Length
}

func chart(name, title, x, y string) *Chart {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	return &Chart{Name: name, Plot: p, Width: 18 * vg.Centimeter, Height: 9 * vg.Centimeter}
}

// Charts draws all that a result has to show.
func Charts(f *File) ([]*Chart, error) {
	var charts []*Chart
	add := func(c *Chart, err error) error {
		if err == nil && c != nil {
			charts = append(charts, c)
		}
		return err
	}
	type set struct {
		name string
		runs []*simulation.Result
	}
	var sets []set
	switch {
	case f.Kind == "compare" && f.Compare != nil:
		sets = []set{{"a: " + f.Compare.A.Name, f.Compare.RunsA}, {"b: " + f.Compare.B.Name, f.Compare.RunsB}}
	case f.Kind == "run":
		sets = []set{{f.Scenario, f.Runs}}
	case f.Kind == "sweep":
		for _, fig := range []string{"service", "worst_window", "refused_rate", "retry_rate", "choked_share", "p99_ms", "cold_peak", "falls"} {
			if err := add(sweepChart(f, fig)); err != nil {
				return nil, err
			}
		}
		return charts, nil
	default:
		return nil, fmt.Errorf("a result of kind %q has nothing to draw", f.Kind)
	}
	over := chart("service", "Service over time, mean and 95% band over seeds", "second of the day", "worth served in time")
	over.Plot.Y.Min, over.Plot.Y.Max = 0, 1.02
	lat := chart("latency", "Latency of served requests, mean and 95% band over seeds", "percentile", "ms")
	for i, s := range sets {
		if err := serviceLine(over.Plot, s.name, s.runs, ink(i)); err != nil {
			return nil, err
		}
		if err := latencyLine(lat.Plot, s.name, s.runs, ink(i)); err != nil {
			return nil, err
		}
	}
	lat.Plot.Y.Scale, lat.Plot.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	lat.Plot.X.Tick.Marker = plot.ConstantTicks(nines)
	charts = append(charts, over)
	if len(lat.Plot.Title.Text) > 0 && hasLatency(sets[0].runs) {
		charts = append(charts, lat)
	}
	for _, s := range sets {
		if len(s.runs) > 0 && len(s.runs[0].Servers) > 0 {
			charts = append(charts, serverChart(s.name, s.runs[0]))
		}
	}
	return charts, nil
}

func hasLatency(runs []*simulation.Result) bool {
	for _, r := range runs {
		if len(r.Latency) > 0 {
			return true
		}
	}
	return false
}

// band draws a mean with its interval.
func band(p *plot.Plot, name string, xs []float64, at func(i int) []float64, c color.RGBA) error {
	var line, up, down plotter.XYs
	for i, x := range xs {
		values := at(i)
		if len(values) == 0 {
			continue
		}
		s := Summarize(values)
		lo, hi := s.Mean, s.Mean
		if s.Lo != nil {
			lo, hi = *s.Lo, *s.Hi
		}
		line = append(line, plotter.XY{X: x, Y: s.Mean})
		up = append(up, plotter.XY{X: x, Y: hi})
		down = append(down, plotter.XY{X: x, Y: max(lo, 1e-3)})
	}
	if len(line) == 0 {
		return nil
	}
	for i := len(down) - 1; i >= 0; i-- {
		up = append(up, down[i])
	}
	area, err := plotter.NewPolygon(up)
	if err != nil {
		return err
	}
	area.Color, area.LineStyle.Width = light(c), 0
	l, err := plotter.NewLine(line)
	if err != nil {
		return err
	}
	l.Color, l.Width = c, vg.Points(1.4)
	p.Add(area, l)
	p.Legend.Add(name, l)
	return nil
}

func serviceLine(p *plot.Plot, name string, runs []*simulation.Result, c color.RGBA) error {
	n := 0
	for _, r := range runs {
		n = max(n, len(r.Seconds))
	}
	xs := make([]float64, n)
	for i := range xs {
		xs[i] = float64(i) + 0.5
	}
	return band(p, name, xs, func(i int) []float64 {
		var v []float64
		for _, r := range runs {
			if i < len(r.Seconds) && r.Seconds[i].Asked > 0 {
				v = append(v, r.Seconds[i].Served/r.Seconds[i].Asked)
			}
		}
		return v
	}, c)
}

// nine stretches the tail: every further nine of a percentile has the same room.
func nine(percentile float64) float64 {
	return -math.Log10(max(1-percentile/100, 1e-5))
}

var nines = []plot.Tick{
	{Value: nine(0), Label: "0"}, {Value: nine(50), Label: "50"}, {Value: nine(90), Label: "90"}, {Value: nine(99), Label: "99"},
	{Value: nine(99.9), Label: "99.9"}, {Value: nine(99.99), Label: "99.99"},
}

func latencyLine(p *plot.Plot, name string, runs []*simulation.Result, c color.RGBA) error {
	if !hasLatency(runs) {
		return nil
	}
	var xs []float64
	for _, r := range runs {
		if len(r.Latency) == 0 {
			continue
		}
		for _, s := range r.Latency {
			if s.Percentile < 100 {
				xs = append(xs, nine(s.Percentile))
			}
		}
		break
	}
	return band(p, name, xs, func(i int) []float64 {
		var v []float64
		for _, r := range runs {
			if i < len(r.Latency) {
				v = append(v, max(r.Latency[i].MS, 0.001))
			}
		}
		return v
	}, c)
}

// strips draws a row of cells for each server, a cell a second.
type strips struct{ tracks []simulation.ServerTrack }

// colours of what is not up and warm.
var stateInk = map[uint8]color.RGBA{
	1: {255, 221, 87, 255}, 2: {90, 90, 90, 255}, 3: {20, 20, 20, 255}, 4: {150, 0, 150, 255}, 5: {120, 190, 255, 255}, 6: {214, 39, 40, 255},
}

func (s strips) Plot(c draw.Canvas, p *plot.Plot) {
	tx, ty := p.Transforms(&c)
	for row, t := range s.tracks {
		for i := range t.Busy {
			ink, ok := stateInk[t.State[i]]
			if !ok {
				g := uint8(255 - 200*min(max(float64(t.Busy[i]), 0), 1))
				ink = color.RGBA{g, 255 - uint8(90*min(max(float64(t.Busy[i]), 0), 1)), g, 255}
			}
			c.FillPolygon(ink, []vg.Point{
				{X: tx(float64(i)), Y: ty(float64(row))}, {X: tx(float64(i + 1)), Y: ty(float64(row))},
				{X: tx(float64(i + 1)), Y: ty(float64(row) + 0.9)}, {X: tx(float64(i)), Y: ty(float64(row) + 0.9)},
			})
		}
	}
}

func (s strips) DataRange() (xmin, xmax, ymin, ymax float64) {
	for _, t := range s.tracks {
		xmax = max(xmax, float64(len(t.Busy)))
	}
	return 0, xmax, 0, float64(len(s.tracks))
}

func serverChart(name string, r *simulation.Result) *Chart {
	c := chart("servers", fmt.Sprintf("%s, seed %d: servers (green: busy, blue: cold, yellow: draining, red: choked,\ngrey: down, black: silent, violet: pushed over)", name, r.Seed), "second of the day", "")
	c.Plot.Add(strips{r.Servers})
	var ticks []plot.Tick
	for i, t := range r.Servers {
		ticks = append(ticks, plot.Tick{Value: float64(i) + 0.45, Label: fmt.Sprintf("%d %s z%d", t.Server, t.Kind, t.Zone)})
	}
	c.Plot.Y.Tick.Marker = plot.ConstantTicks(ticks)
	c.Plot.Y.Tick.Label.Font.Size = vg.Points(6)
	c.Height = vg.Length(len(r.Servers))*0.3*vg.Centimeter + 4*vg.Centimeter
	return c
}

// sweepChart draws a figure over the first dimension, a line for each value of the
// second.
func sweepChart(f *File, figure string) (*Chart, error) {
	if len(f.Points) == 0 || len(f.Vary) == 0 {
		return nil, fmt.Errorf("a sweep without points")
	}
	c := chart(figure, figure+", mean and 95% interval over seeds", f.Vary[0].Key, figure)
	second := []string{""}
	if len(f.Vary) == 2 {
		second = f.Vary[1].Values
	}
	numeric := true
	for _, v := range f.Vary[0].Values {
		if _, err := strconv.ParseFloat(v, 64); err != nil {
			numeric = false
		}
	}
	if !numeric {
		c.Plot.NominalX(f.Vary[0].Values...)
	}
	for line, want := range second {
		var pts plotter.XYs
		var errs plotter.YErrors
		for _, p := range f.Points {
			if len(f.Vary) == 2 && p.Values[1] != want {
				continue
			}
			x := 0.0
			for i, v := range f.Vary[0].Values {
				if v == p.Values[0] {
					x = float64(i)
				}
			}
			if numeric {
				x, _ = strconv.ParseFloat(p.Values[0], 64)
			}
			s := p.Summary[figure]
			half := 0.0
			if s.Lo != nil {
				half = (*s.Hi - *s.Lo) / 2
			}
			pts = append(pts, plotter.XY{X: x, Y: s.Mean})
			errs = append(errs, struct{ Low, High float64 }{half, half})
		}
		data := struct {
			plotter.XYs
			plotter.YErrors
		}{pts, errs}
		bars, err := plotter.NewYErrorBars(data)
		if err != nil {
			return nil, err
		}
		bars.Color = ink(line)
		l, dots, err := plotter.NewLinePoints(pts)
		if err != nil {
			return nil, err
		}
		l.Color, dots.Color = ink(line), ink(line)
		c.Plot.Add(l, dots, bars)
		if want != "" {
			c.Plot.Legend.Add(f.Vary[1].Key+"="+want, l)
		}
	}
	return c, nil
}

// SVG draws a chart as SVG.
func (c *Chart) SVG() ([]byte, error) {
	canvas := vgsvg.New(c.Width, c.Height)
	c.Plot.Draw(draw.New(canvas))
	var out bytes.Buffer
	_, err := canvas.WriteTo(&out)
	return out.Bytes(), err
}

// PNG draws a chart as PNG, at 160 dots an inch.
func (c *Chart) PNG() ([]byte, error) {
	canvas := vgimg.NewWith(vgimg.UseWH(c.Width, c.Height), vgimg.UseDPI(160))
	c.Plot.Draw(draw.New(canvas))
	var out bytes.Buffer
	_, err := vgimg.PngCanvas{Canvas: canvas}.WriteTo(&out)
	return out.Bytes(), err
}

// Render draws a result for a file of the given name: .svg and .png hold one chart
// (by its name, or the first), .html holds a report with all.
func Render(f *File, name, which string) ([]byte, error) {
	charts, err := Charts(f)
	if err != nil {
		return nil, err
	}
	if len(charts) == 0 {
		return nil, fmt.Errorf("nothing to draw")
	}
	ext := strings.ToLower(filepath.Ext(name))
	if ext == ".html" {
		return report(f, charts)
	}
	pick := charts[0]
	if which != "" {
		var names []string
		pick = nil
		for _, c := range charts {
			names = append(names, c.Name)
			if c.Name == which && pick == nil {
				pick = c
			}
		}
		if pick == nil {
			return nil, fmt.Errorf("no chart %q, there are: %s", which, strings.Join(names, ", "))
		}
	}
	switch ext {
	case ".svg":
		return pick.SVG()
	case ".png":
		return pick.PNG()
	}
	return nil, fmt.Errorf("%s: .svg, .png or .html is expected", name)
}

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.File.Scenario}} - piernotch-lab</title>
<style>body{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:right}
th:first-child,td:first-child{text-align:left}svg{max-width:100%;height:auto}.bad{color:#b00;font-weight:bold}pre{background:#f4f4f4;padding:.6em;overflow:auto}</style></head><body>
<h1>{{.File.Scenario}}</h1><p>{{.File.About}} Kind: {{.File.Kind}}, first seed {{.File.Seed}}.</p>
{{if .Verdict}}<p>b against a: <b>{{.Verdict}}</b></p>{{end}}
{{if .Broken}}<p class="bad">Rules were broken {{.Broken}} times.</p>{{else}}<p>No rule was broken.</p>{{end}}
<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>
{{range .Charts}}{{.}}{{end}}
{{range .Breaks}}<pre>{{.}}</pre>{{end}}
</body></html>
`))

// report is a page that needs nothing beside it.
func report(f *File, charts []*Chart) ([]byte, error) {
	data := struct {
		File    *File
		Verdict Verdict
		Broken  int
		Head    []string
		Rows    [][]string
		Charts  []template.HTML
		Breaks  []string
	}{File: f}
	breaks := func(runs []*simulation.Result) {
		data.Broken += Broken(runs)
		for _, r := range runs {
			for _, b := range r.Breaks {
				if len(data.Breaks) < 20 {
					data.Breaks = append(data.Breaks, fmt.Sprintf("seed %d: %s\n%s", r.Seed, b, strings.Join(b.Steps, "\n")))
				}
			}
		}
	}
	switch {
	case f.Compare != nil:
		data.Verdict = f.Compare.Verdict
		data.Head = []string{"figure", "a", "b", "b less a"}
		for _, n := range FigureNames() {
			data.Rows = append(data.Rows, []string{n, f.Compare.SummaryA[n].String(), f.Compare.SummaryB[n].String(), f.Compare.Difference[n].String()})
		}
		breaks(f.Compare.RunsA)
		breaks(f.Compare.RunsB)
	case len(f.Points) > 0:
		for _, v := range f.Vary {
			data.Head = append(data.Head, v.Key)
		}
		shown := []string{"service", "worst_window", "refused_rate", "p99_ms", "falls", "cold_falls"}
		data.Head = append(data.Head, shown...)
		for _, p := range f.Points {
			row := append([]string{}, p.Values...)
			for _, n := range shown {
				row = append(row, p.Summary[n].String())
			}
			data.Rows = append(data.Rows, row)
			breaks(p.Runs)
		}
	default:
		data.Head = []string{"figure", "mean and 95% interval"}
		for _, n := range FigureNames() {
			if s, ok := f.Summary[n]; ok {
				data.Rows = append(data.Rows, []string{n, s.String()})
			}
		}
		breaks(f.Runs)
	}
	for _, c := range charts {
		svg, err := c.SVG()
		if err != nil {
			return nil, err
		}
		if i := bytes.Index(svg, []byte("<svg")); i >= 0 { // no XML prologue inside of HTML
			svg = svg[i:]
		}
		data.Charts = append(data.Charts, template.HTML(svg))
	}
	var out bytes.Buffer
	if err := page.Execute(&out, data); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
