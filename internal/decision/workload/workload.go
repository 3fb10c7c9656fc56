// Package workload estimates how much work requests mean, from their cost hints and from how fast servers
// responded to earlier ones.
//
// All other components measure load in this work (ms of a server's time) and not in requests: a balancer
// that counts requests takes a few heavy ones for a light load, and sends light ones behind them
// (head-of-line blocking). The median of the hints parts light requests from heavy ones; the share of the
// work that is heavy says how many servers to reserve for it, as in size-based task assignment
// (Harchol-Balter, Crovella and Murta, "On Choosing a Task Assignment Policy for a Distributed Server
// System", 1999). Both follow by small steps, without a history of samples.
//
// Where clients send no hints, a low quantile of a class's latencies replaces them: the fastest responses
// met no queue, so that their latency is about their work.
//
// A Model must not be used concurrently.
package workload

import (
	"math"
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	// workGain is the least weight of one request in the mean work and in the share of large work: a mean
	// over about the last 128 requests, as a single heavy one must not move it much.
	workGain = estimate.GroupSmoothing / 8
	// medianStep is the least relative change of the median hint by one hint.
	medianStep = estimate.GroupSmoothing / 2
	// fastQuantile is the quantile of a class's latencies that replaces missing hints: low enough to
	// include no queueing, and not the minimum, which a single odd response would set.
	fastQuantile = 1.0 / 8
	// fastQuantileStep is the relative change of that quantile by one response. It is multiplied by the
	// share of responses on the other side, so that the steps up and down balance at the quantile.
	fastQuantileStep = 1.0 / 16
	// initialLargeShare is the share of large work before there was any: half.
	initialLargeShare = 0.5
	// restoredSamples is the weight of a restored snapshot, in requests of the balancer's own.
	restoredSamples = 16
)

// Model is what is known of the work of requests. Create it with New.
type Model struct {
	medianHint    float64   // running median of the cost hints, ms
	hints         float64   // hints that it is from
	mean          float64   // mean work of a request, ms
	samples       float64   // requests that it is from
	largeShare    float64   // share of the work that is in large requests
	fastResponses []float64 // low quantile of each class's latencies, ms; 0: not known
}

// New returns a Model that knows nothing yet.
func New() Model { return Model{largeShare: initialLargeShare} }

// EnsureClasses makes room for so many classes. What is known of earlier ones stays.
func (m *Model) EnsureClasses(count int) {
	for len(m.fastResponses) < count {
		m.fastResponses = append(m.fastResponses, 0)
	}
}

// Expectation is what a request will probably take.
type Expectation struct {
	Work  float64 // ms; 0: not known
	Large bool    // its cost hint is above the median of all
}

// hintUsable reports whether a cost hint is a positive, finite number.
func hintUsable(hint float64) bool { return hint > 0 && !math.IsInf(hint, 0) }

// Expect returns what a request of a class with a cost hint in ms will probably take. A request without a
// usable hint counts as small.
func (m *Model) Expect(class int, hint float64) Expectation {
	if !hintUsable(hint) {
		return Expectation{Work: m.WithoutHint(class)}
	}
	return Expectation{Work: hint, Large: m.hints > 0 && hint > m.medianHint}
}

// WithoutHint returns the work that replaces a missing cost hint of a class, in ms: the low quantile of
// its latencies, or the mean work until there is a response. It is 0 while nothing is known at all.
func (m *Model) WithoutHint(class int) float64 {
	if m.fastResponses[class] > 0 {
		return m.fastResponses[class]
	}
	return m.mean
}

// Mean returns the mean work of a request in ms, 0 while it is not known.
func (m *Model) Mean() float64 { return m.mean }

// MedianHint returns the median of the cost hints in ms, 0 while there was none.
func (m *Model) MedianHint() float64 { return m.medianHint }

// LargeShare returns the share of the work that is in large requests.
func (m *Model) LargeShare() float64 { return m.largeShare }

// ObserveArrival learns from a request with a cost hint in ms and what was expected of it.
func (m *Model) ObserveArrival(hint float64, expected Expectation) {
	if hintUsable(hint) {
		m.observeHint(hint)
	}
	if expected.Work > 0 {
		m.observeWork(expected)
	}
}

// observeHint moves the running median towards a cost hint.
func (m *Model) observeHint(hint float64) {
	m.hints++
	factor := 1 + max(1/m.hints, medianStep)
	switch {
	case m.hints == 1:
		m.medianHint = hint
	case hint > m.medianHint:
		m.medianHint *= factor
	default:
		m.medianHint /= factor
	}
}

// observeWork moves the mean work and the share of large work. The share counts each request by its work.
func (m *Model) observeWork(expected Expectation) {
	m.samples++
	gain := max(1/m.samples, workGain)
	m.mean += gain * (expected.Work - m.mean)
	m.largeShare += gain * (expected.Work / m.mean) * (estimate.Indicator(expected.Large) - m.largeShare)
	m.largeShare = min(max(m.largeShare, 0), 1)
}

// ObserveResponse learns from the latency of a good response: it moves the low quantile of its class.
func (m *Model) ObserveResponse(class int, latency time.Duration) {
	ms := latency.Seconds() * 1000
	quantile := &m.fastResponses[class]
	switch {
	case *quantile == 0:
		*quantile = ms
	case ms < *quantile:
		*quantile *= 1 - fastQuantileStep*(1-fastQuantile)
	default:
		*quantile *= 1 + fastQuantileStep*fastQuantile
	}
}
