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
	faultsGap   = 10 // between the faults and the spans
	textStyle   = "font-family:sans-serif;font-size:11px"
)

// DrawTimeline draws an SVG of what went wrong when, and of who held which duty under which token. It sorts spans
// by their token.
func DrawTimeline(out io.Writer, title string, length time.Duration, faults []Fault, spans []Span) {
	rows := spanRows(spans)
	spansTop := headHeight + rowHeight*len(faults) + faultsGap
	t := &timeline{canvas: svg.New(out), length: length, height: spansTop + rowHeight*len(rows) + footHeight}
	t.drawAxis(title)
	t.drawFaults(faults)
	t.drawSpans(spans, rows, spansTop)
	t.canvas.End()
}

// spanRow is the label of a row of spans.
func spanRow(s Span) string { return s.Duty + " " + s.Member }

// spanRows returns the labels of the rows, in order.
func spanRows(spans []Span) []string {
	labels := map[string]bool{}
	for _, s := range spans {
		labels[spanRow(s)] = true
	}
	return slices.Sorted(maps.Keys(labels))
}

type timeline struct {
	canvas *svg.SVG
	length time.Duration
	height int
}

func (t *timeline) x(at time.Duration) int {
	return labelWidth + int(float64(chartWidth)*at.Seconds()/t.length.Seconds())
}

// bar draws a bar in the row that begins at y.
func (t *timeline) bar(from, to time.Duration, y int, style string) {
	width := max(t.x(to)-t.x(from), 2)
	t.canvas.Rect(t.x(from), y, width, rowHeight-4, style)
}

// label draws the text to the left of the row that begins at y.
func (t *timeline) label(y int, text string) {
	t.canvas.Text(labelWidth-6, y+rowHeight-6, text, textStyle+";text-anchor:end")
}

func (t *timeline) drawAxis(title string) {
	width := labelWidth + chartWidth + rightMargin
	t.canvas.Start(width, t.height)
	t.canvas.Rect(0, 0, width, t.height, "fill:white")
	t.canvas.Text(labelWidth, 18, title, textStyle+";font-weight:bold")
	for at := time.Duration(0); at <= t.length; at += 5 * time.Second {
		t.canvas.Line(t.x(at), 26, t.x(at), t.height-20, "stroke:#ddd")
		t.canvas.Text(t.x(at), t.height-6, fmt.Sprintf("%.0f s", at.Seconds()), textStyle+";text-anchor:middle")
	}
}

func (t *timeline) drawFaults(faults []Fault) {
	for i, f := range faults {
		y := headHeight + rowHeight*i
		t.bar(f.At, f.At+f.Duration, y, "fill:#d9534f;fill-opacity:0.6")
		t.label(y, fmt.Sprintf("%s of %d", f.Kind, f.Node))
	}
}

func (t *timeline) drawSpans(spans []Span, rows []string, top int) {
	y := map[string]int{}
	for i, row := range rows {
		y[row] = top + rowHeight*i
		t.label(y[row], row)
	}
	slices.SortFunc(spans, func(a, b Span) int { return cmp.Compare(a.Token, b.Token) })
	fills := []string{"fill:#337ab7", "fill:#5cb85c"}
	for i, s := range spans {
		t.bar(s.From, s.To, y[spanRow(s)], fills[i%2])
		t.canvas.Text(t.x(s.From)+2, y[spanRow(s)]+rowHeight-6, fmt.Sprint(s.Token), textStyle+";fill:white;font-size:9px")
	}
}
