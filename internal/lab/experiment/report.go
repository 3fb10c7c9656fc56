package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"strings"

	"piernotch/internal/lab/simulation"
	"piernotch/internal/lab/storednames"
)

// maxReportedViolations bounds the violations that a report shows in detail.
const maxReportedViolations = 20

// reportedFigures are the figures of a sweep that a report shows.
var reportedFigures = []string{"service", "worst_window", "refused_rate", "p99_ms", "falls", "cold_falls"}

var reportTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.File.Scenario}} - piernotch-lab</title>
<style>body{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:right}
th:first-child,td:first-child{text-align:left}svg{max-width:100%;height:auto}` +
	`.bad{color:#b00;font-weight:bold}pre{background:#f4f4f4;padding:.6em;overflow:auto}</style></head><body>
<h1>{{.File.Scenario}}</h1><p>{{.File.Description}} Kind: {{.File.Kind}}, first seed {{.File.Seed}}.</p>
{{if .Verdict}}<p>b against a: <b>{{.Verdict}}</b></p>{{end}}
{{if .Violations}}<p class="bad">Invariants were violated {{.Violations}} times.</p>` +
	`{{else}}<p>No invariant was violated.</p>{{end}}
<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>` +
	`{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>
{{range .Charts}}{{.}}{{end}}
{{range .Details}}<pre>{{.}}</pre>{{end}}
</body></html>
`))

// reportData is what the template shows.
type reportData struct {
	File       *ResultFile
	Verdict    Verdict
	Violations int
	Head       []string
	Rows       [][]string
	Charts     []template.HTML
	Details    []string // of the first violations
}

// renderReport returns a page that needs no other file.
func renderReport(file *ResultFile, charts []*Chart) ([]byte, error) {
	data := &reportData{File: file}
	switch {
	case file.Compare != nil:
		data.addComparison(file.Compare)
	case len(file.Points) > 0:
		data.addSweep(file)
	default:
		data.addRuns(file)
	}
	for _, chart := range charts {
		svg, err := chart.SVG()
		if err != nil {
			return nil, err
		}
		if start := bytes.Index(svg, []byte("<svg")); start >= 0 { // no XML prologue inside of HTML
			svg = svg[start:]
		}
		data.Charts = append(data.Charts, template.HTML(svg))
	}
	var out bytes.Buffer
	if err := reportTemplate.Execute(&out, data); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func (d *reportData) addComparison(comparison *Comparison) {
	d.Verdict = comparison.Verdict
	d.Head = []string{"figure", "a", "b", "b less a"}
	for _, name := range FigureNames() {
		d.Rows = append(d.Rows, []string{
			storednames.Display(storednames.Figures, name),
			comparison.SummaryA[name].String(),
			comparison.SummaryB[name].String(),
			comparison.Difference[name].String(),
		})
	}
	d.addViolations(comparison.RunsA)
	d.addViolations(comparison.RunsB)
}

func (d *reportData) addSweep(file *ResultFile) {
	for _, dimension := range file.Dimensions {
		d.Head = append(d.Head, dimension.Key)
	}
	d.Head = append(d.Head, displayNames(reportedFigures)...)
	for _, point := range file.Points {
		row := append([]string{}, point.Values...)
		for _, name := range reportedFigures {
			row = append(row, point.Summary[name].String())
		}
		d.Rows = append(d.Rows, row)
		d.addViolations(point.Runs)
	}
}

func (d *reportData) addRuns(file *ResultFile) {
	d.Head = []string{"figure", "mean and 95% interval"}
	for _, name := range FigureNames() {
		if interval, ok := file.Summary[name]; ok {
			d.Rows = append(d.Rows, []string{storednames.Display(storednames.Figures, name), interval.String()})
		}
	}
	d.addViolations(file.Runs)
}

// addViolations counts the violations of runs and shows the first ones.
func (d *reportData) addViolations(runs []*simulation.Result) {
	d.Violations += Violations(runs)
	for _, run := range runs {
		for _, violation := range run.Violations {
			if len(d.Details) < maxReportedViolations {
				d.Details = append(
					d.Details,
					fmt.Sprintf("seed %d: %s\n%s", run.Seed, violation, strings.Join(violation.Steps, "\n")),
				)
			}
		}
	}
}
