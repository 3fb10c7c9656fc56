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

// Timeline draws what went wrong when, and who held which duty under which token.
func Timeline(out io.Writer, title string, length time.Duration, faults []Fault, spans []Span) {
	const (
		left, width, row = 110, 1000, 16
		text             = "font-family:sans-serif;font-size:11px"
	)
	rows := map[string]int{}
	for _, s := range spans {
		rows[s.Duty+" "+s.Member] = 0
	}
	names := slices.Sorted(maps.Keys(rows))
	for i, n := range names {
		rows[n] = i
	}
	head := 30 + row*len(faults) + 10
	height := head + row*len(names) + 30
	x := func(t time.Duration) int { return left + int(float64(width)*t.Seconds()/length.Seconds()) }
	c := svg.New(out)
	c.Start(left+width+20, height)
	c.Rect(0, 0, left+width+20, height, "fill:white")
	c.Text(left, 18, title, text+";font-weight:bold")
	for t := time.Duration(0); t <= length; t += 5 * time.Second {
		c.Line(x(t), 26, x(t), height-20, "stroke:#ddd")
		c.Text(x(t), height-6, fmt.Sprintf("%.0f s", t.Seconds()), text+";text-anchor:middle")
	}
	for i, f := range faults {
		y := 30 + row*i
		c.Rect(x(f.At), y, max(x(f.At+f.For)-x(f.At), 2), row-4, "fill:#d9534f;fill-opacity:0.6")
		c.Text(left-6, y+row-6, fmt.Sprintf("%s of %d", f.Kind, f.Node), text+";text-anchor:end")
	}
	for _, n := range names {
		c.Text(left-6, head+row*rows[n]+row-6, n, text+";text-anchor:end")
	}
	slices.SortFunc(spans, func(a, b Span) int { return cmp.Compare(a.Token, b.Token) })
	for i, s := range spans {
		y := head + row*rows[s.Duty+" "+s.Member]
		c.Rect(x(s.From), y, max(x(s.To)-x(s.From), 2), row-4, []string{"fill:#337ab7", "fill:#5cb85c"}[i%2])
		c.Text(x(s.From)+2, y+row-6, fmt.Sprint(s.Token), text+";fill:white;font-size:9px")
	}
	c.End()
}
