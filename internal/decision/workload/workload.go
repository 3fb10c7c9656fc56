// Package workload estimates how much work a request takes, from its cost hint and from how fast servers
// responded to earlier requests.
//
// All other components measure load as this work (ms of a server's time), not as a number of requests: a
// balancer that counts requests would take a few heavy requests for a light load, and send light ones
// behind them (head-of-line blocking). The median of the hints separates light requests from heavy ones;
// the share of the work that is heavy determines how many servers to reserve for heavy requests, as in
// size-based task assignment (Harchol-Balter, Crovella and Murta, "On Choosing a Task Assignment Policy for
// a Distributed Server System", 1999). Both figures are updated in small steps, without a history of samples.
//
// Where clients send no hints, a low quantile of the class's latencies replaces them: the fastest responses
// did not queue, so their latency is close to their work.
//
// A Model must not be used concurrently.
package workload

import (
	"math"
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	// workGain is the least weight of one request in the mean work and in the share of large work: both
	// cover about the last 128 requests, so that a single heavy request does not move them much.
	workGain = estimate.GroupSmoothing / 8
	// medianStep is the least relative change of the median hint by one hint.
	medianStep = estimate.GroupSmoothing / 2
	// fastQuantile is the quantile of a class's latencies that replaces missing hints. It is low enough to
	// exclude queueing. A minimum would be set by a single odd response.
	fastQuantile = 1.0 / 8
	// fastQuantileStep is the relative change of that quantile by one response. It is multiplied by the
	// expected share of responses on the other side of the quantile. At the quantile, steps up and down
	// therefore balance.
	fastQuantileStep = 1.0 / 16
	// initialLargeShare is the share of large work that is assumed before the first request.
	initialLargeShare = 0.5
	// restoredSamples is the weight of a restored snapshot, as a number of this balancer's own requests.
	restoredSamples = 16
)

// Model is what is known about the work of requests. Create it with New.
type Model struct {
	medianHint    float64   // running median of the cost hints, ms
	hints         float64   // number of hints in medianHint
	mean          float64   // mean work of a request, ms
	samples       float64   // number of requests in mean and largeShare
	largeShare    float64   // share of the work that is in large requests
	fastResponses []float64 // low quantile of each class's latencies, ms; 0: not known
}

// New returns a Model without any observations.
func New() Model { return Model{largeShare: initialLargeShare} }

// EnsureClasses adds classes up to count. It keeps what is known of existing classes.
func (m *Model) EnsureClasses(count int) {
	for len(m.fastResponses) < count {
		m.fastResponses = append(m.fastResponses, 0)
	}
}

// Expectation is the estimate for one request.
type Expectation struct {
	Work  float64 // ms; 0: not known
	Large bool    // whether its cost hint is above the median of all hints
}

// hintUsable reports whether a cost hint is a positive, finite number.
func hintUsable(hint float64) bool { return hint > 0 && !math.IsInf(hint, 0) }

// Expect estimates a request of a class with a cost hint in ms. A request without a usable hint counts as
// small.
func (m *Model) Expect(class int, hint float64) Expectation {
	if !hintUsable(hint) {
		return Expectation{Work: m.WithoutHint(class)}
	}
	return Expectation{Work: hint, Large: m.hints > 0 && hint > m.medianHint}
}

// WithoutHint returns the work, in ms, that replaces a missing cost hint of a class: the low quantile of the
// class's latencies, or the mean work until there is a response. It is 0 while neither is known.
func (m *Model) WithoutHint(class int) float64 {
	if m.fastResponses[class] > 0 {
		return m.fastResponses[class]
	}
	return m.mean
}

// Mean returns the mean work of a request in ms; 0 while it is unknown.
func (m *Model) Mean() float64 { return m.mean }

// MedianHint returns the median of the cost hints in ms; 0 before the first hint.
func (m *Model) MedianHint() float64 { return m.medianHint }

// LargeShare returns the share of the work that is in requests above the median hint; one half before the
// first request, unless restored.
func (m *Model) LargeShare() float64 { return m.largeShare }

// ObserveArrival updates the model with an arriving request: its cost hint in ms and the result of Expect
// for it.
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

// observeWork updates the mean work and the share of large work. In the share, a request counts by its work.
func (m *Model) observeWork(expected Expectation) {
	m.samples++
	gain := max(1/m.samples, workGain)
	m.mean += gain * (expected.Work - m.mean)
	m.largeShare += gain * (expected.Work / m.mean) * (estimate.Indicator(expected.Large) - m.largeShare)
	m.largeShare = min(max(m.largeShare, 0), 1)
}

// ObserveResponse updates the low quantile of the class with the latency of a good response.
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
