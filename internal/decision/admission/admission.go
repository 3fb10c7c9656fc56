// Package admission decides, while there is more work than capacity, which requests are admitted and in
// which order waiting requests are sent.
//
// Without admission control, an overloaded service would complete nothing in time (congestion collapse).
// Work that would be late is shed on arrival, lowest priority first, so that admitted requests are served
// within their objective. The package has three parts:
//
//   - Shedding (shedding.go): a share of the work that is rejected on arrival. It grows while responses come
//     late in all localities and decays otherwise, as in Envoy's admission control filter, but it is
//     controlled by latency and not by failures.
//   - Priority bands (bands.go): the classes of requests, each within and over the quotas of its tenants, in
//     an order of precedence. Shedding rejects the lowest bands first, as with the criticality levels in
//     the chapter "Handling Overload" of Google's Site Reliability Engineering book. A band that gets
//     clearly less than its part of the forwarded work temporarily goes first, so that no band starves.
//   - A bound on the queue (queue.go): a request that would wait for too long is rejected at once.
//
// The Controller decides from what its caller reports: arrivals, forwarded requests, and whether responses
// were late. It knows nothing of servers or of single requests. It must not be used concurrently.
package admission

import "time"

// Options holds the operators' settings and figures that follow from them.
type Options struct {
	ShortestObjective time.Duration // the least latency objective of all classes; positive
	TickInterval      time.Duration // between calls of Tick; positive
	ClassWeights      []float64     // priority weight of each class
	OverQuotaWeight   float64       // factor on the weight of a request over its tenant's quota
	WeightPerRequest  bool          // the weight applies per request; false: per ms of work
	PreventStarvation bool          // starved bands go first; false: only precedence counts
	AdviseRetryAfter  bool          // rejections may advise when to retry
	MaxRetryAfter     time.Duration // upper bound on the advised delay
}

// Controller makes the decisions of admission. The zero value has no bands: Configure creates them.
type Controller struct {
	options    Options
	shedShare  float64              // share of the work, lowest precedence first, that is rejected on arrival
	adjustedAt time.Duration        // when Step was last called
	lateness   [localities]lateness // of the responses of each locality
	bands      []bandState          // by Band
}

// Configure sets the options. It recreates all bands without any recorded work; the shed share stays.
func (c *Controller) Configure(options Options) {
	c.options = options
	c.bands = make([]bandState, 0, bandsPerClass*len(options.ClassWeights))
	for _, weight := range options.ClassWeights {
		within := newBandState(weight)
		over := newBandState(weight * options.OverQuotaWeight)
		c.bands = append(c.bands, within, over)
	}
}

// Tick decays the shed share and the sums of past work, and updates which bands are starved and what share
// of each is rejected. It is called once per TickInterval, after SetExpectedWork.
func (c *Controller) Tick() {
	c.decayShedShare()
	c.updateBands()
}

// ShedsArrival reports whether a request that arrives in the band is rejected. draw is a random number in
// [0, 1).
func (c *Controller) ShedsArrival(band Band, draw float64) bool {
	return draw < c.bands[band].rejectShare
}

// RetryAfter returns the delay that a rejection advises: the shortest objective, up to MaxRetryAfter.
// 0 means no advice: while nothing is shed, a rejection is due to a short fault, and an early retry is right.
func (c *Controller) RetryAfter() time.Duration {
	if !c.options.AdviseRetryAfter || !c.Shedding() {
		return 0
	}
	return min(c.options.ShortestObjective, c.options.MaxRetryAfter)
}
