package loadtest

import (
	"fmt"
	"time"

	"piernotch/internal/lab/goodput"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/load"
	"piernotch/internal/lab/simulation"
)

// Quarter is a balancer's resource usage in a quarter of the run.
type Quarter struct {
	CPUSeconds  float64 `json:"cpu_s"`
	ResidentMB  float64 `json:"resident_mb"` // highest sample
	Descriptors int     `json:"descriptors"` // highest sample
}

// Report is the result of a load test: the figures of a simulation, and those that only sockets give.
type Report struct {
	simulation.Result
	Counts       load.Counts `json:"counts"`
	LatenessMS   float64     `json:"lateness_p99_ms"`    // 99th percentile of how late the test sent requests
	Void         string      `json:"void,omitempty"`     // why the run does not count; "": it does
	CPUPerAnswer float64     `json:"cpu_us_per_request"` // CPU microseconds of all balancers per client attempt
	Balancers    [][]Quarter `json:"balancers"`
	PeakMB       float64     `json:"peak_mb,omitempty"` // highest resident memory of a process, in units of 2^20 bytes

	DiscoveryCalls int `json:"list_calls"`
	// SlowestNotification is the longest time that a balancer lacked a listed change while it could reach discovery.
	SlowestNotification time.Duration `json:"slowest_notification_ns,omitempty"`

	Handovers *HandoverReport `json:"handed,omitempty"` // nil: the run had no handovers

	Malformed map[string]load.MalformedCount `json:"rude,omitempty"` // by kind of malformed client

	// SyscallFaults says how many times each of Options.SyscallFaults was played, on all balancers.
	SyscallFaults []int `json:"syscall_faults,omitempty"`
}

// maxLateness voids a run if the 99th percentile of the test's own lateness exceeds it.
const maxLateness = 50 * time.Millisecond

// buildReport returns a finished run's report, and records crashes of balancers as errors.
func (e *environment) buildReport(clients *load.Clients, usage [][]Quarter) *Report {
	counts := clients.Counts()
	lateness := clients.Lateness(99)
	report := &Report{
		Result:         e.buildResult(clients.Goodput(), counts),
		Counts:         counts,
		Balancers:      usage,
		LatenessMS:     lateness.Seconds() * 1000,
		Malformed:      e.malformed.Counts(),
		DiscoveryCalls: e.fleet.Discovery().Calls(),

		SlowestNotification: e.fleet.Discovery().SlowestNotification(),
	}
	if counts.Attempts > 0 {
		report.CPUPerAnswer = totalCPUSeconds(usage) / float64(counts.Attempts) * 1e6
	}
	if lateness > maxLateness {
		report.Void = fmt.Sprintf(
			"the test harness sent requests %v late at the 99th percentile, more than %v",
			lateness.Round(time.Millisecond),
			maxLateness,
		)
	}
	if len(e.opts.Handovers) > 0 {
		e.handovers.ClosedUnderRequest = e.observer.ClosedUnderRequest()
		report.Handovers = e.handovers
	}
	report.SyscallFaults = make([]int, len(e.opts.SyscallFaults.Faults))
	for _, balancer := range e.balancers {
		report.PeakMB = max(report.PeakMB, balancer.peakResidentMB())
		if err := balancer.crashError(); err != nil {
			e.recordError(err)
		}
		played, err := balancer.syscallFaultsPlayed()
		if err != nil {
			e.recordError(err)
		}
		for fault, times := range played {
			report.SyscallFaults[fault] += times
		}
	}
	return report
}

// buildResult returns the part of the report that simulations have, too. It runs the final check of the invariants.
func (e *environment) buildResult(counter *goodput.Counter, counts load.Counts) simulation.Result {
	score := e.realization.Score
	parts := counter.Parts()
	checker := e.observer.Finish()
	result := simulation.Result{
		Seed:               e.realization.Seed,
		Requests:           counter.Requests,
		ClientAttempts:     counts.Attempts,
		WholeRun:           parts.WholeRun,
		WorstWindow:        parts.WorstWindow,
		WorstClass:         parts.WorstClass,
		Classes:            parts.Classes,
		Seconds:            counter.Seconds,
		Latency:            counter.Latency(),
		WallS:              e.clock().Seconds(),
		Lost:               checker.Count(invariants.Lost),
		Repeated:           checker.Count(invariants.Repeated),
		DrainViolations:    checker.Count(invariants.Drain),
		DeadlineViolations: checker.Count(invariants.Deadline),
		SlowStartCollapses: checker.Count(invariants.SlowStart),
		Violations:         checker.Violations(),
		DrainLatest:        checker.DrainLatest().Seconds() * 1000,
	}
	if result.Latency != nil {
		result.P50 = counter.Percentile(50)
		result.P90 = counter.Percentile(90)
		result.P99 = counter.Percentile(99)
		result.P999 = counter.Percentile(99.9)
	}
	if requests := float64(counter.Requests); requests > 0 {
		result.ServedShare = float64(counter.InObjective) / requests
		result.RejectedRate = float64(counter.Rejected) / requests
		result.FailedRate = float64(counter.Failed) / requests
	}
	result.OverloadedShare = float64(e.fleet.Overloaded()) / float64(max(e.fleet.Servers(), 1))
	// Only the simulation knows wasted work and zone crossings exactly, so they are not deducted here.
	result.Deducted = score.LateFail*parts.LateFail + score.Overloaded*result.OverloadedShare
	result.Service = parts.Service(score, result.Deducted)
	return result
}

func totalCPUSeconds(usage [][]Quarter) float64 {
	total := 0.0
	for _, balancer := range usage {
		for _, quarter := range balancer {
			total += quarter.CPUSeconds
		}
	}
	return total
}
