package admission

import (
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	// localities is the balancer's own zone and all others.
	localities = 2
	// shedGain is the change of the shed share in one shortest objective while all responses are late: from
	// nothing to everything takes four objectives. A change shows in the responses an objective later.
	shedGain = 1.0 / 4
	// maxStep bounds the change by one response: a quiet balancer waits for more of them.
	maxStep = estimate.GroupSmoothing
	// recovery is the step down of a response in time, relative to the step up of a late one: shedding ends
	// more slowly than it starts, and holds where a third of the responses is late.
	recovery = 1.0 / 2
	// lateElsewhereAbove is the share of late responses above which a locality counts as late: it takes three
	// in a row, so that a single one does not.
	lateElsewhereAbove = 2 * estimate.GroupSmoothing
	// decayTicks is the number of ticks in which the shed share falls by a factor of e without responses, and
	// of reviews in which the lateness of a locality does.
	decayTicks = 256
	// latenessHolds is for how many of the shortest objectives the lateness of a locality that gives no
	// responses holds before it decays.
	latenessHolds = 16
)

// lateness is how late the responses of a locality are.
type lateness struct {
	share     float64       // running share of responses that took over half of their objective
	updatedAt time.Duration // when a response last counted in it
}

func (l *lateness) observe(late float64) { l.share += estimate.GroupSmoothing * (late - l.share) }

// Response is what one response shows.
type Response struct {
	Locality     int  // 0 or 1: of the server that gave it
	Late         bool // it took over half of its objective, so that there is still time to act
	OnlyLocality bool // the other locality has no servers
}

// Step returns how far the next response may move the shed share, and takes that time as used. It grows with
// the time since the last response: a change shows late, and a busy balancer would oscillate if each response
// counted in full.
func (c *Controller) Step(now time.Duration) float64 {
	elapsed := (now - c.adjustedAt).Seconds()
	c.adjustedAt = now
	return min(elapsed/c.options.ShortestObjective.Seconds()*shedGain, maxStep)
}

// ObserveResponse moves the shed share by a response, up to the step of Step. Work is shed only while the
// other locality is late, too, or has no servers: spilling costs less than shedding.
func (c *Controller) ObserveResponse(step float64, response Response) {
	own, other := &c.lateness[response.Locality], &c.lateness[1-response.Locality]
	own.observe(estimate.Indicator(response.Late))
	own.updatedAt = c.adjustedAt
	lateElsewhere := response.OnlyLocality || other.share > lateElsewhereAbove
	change := -step * recovery
	if response.Late && lateElsewhere {
		change = step
	}
	c.shedShare = min(max(c.shedShare+change, 0), 1)
}

// ObserveSilence counts a server's silence as a late response of its locality. It is no reason to shed, as
// other servers may be idle.
func (c *Controller) ObserveSilence(locality int) { c.lateness[locality].observe(1) }

// ReviewLateness decays the lateness of localities that have given no responses for long: without responses
// it would hold for ever, and let the other locality shed though this one may be idle.
func (c *Controller) ReviewLateness(now time.Duration) {
	for i := range c.lateness {
		locality := &c.lateness[i]
		if now-locality.updatedAt > c.options.ShortestObjective*latenessHolds {
			locality.share -= locality.share / decayTicks
		}
	}
}

// decayShedShare lets the shed share decay by one tick: a balancer that rejects everything gets no responses,
// and would see nothing improve.
func (c *Controller) decayShedShare() { c.shedShare -= c.shedShare / decayTicks }

// ShedShare returns the share of the work that is rejected on arrival.
func (c *Controller) ShedShare() float64 { return c.shedShare }

// Shedding reports whether any work is rejected on arrival.
func (c *Controller) Shedding() bool { return c.shedShare != 0 }

// LateShare returns the share of late responses of a locality.
func (c *Controller) LateShare(locality int) float64 { return c.lateness[locality].share }
