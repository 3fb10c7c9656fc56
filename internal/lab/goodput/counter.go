// Package goodput measures service as the operators do: the priority weight earned by served requests
// divided by the weight of all requests, by second and by class. Late responses may earn less. A client's
// retries count for the second of the first attempt.
//
// The package defines service and its parts. It must not depend on whether time is simulated or on how a
// request came to its end. internal/lab/simulation and internal/lab/load call a Counter for each request
// of a client.
package goodput

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"piernotch/internal/lab/scenario"
)

// Latencies are recorded in microseconds, with three significant digits.
const (
	maxLatency        = time.Minute
	significantDigits = 3
)

// latencyPercentiles are the percentiles of latency in reports.
var latencyPercentiles = []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5, 99.9, 99.95, 99.99, 100}

// Second counts the requests that were first sent in one second of the run.
type Second struct {
	AskedWeight    float64 `json:"asked"`   // weight of the requests sent
	ServedWeight   float64 `json:"served"`  // weight that requests earned
	ClientAttempts int     `json:"tries"`   // clients' attempts at requests that have ended
	Rejected       int     `json:"refused"` // clients' attempts that were rejected
	Failed         int     `json:"failed"`  // clients' attempts that failed
}

// ClassShare is the service of one class.
type ClassShare struct {
	Name     string  `json:"name"`
	Service  float64 `json:"service"` // earned share of the class's weight; 1 without requests
	Requests int     `json:"asked"`
}

// LatencyStep is one percentile, from 0 to 100, of the latency of served requests.
type LatencyStep struct {
	Percentile float64 `json:"percentile"`
	MS         float64 `json:"ms"`
}

// Counter counts the requests of one run. It is not safe for concurrent use.
type Counter struct {
	Requests     int     // requests sent, without retries
	Rejected     int     // clients' attempts that were rejected
	Failed       int     // clients' attempts that failed
	InObjective  int     // requests served within their latency objective
	AskedWork    float64 // ms, of all requests sent
	LateUnserved float64 // weight of requests that ended unserved after their latency objective
	Seconds      []Second

	realization *scenario.Realization
	classes     []classCounter
	latencies   *hdrhistogram.Histogram
}

// classCounter holds the totals from which Parts computes a ClassShare.
type classCounter struct {
	requests      int
	asked, served float64 // weight
}

// New returns a Counter for one run of a realization.
func New(realization *scenario.Realization) *Counter {
	return &Counter{
		Seconds:     make([]Second, int(math.Ceil(realization.Length.Seconds()))),
		realization: realization,
		classes:     make([]classCounter, len(realization.Classes)),
		latencies:   hdrhistogram.New(1, int64(maxLatency/time.Microsecond), significantDigits),
	}
}

// second returns the counts of the second that a time is in. Times outside of the run count for the first or last
// second of the run.
func (c *Counter) second(at time.Duration) *Second {
	return &c.Seconds[min(max(int(at/time.Second), 0), len(c.Seconds)-1)]
}

// Weight returns the weight of a request: the priority weight, times the work (ms) if Score.ByWork is set.
func Weight(realization *scenario.Realization, class int, work float64) float64 {
	if realization.Score.ByWork {
		return realization.Classes[class].PriorityWeight * work
	}
	return realization.Classes[class].PriorityWeight
}

// RequestSent counts a client's request for the second in which it was first sent; work is in ms.
func (c *Counter) RequestSent(first time.Duration, class int, work float64) {
	weight := Weight(c.realization, class, work)
	c.Requests++
	c.AskedWork += work
	c.classes[class].asked += weight
	c.classes[class].requests++
	c.second(first).AskedWeight += weight
}

// AttemptRejected counts a client's rejected attempt for the second in which the request was first sent.
func (c *Counter) AttemptRejected(first time.Duration) {
	c.Rejected++
	c.second(first).Rejected++
}

// AttemptFailed counts a client's failed attempt for the second in which the request was first sent.
func (c *Counter) AttemptFailed(first time.Duration) {
	c.Failed++
	c.second(first).Failed++
}

// End reports whether a request was served in the end.
type End bool

// The ends of a request. Unserved means that no attempt was served.
const (
	Unserved End = false
	Served   End = true
)

// FinishedRequest is a client's request after its last attempt.
type FinishedRequest struct {
	First          time.Duration // when it was first sent
	Took           time.Duration // from First to the end of the last attempt
	Class          int
	Work           float64 // ms
	ClientAttempts int     // including the first
	End            End
}

// RequestFinished counts a request that has ended and returns the weight that it earned. A response after the
// latency objective earns only the late weight share of the request's weight.
func (c *Counter) RequestFinished(finished FinishedRequest) float64 {
	class := &c.realization.Classes[finished.Class]
	weight := Weight(c.realization, finished.Class, finished.Work)
	late := finished.Took > class.LatencyObjective
	earned := 0.0
	switch {
	case finished.End == Served:
		// A latency beyond the range of the histogram is not recorded.
		_ = c.latencies.RecordValue(max(int64(finished.Took/time.Microsecond), 1))
		earned = weight
		if late {
			earned *= class.LateWeightShare
		} else {
			c.InObjective++
		}
	case late:
		c.LateUnserved += weight
	}
	c.classes[finished.Class].served += earned
	second := c.second(finished.First)
	second.ServedWeight += earned
	second.ClientAttempts += finished.ClientAttempts
	return earned
}

// Latency returns the latency of served requests at latencyPercentiles, counted from FinishedRequest.First. It
// is nil if no request was served.
func (c *Counter) Latency() []LatencyStep {
	if c.latencies.TotalCount() == 0 {
		return nil
	}
	var steps []LatencyStep
	for _, percentile := range latencyPercentiles {
		steps = append(steps, LatencyStep{percentile, c.Percentile(percentile)})
	}
	return steps
}

// Percentile returns a percentile, from 0 to 100, of the latency of served requests, in ms.
func (c *Counter) Percentile(percentile float64) float64 {
	return float64(c.latencies.ValueAtPercentile(percentile)) / 1000
}
