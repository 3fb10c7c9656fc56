package experiment

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"piernotch/internal/lab/simulation"
)

// serverStrips draws a row of cells for each server, a cell a second. It is a plot.Plotter.
type serverStrips struct{ tracks []simulation.ServerTrack }

// stripHeight is the height of a row, of the 1 that it has.
const stripHeight = 0.9

// stateColors are the colors of states other than up and warm, by simulation.ServerTrack's numbers.
var stateColors = map[uint8]color.RGBA{
	1: {255, 221, 87, 255},  // draining
	2: {90, 90, 90, 255},    // down
	3: {20, 20, 20, 255},    // silent
	4: {150, 0, 150, 255},   // collapsed
	5: {120, 190, 255, 255}, // cold
	6: {214, 39, 40, 255},   // overloaded
}

// busyColor is the color of a server that is up and warm: the busier, the greener.
func busyColor(busy float32) color.RGBA {
	share := min(max(float64(busy), 0), 1)
	other := uint8(255 - 200*share)
	return color.RGBA{other, 255 - uint8(90*share), other, 255}
}

// Plot draws the rows.
func (s serverStrips) Plot(c draw.Canvas, p *plot.Plot) {
	tx, ty := p.Transforms(&c)
	for row, t := range s.tracks {
		bottom := ty(float64(row))
		top := ty(float64(row) + stripHeight)
		for i := range t.Busy {
			cell, ok := stateColors[t.State[i]]
			if !ok {
				cell = busyColor(t.Busy[i])
			}
			left := tx(float64(i))
			right := tx(float64(i + 1))
			c.FillPolygon(cell, []vg.Point{{X: left, Y: bottom}, {X: right, Y: bottom}, {X: right, Y: top}, {X: left, Y: top}})
		}
	}
}

// DataRange returns the seconds and rows that are drawn.
func (s serverStrips) DataRange() (xmin, xmax, ymin, ymax float64) {
	for _, t := range s.tracks {
		xmax = max(xmax, float64(len(t.Busy)))
	}
	return 0, xmax, 0, float64(len(s.tracks))
}

// serversChart draws the servers of one run.
func serversChart(name string, r *simulation.Result) *Chart {
	title := fmt.Sprintf("%s, seed %d: servers (green: busy, blue: cold, yellow: draining, red: choked,\ngrey: down, black: silent, violet: pushed over)", name, r.Seed)
	c := newChart("servers", labels{title: title, x: "second of the day"})
	c.Plot.Add(serverStrips{r.Servers})
	var ticks []plot.Tick
	for i, t := range r.Servers {
		ticks = append(ticks, plot.Tick{Value: float64(i) + stripHeight/2, Label: fmt.Sprintf("%d %s z%d", t.Server, t.Kind, t.Zone)})
	}
	c.Plot.Y.Tick.Marker = plot.ConstantTicks(ticks)
	c.Plot.Y.Tick.Label.Font.Size = vg.Points(6)
	c.Height = vg.Length(len(r.Servers))*0.3*vg.Centimeter + 4*vg.Centimeter
	return c
}
