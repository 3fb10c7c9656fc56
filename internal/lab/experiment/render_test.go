package experiment

import (
	"context"
	"encoding/xml"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/invariants"
)

func TestSweepsAndCharts(t *testing.T) {
	plan := testPlan(t, 2, 0)
	dimensions := []Dimension{{"traffic.load", []string{"0.4", "0.8"}}, {"fleet.servers", []string{"8", "12"}}}
	points, err := Sweep(context.Background(), plan, Variant{}, dimensions)
	require.NoError(t, err)
	require.Len(t, points, 4)
	require.Equal(t, []string{"0.4", "12"}, points[1].Values)
	_, err = Sweep(context.Background(), plan, Variant{}, nil)
	require.ErrorIs(t, err, ErrDimensions)
	runs, err := Run(context.Background(), plan, Variant{})
	require.NoError(t, err)
	comparison, err := Compare(context.Background(), plan, Variant{Name: "x"}, Variant{Name: "y"})
	require.NoError(t, err)
	broken := points[0].Runs[0]
	broken.SlowStartCollapses, broken.Violations = 1, []invariants.Violation{
		{Rule: invariants.SlowStart, Server: 3, Message: "pushed over", Steps: []string{"a step"}},
	}
	for _, file := range []*ResultFile{
		{Kind: "sweep", Scenario: "s", Dimensions: dimensions, Points: points},
		{Kind: "run", Scenario: "s", Runs: runs, Summary: SummarizeRuns(runs)},
		{Kind: "compare", Scenario: "s", Compare: comparison},
	} {
		name := filepath.Join(t.TempDir(), "r.json")
		require.NoError(t, file.Write(name))
		back, err := ReadFile(name)
		require.NoError(t, err)
		svg, err := Render(back, "x.svg", "")
		require.NoError(t, err)
		for decoder := xml.NewDecoder(strings.NewReader(string(svg))); ; { // it is well formed
			if _, err := decoder.Token(); err != nil {
				require.ErrorIs(t, err, io.EOF)
				break
			}
		}
		png, err := Render(back, "x.png", "")
		require.NoError(t, err)
		require.Equal(t, "\x89PNG", string(png[:4]))
		html, err := Render(back, "x.html", "")
		require.NoError(t, err)
		require.NotContains(t, string(html), "src=", "it needs nothing beside it")
		if file.Kind == "sweep" {
			require.Contains(t, string(html), "pushed over\na step")
			require.Equal(t, invariants.SlowStart, back.Points[0].Runs[0].Violations[0].Rule)
		} else {
			require.Contains(t, string(html), "No invariant was violated")
		}
		_, err = Render(back, "x.svg", "nonsense")
		require.ErrorIs(t, err, ErrUnknownChart)
		require.ErrorContains(t, err, "there are:")
		_, err = Render(back, "x.pdf", "")
		require.ErrorIs(t, err, ErrUnknownImageFormat)
	}
}
