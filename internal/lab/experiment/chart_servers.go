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
	5: {120, 190, 255, 255}, // in slow start
	6: {214, 39, 40, 255},   // overloaded
}

// busyColor is the color of a server that is up and warm: the busier, the greener.
func busyColor(busy float32) color.RGBA {
	share := min(max(float64(busy), 0), 1)
	other := uint8(255 - 200*share)
	return color.RGBA{other, 255 - uint8(90*share), other, 255}
}

// Plot draws the rows.
func (s serverStrips) Plot(canvas draw.Canvas, drawing *plot.Plot) {
	toX, toY := drawing.Transforms(&canvas)
	for row, track := range s.tracks {
		bottom := toY(float64(row))
		top := toY(float64(row) + stripHeight)
		for i := range track.Busy {
			cell, ok := stateColors[track.State[i]]
			if !ok {
				cell = busyColor(track.Busy[i])
			}
			left := toX(float64(i))
			right := toX(float64(i + 1))
			canvas.FillPolygon(cell, []vg.Point{
				{X: left, Y: bottom},
				{X: right, Y: bottom},
				{X: right, Y: top},
				{X: left, Y: top},
			})
		}
	}
}

// DataRange returns the seconds and rows that are drawn.
func (s serverStrips) DataRange() (xmin, xmax, ymin, ymax float64) {
	for _, track := range s.tracks {
		xmax = max(xmax, float64(len(track.Busy)))
	}
	return 0, xmax, 0, float64(len(s.tracks))
}

// serversChart draws the servers of one run.
func serversChart(name string, run *simulation.Result) *Chart {
	title := fmt.Sprintf(
		"%s, seed %d: servers (green: busy, blue: in slow start, yellow: draining, red: overloaded,\n"+
			"grey: down, black: silent, violet: collapsed)",
		name,
		run.Seed,
	)
	chart := newChart("servers", labels{title: title, x: "second of the run"})
	chart.Plot.Add(serverStrips{run.Servers})
	var ticks []plot.Tick
	for i, track := range run.Servers {
		ticks = append(ticks, plot.Tick{
			Value: float64(i) + stripHeight/2,
			Label: fmt.Sprintf("%d %s z%d", track.Server, track.Kind, track.Zone),
		})
	}
	chart.Plot.Y.Tick.Marker = plot.ConstantTicks(ticks)
	chart.Plot.Y.Tick.Label.Font.Size = vg.Points(6)
	chart.Height = vg.Length(len(run.Servers))*0.3*vg.Centimeter + 4*vg.Centimeter
	return chart
}
