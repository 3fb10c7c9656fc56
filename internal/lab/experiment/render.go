package experiment

import (
	"fmt"
	"path/filepath"
	"strings"
)

// Render draws a result for a file of a name: .svg and .png hold one chart, the named one or else the
// first, .html holds a report with all. Its errors are ErrNothingToDraw, ErrUnknownChart and
// ErrUnknownImageFormat, and those of drawing.
func Render(f *ResultFile, name, chartName string) ([]byte, error) {
	charts, err := Charts(f)
	if err != nil {
		return nil, err
	}
	if len(charts) == 0 {
		return nil, ErrNothingToDraw
	}
	extension := strings.ToLower(filepath.Ext(name))
	if extension == ".html" {
		return renderReport(f, charts)
	}
	chart, err := pickChart(charts, chartName)
	if err != nil {
		return nil, err
	}
	switch extension {
	case ".svg":
		return chart.SVG()
	case ".png":
		return chart.PNG()
	}
	return nil, fmt.Errorf("%s: %w", name, ErrUnknownImageFormat)
}

// pickChart returns the first chart of a name, or the first one for "".
func pickChart(charts []*Chart, name string) (*Chart, error) {
	if name == "" {
		return charts[0], nil
	}
	var names []string
	for _, c := range charts {
		if c.Name == name {
			return c, nil
		}
		names = append(names, c.Name)
	}
	return nil, fmt.Errorf("%w: %q, there are: %s", ErrUnknownChart, name, strings.Join(names, ", "))
}
