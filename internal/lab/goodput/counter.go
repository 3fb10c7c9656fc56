// Package goodput measures service as the operators do: the priority weight of what was served in time over
// the weight of what was requested, by second and by class. A client's retries count for its first
// attempt.
//
// It owns the definition of service and of its parts. It must not know whether time is simulated or
// how a request came to its end. internal/lab/simulation and internal/lab/load call a Counter for each
// request of a client; it is for one goroutine at a time.
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

// latencyPercentiles are the points of the distribution of latency that reports show.
var latencyPercentiles = []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5, 99.9, 99.95, 99.99, 100}

// Second is one second of the run, by when requests were first sent.
type Second struct {
	AskedWeight    float64 `json:"asked"`  // weight of the requests
	ServedWeight   float64 `json:"served"` // weight that was earned
	ClientAttempts int     `json:"tries"`  // attempts of clients at the requests that have ended
	Rejected       int     `json:"refused"`
	Failed         int     `json:"failed"`
}

// ClassShare is one class's service.
type ClassShare struct {
	Name     string  `json:"name"`
	Service  float64 `json:"service"` // share of the class's weight
	Requests int     `json:"asked"`   // requests
}

// LatencyStep is a point of the distribution of latency.
type LatencyStep struct {
	Percentile float64 `json:"percentile"`
	MS         float64 `json:"ms"`
}

// Counter counts the requests of one run. It is for one goroutine at a time.
type Counter struct {
	Requests     int     // requests
	Rejected     int     // attempts that were rejected
	Failed       int     // attempts that failed
	InObjective  int     // requests served within their latency objective
	AskedWork    float64 // ms
	LateUnserved float64 // weight that ended unserved after its latency objective
	Seconds      []Second

	realization *scenario.Realization
	classes     []classCounter
	latencies   *hdrhistogram.Histogram
}

// classCounter counts the requests of one class.
type classCounter struct {
	requests      int
	asked, served float64 // weight
}

// New returns a Counter for a run of a realization.
func New(realization *scenario.Realization) *Counter {
	return &Counter{
		Seconds:     make([]Second, int(math.Ceil(realization.Length.Seconds()))),
		realization: realization,
		classes:     make([]classCounter, len(realization.Classes)),
		latencies:   hdrhistogram.New(1, int64(maxLatency/time.Microsecond), significantDigits),
	}
}

// second returns the second of a time; times outside of the run count for its first or last second.
func (c *Counter) second(at time.Duration) *Second {
	return &c.Seconds[min(max(int(at/time.Second), 0), len(c.Seconds)-1)]
}

// Weight is the priority weight of a request of a class; work is in ms.
func Weight(realization *scenario.Realization, class int, work float64) float64 {
	if realization.Score.ByWork {
		return realization.Classes[class].PriorityWeight * work
	}
	return realization.Classes[class].PriorityWeight
}

// RequestSent counts a client's request when it is first sent; work is in ms.
func (c *Counter) RequestSent(first time.Duration, class int, work float64) {
	weight := Weight(c.realization, class, work)
	c.Requests++
	c.AskedWork += work
	c.classes[class].asked += weight
	c.classes[class].requests++
	c.second(first).AskedWeight += weight
}

// AttemptRejected counts a client's attempt that was rejected, by when its request was first sent.
func (c *Counter) AttemptRejected(first time.Duration) {
	c.Rejected++
	c.second(first).Rejected++
}

// AttemptFailed counts a client's attempt that failed, by when its request was first sent.
func (c *Counter) AttemptFailed(first time.Duration) {
	c.Failed++
	c.second(first).Failed++
}

// End is how a request ended for its client.
type End bool

// Ends.
const (
	Unserved End = false
	Served   End = true
)

// FinishedRequest is a client's request that is over.
type FinishedRequest struct {
	First          time.Duration // when it was first sent
	Took           time.Duration // from then to its end
	Class          int
	Work           float64 // ms
	ClientAttempts int     // the first one and the client's retries
	End            End
}

// RequestFinished counts a request that is over and returns the weight that it earned.
func (c *Counter) RequestFinished(finished FinishedRequest) float64 {
	class := &c.realization.Classes[finished.Class]
	weight := Weight(c.realization, finished.Class, finished.Work)
	late := finished.Took > class.LatencyObjective
	earned := 0.0
	switch {
	case finished.End == Served:
		// What exceeds the histogram's range is not in the distribution.
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

// Latency is the distribution of served requests' latency since their first attempt; nil if none was
// served.
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

// Percentile is a percentile of the latency of served requests, ms.
func (c *Counter) Percentile(percentile float64) float64 {
	return float64(c.latencies.ValueAtPercentile(percentile)) / 1000
}
