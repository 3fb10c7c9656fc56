package experiment

import (
	"encoding/json"
	"fmt"
	"os"

	"piernotch/internal/lab/simulation"
)

// Format names the layout of a result file. It has the name that the program had when files of this layout
// were first written.
const Format = "notchlab/1"

// The kinds of results.
const (
	kindRun     = "run"
	kindCompare = "compare"
	kindSweep   = "sweep"
)

// ResultFile is a result as it is kept. Which fields are set depends on its kind.
type ResultFile struct {
	Format      string               `json:"format"`
	Kind        string               `json:"kind"` // run, compare, sweep
	Scenario    string               `json:"scenario"`
	Description string               `json:"about,omitempty"` // of the scenario
	Seed        uint64               `json:"seed"`            // the first
	Variant     *Variant             `json:"variant,omitempty"`
	Runs        []*simulation.Result `json:"runs,omitempty"`
	Summary     map[string]Interval  `json:"summary,omitempty"`
	Compare     *Comparison          `json:"compare,omitempty"`
	Dimensions  []Dimension          `json:"vary,omitempty"`
	Points      []Point              `json:"points,omitempty"`
}

// RemoveTimings removes what depends on the machine's speed, so that equal runs give equal files.
func (f *ResultFile) RemoveTimings() {
	removeRunTimings(f.Runs)
	removeSummaryTimings(f.Summary)
	if comparison := f.Compare; comparison != nil {
		removeRunTimings(comparison.RunsA)
		removeRunTimings(comparison.RunsB)
		removeSummaryTimings(comparison.SummaryA)
		removeSummaryTimings(comparison.SummaryB)
		removeSummaryTimings(comparison.Difference)
	}
	for i := range f.Points {
		removeRunTimings(f.Points[i].Runs)
		removeSummaryTimings(f.Points[i].Summary)
	}
}

func removeRunTimings(runs []*simulation.Result) {
	for _, run := range runs {
		run.WallS = 0
		run.ModuleS = 0
	}
}

func removeSummaryTimings(summary map[string]Interval) {
	delete(summary, "wall_s")
	delete(summary, "module_s")
}

// Write keeps a result in a file, or writes it to standard output for the name "-". It sets the format.
func (f *ResultFile) Write(name string) error {
	f.Format = Format
	data, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return err
	}
	data = append(data, '\n')
	if name == "-" {
		_, err = os.Stdout.Write(data)
		return err
	}
	return os.WriteFile(name, data, 0o644)
}

// ReadFile reads a result. Errors name the file; one of another layout is ErrBadFormat.
func ReadFile(name string) (*ResultFile, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	result := &ResultFile{}
	if err := json.Unmarshal(data, result); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if result.Format != Format {
		return nil, fmt.Errorf("%s: %w: format %q, %q is expected", name, ErrBadFormat, result.Format, Format)
	}
	return result, nil
}
