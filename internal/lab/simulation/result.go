package simulation

import (
	"time"

	"piernotch"
	"piernotch/internal/lab/goodput"
	"piernotch/internal/lab/invariants"
)

// Result is the outcome of one run. Service and its parts are shares of 1.
type Result struct {
	Seed        uint64  `json:"seed"`
	Service     float64 `json:"service"` // the weighted parts less the deductions
	Whole       float64 `json:"whole"`
	WorstWindow float64 `json:"worst_window"`
	WorstClass  float64 `json:"worst_class"`
	Deducted    float64 `json:"deducted"`

	Lost        int `json:"lost"`
	Repeated    int `json:"repeated"`
	DrainBreaks int `json:"drain_breaks"`
	ColdFalls   int `json:"cold_falls"` // collapses that break the rule
	Falls       int `json:"falls"`      // all collapses

	// Margins of the rules: the most work that a server in slow start received within a window, as a
	// share of what collapses it; and the latest attempt after a drain was notified, ms.
	ColdPeak    float64 `json:"cold_peak"`
	DrainLatest float64 `json:"drain_latest_ms"`

	Requests    int     `json:"requests"` // of clients, without retries
	Tries       int     `json:"tries"`
	Attempts    int     `json:"attempts"`
	ServedShare float64 `json:"served_share"` // of requests, within their latency objective
	RefusedRate float64 `json:"refused_rate"` // rejections for each request
	FailedRate  float64 `json:"failed_rate"`
	WasteRate   float64 `json:"waste_rate"` // work that served nothing, for each unit of work asked for
	CrossRate   float64 `json:"cross_rate"`
	ProbeRate   float64 `json:"probe_rate"`
	RetryRate   float64 `json:"retry_rate"`
	ChokedShare float64 `json:"choked_share"` // servers that were overloaded at some time
	Handshakes  int     `json:"handshakes"`
	ListFailed  int     `json:"list_failed"`
	P50         float64 `json:"p50_ms"` // of served requests, from their first sending
	P90         float64 `json:"p90_ms"`
	P99         float64 `json:"p99_ms"`
	P999        float64 `json:"p999_ms"`
	Classes     []Share `json:"classes"`
	Little      Little  `json:"little"`
	Events      int     `json:"events"`
	Digest      uint64  `json:"digest"` // of all answers that clients got, and when
	WallS       float64 `json:"wall_s"`
	ModuleS     float64 `json:"module_s"` // of WallS, in the balancers' decisions

	Seconds []Second               `json:"seconds,omitempty"`
	Servers []ServerTrack          `json:"servers,omitempty"`
	Latency []LatencyStep          `json:"latency,omitempty"`
	Breaks  []invariants.Violation `json:"breaks,omitempty"`
	Ended   map[string]int         `json:"attempts_ended"`
}

// Parts of a result that are counted alike in simulated time and on real sockets.
type (
	// Share is the service of one class.
	Share = goodput.ClassShare
	// Second is one second of the run.
	Second = goodput.Second
	// LatencyStep is one point of the distribution of latency.
	LatencyStep = goodput.LatencyStep
)

// Little checks Little's law: the mean number of attempts that servers held equals the rate of
// arrivals, per second, times the mean time at the server, in seconds.
type Little struct {
	Held     float64 `json:"held"`
	PerSec   float64 `json:"per_s"`
	SojournS float64 `json:"sojourn_s"`
}

// ServerTrack is one server over the run, one sample a second.
type ServerTrack struct {
	Server int       `json:"server"`
	Kind   string    `json:"kind"`
	Zone   int       `json:"zone"`
	Busy   []float32 `json:"busy"`
	Holds  []int16   `json:"holds"`
	State  []uint8   `json:"state"` // 0 up, 1 draining, 2 down, 3 silent, 4 collapsed, 5 in slow start, 6 overloaded
}

// Broken is how often any of the four rules was broken.
func (r *Result) Broken() int { return r.Lost + r.Repeated + r.DrainBreaks + r.ColdFalls }

// quotient is a/b, or 0 where b is 0.
func quotient(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// result works out the outcome of the run, which took wall on the wall clock.
func (w *World) result(wall time.Duration) *Result {
	c, goodput := &w.counters, w.counters.goodput
	c.advance(w.now)
	parts := goodput.Parts()
	r := &Result{
		Seed: w.realization.Seed, Requests: goodput.Requests, Tries: c.Requests, Attempts: c.Attempts, Events: c.Events, Digest: c.digest,
		Falls: c.Collapses, Whole: parts.Whole, WorstWindow: parts.WorstWindow, WorstClass: parts.WorstClass, Classes: parts.Classes,
		WallS: wall.Seconds(), ModuleS: c.ModuleTime.Seconds(), Seconds: goodput.Seconds, Servers: c.tracks,
		Handshakes: c.Opened, ListFailed: c.ListFailed, Ended: map[string]int{},
	}
	for s := piernotch.OK; s <= piernotch.NotSent; s++ {
		r.Ended[s.String()] = c.Outcomes[s]
	}
	w.resultOfRules(r)
	w.resultOfRates(r)
	score := &w.realization.Score
	r.Deducted = score.Waste*r.WasteRate + score.LateFail*parts.LateFail + score.CrossZone*r.CrossRate +
		score.HealthChecks*r.ProbeRate + score.Overloaded*r.ChokedShare
	r.Service = parts.Service(*score, r.Deducted)
	if r.Latency = goodput.Latency(); r.Latency != nil {
		r.P50, r.P90 = goodput.Percentile(50), goodput.Percentile(90)
		r.P99, r.P999 = goodput.Percentile(99), goodput.Percentile(99.9)
	}
	span := w.now.Seconds()
	r.Little = Little{
		Held:     quotient(c.heldSeconds, span),
		PerSec:   quotient(float64(c.accepted), span),
		SojournS: quotient(c.sojournSeconds, float64(c.accepted)),
	}
	return r
}

// resultOfRules fills in what the invariants found.
func (w *World) resultOfRules(r *Result) {
	r.Lost = w.checker.Count(invariants.Lost)
	r.Repeated = w.checker.Count(invariants.Repeated)
	r.DrainBreaks = w.checker.Count(invariants.Drain)
	r.ColdFalls = w.checker.Count(invariants.SlowStart)
	r.Breaks = w.checker.Violations()
	r.DrainLatest = float64(w.checker.DrainLatest()/time.Microsecond) / 1000
	for i := range w.servers {
		r.ColdPeak = max(r.ColdPeak, w.servers[i].SlowStartPeak())
	}
}

// resultOfRates fills in what is counted for each request.
func (w *World) resultOfRates(r *Result) {
	c, goodput := &w.counters, w.counters.goodput
	workDone, overloaded := 0.0, 0
	for i := range w.servers {
		workDone += w.servers[i].WorkDone()
		if w.servers[i].everOverloaded {
			overloaded++
		}
	}
	requests := float64(goodput.Requests)
	r.ServedShare = quotient(float64(goodput.InObjective), requests)
	r.RefusedRate = quotient(float64(goodput.Rejected), requests)
	r.FailedRate = quotient(float64(goodput.Failed), requests)
	r.WasteRate = quotient(max(workDone-c.ServedWork, 0), goodput.AskedWork)
	r.CrossRate = quotient(float64(c.CrossZone), requests)
	r.ProbeRate = quotient(float64(c.HealthChecks), requests)
	r.RetryRate = quotient(float64(c.Attempts-c.FirstAttempts), requests)
	r.ChokedShare = quotient(float64(overloaded), float64(len(w.servers)))
}
