package admission

import "math"

const (
	// bandsPerClass is one band within the tenants' quotas and one over them.
	bandsPerClass = 2
	// starvedBelow is the share of its part of what is forwarded below which a band is starved: less than
	// 1, as the parts differ by chance.
	starvedBelow = 0.8
)

// Standing says how a request stands to its tenant's quota.
type Standing uint8

// The values of Standing.
const (
	WithinQuota Standing = iota
	OverQuota
)

// Band is a priority band: the requests of one class, within or over their tenants' quotas.
type Band int

// BandOf returns the band of a class's requests of that standing.
func BandOf(class int, standing Standing) Band { return Band(bandsPerClass*class + int(standing)) }

// bandState is what is known of a band.
type bandState struct {
	weight      float64
	precedence  float64 // the weight, for its work if the weight is per request
	arrived     float64 // recent work in ms, decaying
	forwarded   float64 // what of it was forwarded, decaying
	rejectShare float64 // share of its requests that is rejected on arrival
	starved     bool    // much less than its part of what is forwarded
}

func newBandState(weight float64) bandState { return bandState{weight: weight, precedence: weight} }

// SetExpectedWork sets the expected work of a class's requests in ms; 0: not known. If the weight is per
// request, it makes the precedence: light requests give more weight for the same work, and go first.
func (c *Controller) SetExpectedWork(class int, work float64) {
	for _, standing := range [bandsPerClass]Standing{WithinQuota, OverQuota} {
		band := &c.bands[BandOf(class, standing)]
		band.precedence = band.weight
		if c.options.WeightPerRequest && work > 0 {
			band.precedence /= work
		}
	}
}

// RequestArrived counts the work of a request in ms on its arrival, whether it is let in or not.
func (c *Controller) RequestArrived(band Band, work float64) { c.bands[band].arrived += work }

// RequestForwarded counts the work of a request in ms when its first attempt starts.
func (c *Controller) RequestForwarded(band Band, work float64) { c.bands[band].forwarded += work }

// updateBands decays the sums of work by one tick, and sets which bands are starved and what is rejected.
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

// rejectShareOf returns the share of a band's work that is rejected if so much is shed in all: what is left
// to shed after all lower bands, out of the work of this band and those of the same precedence.
func (c *Controller) rejectShareOf(band *bandState, shed float64) float64 {
	lower, equal := 0.0, 0.0 // work that is rejected before this band's, and along with it
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

// Place is the place of a waiting request in the order of dispatch.
type Place struct {
	Band    Band
	Arrival uint64 // a number that grows from request to request
}

// Precedes orders waiting requests: starved bands first, then by precedence, then by arrival.
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
