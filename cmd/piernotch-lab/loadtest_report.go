package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"piernotch/internal/lab/loadtest"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
)

// printRealization prints what is about to be played.
func printRealization(o *output, d *scenario.Realization, name string) {
	o.out.Printf("%s, seed %d: %d balancers, %d servers, %.0f requests a second for %.0f s\n",
		name, d.Seed, len(d.Balancers), len(d.Servers), d.Traffic.RequestsPerSecond, d.Length.Seconds())
	for _, incident := range d.Faults {
		o.out.Printf("  %s from %.1f s for %.1f s\n", incident.Kind, incident.At.Seconds(), incident.For.Seconds())
	}
}

// printRunViolations prints the first violations of each run.
func printRunViolations(o *output, runs []*simulation.Result) {
	for _, r := range runs {
		for _, violation := range r.Violations[:min(len(r.Violations), maxPrintedViolations)] {
			o.out.Printf("BROKEN seed %d: %s\n    %s\n", r.Seed, violation, strings.Join(violation.Steps, "\n    "))
		}
	}
}

// serviceBars draws service over time, a character for each second.
func serviceBars(r *simulation.Result) string {
	levels := []rune(" ▁▂▃▄▅▆▇█")
	var out strings.Builder
	for _, s := range r.Seconds {
		share := 1.0
		if s.AskedWeight > 0 {
			share = s.ServedWeight / s.AskedWeight
		}
		out.WriteRune(levels[int(min(max(share, 0), 1)*float64(len(levels)-1)+0.5)])
	}
	return out.String()
}

// printReport prints what one load test measured.
func printReport(o *output, r *loadtest.Report) {
	o.out.Printf("  |%s| served in time, by second\n", serviceBars(&r.Result))
	o.out.Printf("  service %.3f (whole %.3f, worst 10 s %.3f, worst class %.3f); p50 %.0f ms, p99 %.0f ms\n",
		r.Service, r.WholeRun, r.WorstWindow, r.WorstClass, r.P50, r.P99)
	counts := r.Counts
	o.out.Printf("  %d requests in %d tries: served %d, refused %d, failed %d, unanswered %d, broken off %d, unreached %d\n",
		r.Requests, counts.Attempts, counts.Served, counts.Rejected, counts.Failed, counts.TimedOut, counts.Disconnected, counts.Unreachable)
	for _, class := range r.Classes {
		o.out.Printf("  %s: %d asked, %.3f of their worth served in time\n", class.Name, class.Requests, class.Service)
	}
	o.out.Printf("  rules broken: lost %d, repeated %d, drain %d, cold %d; %.0f us of CPU a request; the rig was %.1f ms late (p99)\n",
		r.Lost, r.Repeated, r.DrainViolations, r.SlowStartCollapses, r.CPUPerAnswer, r.LatenessMS)
	for _, kind := range slices.Sorted(maps.Keys(r.Malformed)) {
		count := r.Malformed[kind]
		o.out.Printf("  rude clients, %s: %d, %d got an error or a close in time, %d were served\n", kind, count.Sent, count.Answered, count.Served)
	}
	printBalancerTable(o, r.Balancers)
}

// printBalancerTable prints the use of resources by balancer and quarter of the day.
func printBalancerTable(o *output, balancers [][]loadtest.Quarter) {
	t := table.NewWriter()
	t.SetOutputMirror(o.out)
	t.AppendHeader(table.Row{"balancer", "CPU s by quarter", "MB", "descriptors"})
	for i, quarters := range balancers {
		var cpu, memory, descriptors []string
		for _, q := range quarters {
			cpu = append(cpu, fmt.Sprintf("%.2f", q.CPUSeconds))
			memory = append(memory, fmt.Sprintf("%.1f", q.ResidentMB))
			descriptors = append(descriptors, fmt.Sprint(q.Descriptors))
		}
		t.AppendRow(table.Row{i, strings.Join(cpu, " "), strings.Join(memory, " "), strings.Join(descriptors, " ")})
	}
	t.Render()
}
