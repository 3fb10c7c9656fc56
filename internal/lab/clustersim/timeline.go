package clustersim

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	svg "github.com/ajstarks/svgo"
)

// Layout of a timeline, in pixels.
const (
	labelWidth  = 110
	chartWidth  = 1000
	rowHeight   = 16
	headHeight  = 30
	footHeight  = 30
	rightMargin = 20
	faultsGap   = 10 // between the rows of faults and of spans
	textStyle   = "font-family:sans-serif;font-size:11px"
)

// Timeline is the input of DrawTimeline.
type Timeline struct {
	Title    string
	Duration time.Duration // of the run, and the length of the time axis
	Faults   []Fault       // one row each
	Spans    []Span        // one row per pair of duty and holder
}

// DrawTimeline writes an SVG to out, with the faults over time and the holders of each duty with their tokens.
func DrawTimeline(out io.Writer, timeline Timeline) {
	rows := spanRows(timeline.Spans)
	spansTop := headHeight + rowHeight*len(timeline.Faults) + faultsGap
	picture := &drawing{
		canvas:   svg.New(out),
		duration: timeline.Duration,
		height:   spansTop + rowHeight*len(rows) + footHeight,
	}
	picture.drawAxis(timeline.Title)
	picture.drawFaults(timeline.Faults)
	picture.drawSpans(timeline.Spans, rows, spansTop)
	picture.canvas.End()
}

// spanRow returns the label of the row that contains a span.
func spanRow(s Span) string { return s.Duty + " " + s.Holder }

// spanRows returns the labels of the rows of spans, sorted.
func spanRows(spans []Span) []string {
	labels := map[string]bool{}
	for _, s := range spans {
		labels[spanRow(s)] = true
	}
	return slices.Sorted(maps.Keys(labels))
}

// drawing is a timeline's canvas and scale.
type drawing struct {
	canvas   *svg.SVG
	duration time.Duration
	height   int // in pixels
}

func (d *drawing) x(at time.Duration) int {
	return labelWidth + int(float64(chartWidth)*at.Seconds()/d.duration.Seconds())
}

// bar draws a bar, at least 2 pixels wide, in the row whose upper edge is at y.
func (d *drawing) bar(from, to time.Duration, y int, style string) {
	width := max(d.x(to)-d.x(from), 2)
	d.canvas.Rect(d.x(from), y, width, rowHeight-4, style)
}

// label draws a text to the left of the row whose upper edge is at y.
func (d *drawing) label(y int, text string) {
	d.canvas.Text(labelWidth-6, y+rowHeight-6, text, textStyle+";text-anchor:end")
}

func (d *drawing) drawAxis(title string) {
	width := labelWidth + chartWidth + rightMargin
	d.canvas.Start(width, d.height)
	d.canvas.Rect(0, 0, width, d.height, "fill:white")
	d.canvas.Text(labelWidth, 18, title, textStyle+";font-weight:bold")
	for at := time.Duration(0); at <= d.duration; at += 5 * time.Second {
		d.canvas.Line(d.x(at), 26, d.x(at), d.height-20, "stroke:#ddd")
		d.canvas.Text(d.x(at), d.height-6, fmt.Sprintf("%.0f s", at.Seconds()), textStyle+";text-anchor:middle")
	}
}

func (d *drawing) drawFaults(faults []Fault) {
	for i, fault := range faults {
		y := headHeight + rowHeight*i
		d.bar(fault.At, fault.At+fault.Duration, y, "fill:#d9534f;fill-opacity:0.6")
		d.label(y, fmt.Sprintf("%s of %d", fault.Kind, fault.Process))
	}
}

func (d *drawing) drawSpans(spans []Span, rows []string, top int) {
	rowTops := map[string]int{}
	for i, row := range rows {
		rowTops[row] = top + rowHeight*i
		d.label(rowTops[row], row)
	}
	byToken := slices.SortedFunc(slices.Values(spans), func(a, b Span) int { return cmp.Compare(a.Token, b.Token) })
	fills := []string{"fill:#337ab7", "fill:#5cb85c"}
	for i, span := range byToken {
		row := rowTops[spanRow(span)]
		d.bar(span.From, span.To, row, fills[i%len(fills)])
		d.canvas.Text(d.x(span.From)+2, row+rowHeight-6, fmt.Sprint(span.Token), textStyle+";fill:white;font-size:9px")
	}
}
