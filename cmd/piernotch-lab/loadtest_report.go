package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"piernotch/internal/lab/load"
	"piernotch/internal/lab/loadtest"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
	"piernotch/internal/lab/storednames"
)

// printRealization prints the realization of a named scenario that is about to be played.
func printRealization(std *streams, name string, realization *scenario.Realization) {
	std.out.Printf(
		"%s, seed %d: %d balancers, %d servers, %.0f requests a second for %.0f s\n",
		name,
		realization.Seed,
		len(realization.Balancers),
		len(realization.Servers),
		realization.Traffic.RequestsPerSecond,
		realization.Length.Seconds(),
	)
	for _, fault := range realization.Faults {
		std.out.Printf(
			"  %s from %.1f s for %.1f s\n",
			storednames.Display(storednames.FaultKinds, fault.Kind),
			fault.At.Seconds(),
			fault.For.Seconds(),
		)
	}
}

// printRunViolations prints the first violations of each run.
func printRunViolations(std *streams, runs []*simulation.Result) {
	for _, result := range runs {
		for _, violation := range result.Violations[:min(len(result.Violations), maxPrintedViolations)] {
			std.out.Printf(
				"VIOLATION seed %d: %s\n    %s\n",
				result.Seed,
				violation,
				strings.Join(violation.Steps, "\n    "),
			)
		}
	}
}

// serviceBars draws service over time, a character for each second.
func serviceBars(result *simulation.Result) string {
	levels := []rune(" ▁▂▃▄▅▆▇█")
	var out strings.Builder
	for _, second := range result.Seconds {
		share := 1.0
		if second.AskedWeight > 0 {
			share = second.ServedWeight / second.AskedWeight
		}
		out.WriteRune(levels[int(min(max(share, 0), 1)*float64(len(levels)-1)+0.5)])
	}
	return out.String()
}

// describeCounts describes how the clients' attempts ended.
func describeCounts(counts load.Counts) string {
	text := fmt.Sprintf("%d served, %d rejected, %d failed, %d timed out, %d disconnected, %d unreachable",
		counts.Served, counts.Rejected, counts.Failed, counts.TimedOut, counts.Disconnected, counts.Unreachable)
	if counts.Left > 0 {
		text += fmt.Sprintf(", %d left", counts.Left)
	}
	if counts.WrongResponse > 0 {
		text += fmt.Sprintf(", %d with a wrong response", counts.WrongResponse)
	}
	return text
}

// printReport prints what one load test measured.
func printReport(std *streams, report *loadtest.Report) {
	std.out.Printf("  |%s| served within the latency objective, by second\n", serviceBars(&report.Result))
	std.out.Printf("  service %.3f (whole run %.3f, worst 10 s %.3f, worst class %.3f); p50 %.0f ms, p99 %.0f ms\n",
		report.Service, report.WholeRun, report.WorstWindow, report.WorstClass, report.P50, report.P99)
	counts := report.Counts
	std.out.Printf("  %d requests in %d attempts: %s\n", report.Requests, counts.Attempts, describeCounts(counts))
	for _, class := range report.Classes {
		std.out.Printf(
			"  %s: %d requests, %.3f of their priority weight served within the latency objective\n",
			class.Name,
			class.Requests,
			class.Service,
		)
	}
	std.out.Printf(
		"  violations: lost %d, repeated %d, drain %d, slow start %d, deadline %d; slowest notification %.1f s; "+
			"%.0f us of CPU per request; the test harness was %.1f ms late (p99)\n",
		report.Lost,
		report.Repeated,
		report.DrainViolations,
		report.SlowStartCollapses,
		report.DeadlineViolations,
		report.SlowestNotification.Seconds(),
		report.CPUPerAnswer,
		report.LatenessMS,
	)
	for _, kind := range slices.Sorted(maps.Keys(report.Malformed)) {
		count := report.Malformed[kind]
		std.out.Printf(
			"  malformed clients, %s: %d, %d got an error or a close in time, %d were served\n",
			kind,
			count.Sent,
			count.Answered,
			count.Served,
		)
	}
	printBalancerTable(std, report.Balancers)
}

// printBalancerTable prints the use of resources by balancer and quarter of the run.
func printBalancerTable(std *streams, balancers [][]loadtest.Quarter) {
	resultTable := table.NewWriter()
	resultTable.SetOutputMirror(std.out)
	resultTable.AppendHeader(table.Row{"balancer", "CPU s by quarter", "MB", "descriptors"})
	for i, quarters := range balancers {
		var cpu, memory, descriptors []string
		for _, quarter := range quarters {
			cpu = append(cpu, fmt.Sprintf("%.2f", quarter.CPUSeconds))
			memory = append(memory, fmt.Sprintf("%.1f", quarter.ResidentMB))
			descriptors = append(descriptors, fmt.Sprint(quarter.Descriptors))
		}
		resultTable.AppendRow(
			table.Row{i, strings.Join(cpu, " "), strings.Join(memory, " "), strings.Join(descriptors, " ")},
		)
	}
	resultTable.Render()
}
