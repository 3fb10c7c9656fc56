package simulation

import (
	"time"

	"piernotch"
	"piernotch/internal/lab/goodput"
	"piernotch/internal/lab/invariants"
)

// Result is the outcome of one run. Service and its parts are fractions of 1.
type Result struct {
	Seed        uint64  `json:"seed"`
	Service     float64 `json:"service"` // weighted sum of the three parts below, less Deducted; at least 0
	WholeRun    float64 `json:"whole"`
	WorstWindow float64 `json:"worst_window"`
	WorstClass  float64 `json:"worst_class"`
	Deducted    float64 `json:"deducted"`

	Lost               int `json:"lost"`
	Repeated           int `json:"repeated"`
	DrainViolations    int `json:"drain_breaks"`
	DeadlineViolations int `json:"deadline_breaks,omitempty"`
	SlowStartCollapses int `json:"cold_falls"` // collapses that violate the slow-start rule
	Collapses          int `json:"falls"`

	// Margins of the rules: the most work that a server in slow start received within a window, as a share of
	// the work that collapses the server; and the longest time from the notice of a drain to an attempt, ms.
	SlowStartPeak float64 `json:"cold_peak"`
	DrainLatest   float64 `json:"drain_latest_ms"`

	Requests        int     `json:"requests"` // of clients, without retries
	ClientAttempts  int     `json:"tries"`
	Attempts        int     `json:"attempts"`
	ServedShare     float64 `json:"served_share"` // share of requests served within their latency objective
	RejectedRate    float64 `json:"refused_rate"` // rejections per request
	FailedRate      float64 `json:"failed_rate"`
	WasteRate       float64 `json:"waste_rate"` // work that served no request, per unit of work requested
	CrossRate       float64 `json:"cross_rate"`
	HealthCheckRate float64 `json:"probe_rate"`
	RetryRate       float64 `json:"retry_rate"`
	OverloadedShare float64 `json:"choked_share"` // share of servers that were overloaded at any time
	Handshakes      int     `json:"handshakes"`
	ListFailed      int     `json:"list_failed"`
	P50             float64 `json:"p50_ms"` // of served requests, from the client's first attempt
	P90             float64 `json:"p90_ms"`
	P99             float64 `json:"p99_ms"`
	P999            float64 `json:"p999_ms"`
	Classes         []Share `json:"classes"`
	Little          Little  `json:"little"`
	Events          int     `json:"events"`
	Digest          uint64  `json:"digest"` // hash over the latency and earned weight of all client requests
	WallS           float64 `json:"wall_s"`
	ModuleS         float64 `json:"module_s"` // part of WallS spent in the balancers' decisions

	Seconds    []Second               `json:"seconds,omitempty"`
	Servers    []ServerTrack          `json:"servers,omitempty"`
	Latency    []LatencyStep          `json:"latency,omitempty"`
	Violations []invariants.Violation `json:"breaks,omitempty"`
	Ended      map[string]int         `json:"attempts_ended"`
}

// Parts of a result that are counted in the same way in simulated time and on real sockets.
type (
	// Share is the service of one class.
	Share = goodput.ClassShare
	// Second is one second of the run.
	Second = goodput.Second
	// LatencyStep is one point of the distribution of latency.
	LatencyStep = goodput.LatencyStep
)

// Little holds the terms of Little's law: the mean number of attempts at servers equals the arrival rate, per
// second, times the mean time at the server, in seconds.
type Little struct {
	Inflight float64 `json:"held"`
	PerSec   float64 `json:"per_s"`
	SojournS float64 `json:"sojourn_s"`
}

// ServerTrack holds the samples of one server, one a second.
type ServerTrack struct {
	Server   int       `json:"server"`
	Kind     string    `json:"kind"`
	Zone     int       `json:"zone"`
	Busy     []float32 `json:"busy"`
	Inflight []int16   `json:"holds"`
	State    []uint8   `json:"state"` // 0 up, 1 draining, 2 down, 3 silent, 4 collapsed, 5 in slow start, 6 overloaded
}

// ViolationCount returns the number of violations of all rules.
func (r *Result) ViolationCount() int {
	return r.Lost + r.Repeated + r.DrainViolations + r.SlowStartCollapses + r.DeadlineViolations
}

// quotient returns a/b, or 0 if b is 0.
func quotient(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// result computes the Result of the run, which took wall of wall-clock time.
func (w *World) result(wall time.Duration) *Result {
	counters, counted := &w.counters, w.counters.goodput
	counters.advance(w.now)
	parts := counted.Parts()
	result := &Result{
		Seed:           w.realization.Seed,
		WholeRun:       parts.WholeRun,
		WorstWindow:    parts.WorstWindow,
		WorstClass:     parts.WorstClass,
		Classes:        parts.Classes,
		Collapses:      counters.Collapses,
		Requests:       counted.Requests,
		ClientAttempts: counters.Requests,
		Attempts:       counters.Attempts,
		Handshakes:     counters.Opened,
		ListFailed:     counters.ListFailed,
		Events:         counters.Events,
		Digest:         counters.digest,
		WallS:          wall.Seconds(),
		ModuleS:        counters.ModuleTime.Seconds(),
		Seconds:        counted.Seconds,
		Servers:        counters.tracks,
		Ended:          map[string]int{},
	}
	for status := piernotch.OK; status <= piernotch.NotSent; status++ {
		result.Ended[status.String()] = counters.Outcomes[status]
	}
	w.resultOfRules(result)
	w.resultOfRates(result)
	score := &w.realization.Score
	result.Deducted = score.Waste*result.WasteRate + score.LateFail*parts.LateFail + score.CrossZone*result.CrossRate +
		score.HealthChecks*result.HealthCheckRate + score.Overloaded*result.OverloadedShare
	result.Service = parts.Service(*score, result.Deducted)
	if result.Latency = counted.Latency(); result.Latency != nil {
		result.P50, result.P90 = counted.Percentile(50), counted.Percentile(90)
		result.P99, result.P999 = counted.Percentile(99), counted.Percentile(99.9)
	}
	span := w.now.Seconds()
	result.Little = Little{
		Inflight: quotient(counters.inflightSeconds, span),
		PerSec:   quotient(float64(counters.accepted), span),
		SojournS: quotient(counters.sojournSeconds, float64(counters.accepted)),
	}
	return result
}

func (w *World) resultOfRules(result *Result) {
	result.Lost = w.checker.Count(invariants.Lost)
	result.Repeated = w.checker.Count(invariants.Repeated)
	result.DrainViolations = w.checker.Count(invariants.Drain)
	result.DeadlineViolations = w.checker.Count(invariants.Deadline)
	result.SlowStartCollapses = w.checker.Count(invariants.SlowStart)
	result.Violations = w.checker.Violations()
	result.DrainLatest = float64(w.checker.DrainLatest()/time.Microsecond) / 1000
	for i := range w.servers {
		result.SlowStartPeak = max(result.SlowStartPeak, w.servers[i].SlowStartPeak())
	}
}

func (w *World) resultOfRates(result *Result) {
	counters, counted := &w.counters, w.counters.goodput
	workDone, overloaded := 0.0, 0
	for i := range w.servers {
		workDone += w.servers[i].WorkDone()
		if w.servers[i].everOverloaded {
			overloaded++
		}
	}
	requests := float64(counted.Requests)
	result.ServedShare = quotient(float64(counted.InObjective), requests)
	result.RejectedRate = quotient(float64(counted.Rejected), requests)
	result.FailedRate = quotient(float64(counted.Failed), requests)
	result.WasteRate = quotient(max(workDone-counters.ServedWork, 0), counted.AskedWork)
	result.CrossRate = quotient(float64(counters.CrossZone), requests)
	result.HealthCheckRate = quotient(float64(counters.HealthChecks), requests)
	result.RetryRate = quotient(float64(counters.Attempts-counters.FirstAttempts), requests)
	result.OverloadedShare = quotient(float64(overloaded), float64(len(w.servers)))
}
