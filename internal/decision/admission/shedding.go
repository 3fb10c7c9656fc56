package admission

import (
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	// localities counts the balancer's own zone and, as one locality, all other zones together.
	localities = 2
	// shedGain is the change of the shed share in one shortest objective while all responses are late. From
	// shedding nothing to shedding everything takes four objectives. A change shows in the responses one
	// objective later.
	shedGain = 1.0 / 4
	// maxStep bounds the change by one response. Where responses are rare, several of them are needed for a
	// large change.
	maxStep = estimate.GroupSmoothing
	// recovery is the step down for a response in time, relative to the step up for a late one: shedding
	// ends more slowly than it starts, and is steady while a third of the responses are late.
	recovery = 1.0 / 2
	// lateElsewhereAbove is the share of late responses above which a locality counts as late. It takes
	// three consecutive late responses to exceed it, so a single one has no effect.
	lateElsewhereAbove = 2 * estimate.GroupSmoothing
	// decayTicks is the number of ticks in which the shed share falls by a factor of e without responses,
	// and of calls of ReviewLateness in which the lateness of a silent locality does.
	decayTicks = 256
	// latenessHolds is the time, in shortest objectives, after which the lateness of a locality without
	// responses starts to decay.
	latenessHolds = 16
)

// lateness tracks how often the responses of a locality are late.
type lateness struct {
	share     float64       // running share of late responses; a server's silence counts as one
	updatedAt time.Duration // when a response, not a silence, was last counted
}

func (l *lateness) observe(late float64) { l.share += estimate.GroupSmoothing * (late - l.share) }

// Response describes one response from a server.
type Response struct {
	Locality     int  // 0 or 1: locality of the server
	Late         bool // it took over half of its objective, which leaves time to act, or is a rejection
	OnlyLocality bool // the other locality has no servers
}

// Step returns how far the present response may move the shed share. The step grows with the time since the
// last call, up to maxStep, and Step restarts that time. The effect of a change shows late, so a busy
// balancer would oscillate if each response counted in full.
func (c *Controller) Step(now time.Duration) float64 {
	elapsed := (now - c.adjustedAt).Seconds()
	c.adjustedAt = now
	return min(elapsed/c.options.ShortestObjective.Seconds()*shedGain, maxStep)
}

// ObserveResponse updates the lateness of the response's locality. It raises the shed share by step for a
// late response, but only if the other locality is late, too, or has no servers, because spilling costs
// less than shedding. Any other response, even a late one, lowers the shed share by step*recovery.
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

// ObserveSilence counts a server's silence as a late response of its locality. It does not raise the shed
// share, as other servers may be idle.
func (c *Controller) ObserveSilence(locality int) { c.lateness[locality].observe(1) }

// ReviewLateness decays the lateness of a locality that has given no responses for a long time. Otherwise its
// lateness would never change, and late responses of the other locality would raise the shed share although
// the silent locality may be idle.
func (c *Controller) ReviewLateness(now time.Duration) {
	for i := range c.lateness {
		locality := &c.lateness[i]
		if now-locality.updatedAt > c.options.ShortestObjective*latenessHolds {
			locality.share -= locality.share / decayTicks
		}
	}
}

// decayShedShare decays the shed share by one tick. Without the decay, a balancer that rejects everything
// would get no responses and never notice an improvement.
func (c *Controller) decayShedShare() { c.shedShare -= c.shedShare / decayTicks }

// ShedShare returns the share of the work that is rejected on arrival.
func (c *Controller) ShedShare() float64 { return c.shedShare }

// Shedding reports whether any work is rejected on arrival.
func (c *Controller) Shedding() bool { return c.shedShare != 0 }

// LateShare returns the running share of late responses of a locality.
func (c *Controller) LateShare(locality int) float64 { return c.lateness[locality].share }
