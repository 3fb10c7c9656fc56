package admission

import "math"

const (
	// bandsPerClass counts one band within the tenants' quotas and one over them.
	bandsPerClass = 2
	// starvedBelow is the ratio of a band's share of the forwarded work to its share of the arrived work
	// below which the band is starved. It is less than 1, because the shares also differ by chance.
	starvedBelow = 0.8
)

// Standing tells whether a request is within its tenant's quota.
type Standing uint8

// Standings of a request. Each selects one of the two bands of the request's class.
const (
	WithinQuota Standing = iota
	OverQuota
)

// Band is a priority band: the requests of one class, within or over their tenants' quotas.
type Band int

// BandOf returns the band for requests of a class with that standing.
func BandOf(class int, standing Standing) Band { return Band(bandsPerClass*class + int(standing)) }

// bandState holds the weight, the recent work and the decisions of a band.
type bandState struct {
	weight      float64
	precedence  float64 // weight, divided by the expected work if that is known and WeightPerRequest is set
	arrived     float64 // recently arrived work in ms, decaying
	forwarded   float64 // recently forwarded work in ms, decaying
	rejectShare float64 // share of its requests to reject on arrival
	starved     bool    // below starvedBelow of its part of the forwarded work, if PreventStarvation is set
}

func newBandState(weight float64) bandState { return bandState{weight: weight, precedence: weight} }

// SetExpectedWork sets the expected work of a class's requests in ms; 0 if it is unknown. If the weight is
// per request, the precedence is the weight divided by that work: light requests yield more weight for the
// same work, and go first.
func (c *Controller) SetExpectedWork(class int, work float64) {
	for _, standing := range [bandsPerClass]Standing{WithinQuota, OverQuota} {
		band := &c.bands[BandOf(class, standing)]
		band.precedence = band.weight
		if c.options.WeightPerRequest && work > 0 {
			band.precedence /= work
		}
	}
}

// RequestArrived counts the work, in ms, of an arriving request, whether it is admitted or not.
func (c *Controller) RequestArrived(band Band, work float64) { c.bands[band].arrived += work }

// RequestForwarded counts the work, in ms, of a request whose first attempt starts.
func (c *Controller) RequestForwarded(band Band, work float64) { c.bands[band].forwarded += work }

// updateBands decays the sums of work by one tick, and updates for each band whether it is starved and what
// share of its requests is rejected.
func (c *Controller) updateBands() {
	keep := math.Exp(-c.options.TickInterval.Seconds()) // a factor of e per second
	var arrived, forwarded float64
	for i := range c.bands {
		band := &c.bands[i]
		band.arrived *= keep
		band.forwarded *= keep
		arrived += band.arrived
		forwarded += band.forwarded
	}
	for i := range c.bands {
		band := &c.bands[i]
		belowItsPart := band.forwarded*arrived < starvedBelow*band.arrived*forwarded
		band.starved = c.options.PreventStarvation && belowItsPart
		band.rejectShare = c.rejectShareOf(band, c.shedShare*arrived)
	}
}

// rejectShareOf returns the share of a band's work to reject; shed is the work, in ms, to reject in all bands
// together. Bands of lower precedence are rejected first. What remains is spread evenly over this band and
// those of the same precedence.
func (c *Controller) rejectShareOf(band *bandState, shed float64) float64 {
	lower, equal := 0.0, 0.0 // work of bands of lower and of the same precedence
	for i := range c.bands {
		other := &c.bands[i]
		switch {
		case other.precedence < band.precedence:
			lower += other.arrived
		case other.precedence == band.precedence:
			equal += other.arrived
		}
	}
	if !(equal > 0) {
		return 0
	}
	return min(max(shed-lower, 0)/equal, 1)
}

// Place determines the position of a waiting request in the order of dispatch.
type Place struct {
	Band    Band
	Arrival uint64 // sequence number that grows from request to request
}

// Precedes reports whether the request at place is sent before the one at other: starved bands first, then
// by precedence, then by arrival.
func (c *Controller) Precedes(place, other Place) bool {
	band, otherBand := &c.bands[place.Band], &c.bands[other.Band]
	if band.starved != otherBand.starved {
		return band.starved
	}
	if band.precedence != otherBand.precedence {
		return band.precedence > otherBand.precedence
	}
	return place.Arrival < other.Arrival
}
