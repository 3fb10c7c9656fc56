package experiment

import (
	"piernotch/internal/lab/simulation"
	"piernotch/internal/lab/storednames"
)

// figures are what is summed up of each run. Their names are keys of result files; storednames has those that
// are printed.
var figures = []struct {
	Name  string
	Value func(r *simulation.Result) float64
}{
	{"service", func(r *simulation.Result) float64 { return r.Service }},
	{"whole", func(r *simulation.Result) float64 { return r.WholeRun }},
	{"worst_window", func(r *simulation.Result) float64 { return r.WorstWindow }},
	{"worst_class", func(r *simulation.Result) float64 { return r.WorstClass }},
	{"deducted", func(r *simulation.Result) float64 { return r.Deducted }},
	{"lost", func(r *simulation.Result) float64 { return float64(r.Lost) }},
	{"repeated", func(r *simulation.Result) float64 { return float64(r.Repeated) }},
	{"drain_breaks", func(r *simulation.Result) float64 { return float64(r.DrainViolations) }},
	{"cold_falls", func(r *simulation.Result) float64 { return float64(r.SlowStartCollapses) }},
	{"cold_peak", func(r *simulation.Result) float64 { return r.SlowStartPeak }},
	{"drain_latest_ms", func(r *simulation.Result) float64 { return r.DrainLatest }},
	{"falls", func(r *simulation.Result) float64 { return float64(r.Collapses) }},
	{"requests", func(r *simulation.Result) float64 { return float64(r.Requests) }},
	{"refused_rate", func(r *simulation.Result) float64 { return r.RejectedRate }},
	{"failed_rate", func(r *simulation.Result) float64 { return r.FailedRate }},
	{"retry_rate", func(r *simulation.Result) float64 { return r.RetryRate }},
	{"waste_rate", func(r *simulation.Result) float64 { return r.WasteRate }},
	{"cross_rate", func(r *simulation.Result) float64 { return r.CrossRate }},
	{"probe_rate", func(r *simulation.Result) float64 { return r.HealthCheckRate }},
	{"choked_share", func(r *simulation.Result) float64 { return r.OverloadedShare }},
	{"p50_ms", func(r *simulation.Result) float64 { return r.P50 }},
	{"p99_ms", func(r *simulation.Result) float64 { return r.P99 }},
	{"events", func(r *simulation.Result) float64 { return float64(r.Events) }},
	{"wall_s", func(r *simulation.Result) float64 { return r.WallS }},
	{"module_s", func(r *simulation.Result) float64 { return r.ModuleS }},
}

// FigureNames returns the stored names of all figures.
func FigureNames() []string {
	var names []string
	for _, figure := range figures {
		names = append(names, figure.Name)
	}
	return names
}

// displayNames returns the names of figures that people read.
func displayNames(figures []string) []string {
	var names []string
	for _, figure := range figures {
		names = append(names, storednames.Display(storednames.Figures, figure))
	}
	return names
}

// SummarizeRuns returns the interval of each figure, by its stored name.
func SummarizeRuns(runs []*simulation.Result) map[string]Interval {
	summary := map[string]Interval{}
	for _, figure := range figures {
		summary[figure.Name] = Summarize(column(runs, figure.Value))
	}
	return summary
}

// column returns one figure of each run.
func column(runs []*simulation.Result, value func(*simulation.Result) float64) []float64 {
	values := make([]float64, len(runs))
	for i, run := range runs {
		values[i] = value(run)
	}
	return values
}

// Violations returns how often invariants were violated over all runs.
func Violations(runs []*simulation.Result) int {
	violations := 0
	for _, run := range runs {
		violations += run.ViolationCount()
	}
	return violations
}
