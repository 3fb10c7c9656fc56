package experiment

import (
	"fmt"
	"path/filepath"
	"strings"

	"piernotch/internal/lab/storednames"
)

// Render draws a result for a file of a name: .svg and .png hold one chart, the named one or else the
// first, .html holds a report with all. Its errors are ErrNothingToDraw, ErrUnknownChart and
// ErrUnknownImageFormat, and those of drawing.
func Render(file *ResultFile, name, chartName string) ([]byte, error) {
	charts, err := Charts(file)
	if err != nil {
		return nil, err
	}
	if len(charts) == 0 {
		return nil, ErrNothingToDraw
	}
	extension := strings.ToLower(filepath.Ext(name))
	if extension == ".html" {
		return renderReport(file, charts)
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

// pickChart returns the first chart of a name, stored or printed, or the first one for "".
func pickChart(charts []*Chart, name string) (*Chart, error) {
	if name == "" {
		return charts[0], nil
	}
	name = storednames.Stored(storednames.Figures, name)
	var names []string
	for _, chart := range charts {
		if chart.Name == name {
			return chart, nil
		}
		names = append(names, chart.Name)
	}
	return nil, fmt.Errorf("%w: %q, there are: %s", ErrUnknownChart, name, strings.Join(displayNames(names), ", "))
}
