// Package slowstart decides how much work a recently started server gets.
//
// A process that has just started has only a part of its capacity: its caches are empty and its code is not
// compiled yet. With its full share of the requests it would be overloaded, and might fail again. In slow
// start its capacity is assumed to grow linearly with its age, as in Envoy's slow start mode and the
// slow_start of nginx. Envoy and nginx scale a weight. Here the time between requests is controlled instead,
// because one request from each of many balancers already exceeds the server's capacity:
//
//   - A balancer sends one request at a time, none heavier than the mean, and none to another zone that has
//     balancers of its own.
//   - The balancer leaves a pause between requests, in which its share of the server's present capacity
//     amounts to one request of mean work (Pause).
//   - With many balancers that share is less than one request in any reasonable pause. Each balancer then
//     draws at random, for each window of time, whether it may send in that window (WinsDraw). A permission
//     to send ends with its window. If an idle balancer could save permissions up, all balancers would use
//     theirs at once when traffic rises.
//
// Progress is the slow start of one server. A Controller holds the options and decides from a Progress and a
// Load. The package knows nothing of the endpoint list and detects no restarts: the caller starts a slow
// start and passes the time from which it counts. Times are durations since the origin of the caller's
// clock.
package slowstart

import (
	"math"
	"math/rand/v2"
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	// assumedRestartDivisor divides the duration of slow start: if a restart is only assumed, slow start
	// ends after a quarter of the duration unless the endpoint list has named the restart by then.
	assumedRestartDivisor = 4
	// maxDrawnInterval bounds the mean time between one balancer's requests where sends are drawn. It is
	// longer than any slow start, because one request from each balancer may already exceed the server's
	// capacity.
	maxDrawnInterval = time.Hour
)

// Options holds the parameters of slow start. With the zero value, a server is never in slow start.
type Options struct {
	InitialCapacity float64       // share of its capacity that a server has at its start, in [0, 1]
	Duration        time.Duration // time from the start to full capacity; 0: full capacity at once
	DrawWindow      time.Duration // length of the windows for which a balancer draws; 0: no draws
	Seed            uint64        // differs between balancers, so that their draws differ, too
}

// Progress is the state of one server's slow start. Its zero value is a warm server.
type Progress struct {
	active       bool          // whether the server is in slow start
	since        time.Duration // start of the process, while active
	nextSend     time.Duration // earliest time of the next request, while active
	assumedUntil time.Duration // when slow start ends if the restart is only assumed; 0: the restart is known
}

// Warm reports whether the server is not in slow start.
func (p *Progress) Warm() bool { return !p.active }

// Since returns the time from which the slow start counts. For a warm server inSlowStart is false.
func (p *Progress) Since() (since time.Duration, inSlowStart bool) { return p.since, p.active }

// Request describes a request that might be sent to a server in slow start.
type Request struct {
	Work                   float64 // expected work, ms
	MeanWork               float64 // mean work of all requests, ms
	ServerInflight         int     // requests of this balancer at the server
	WarmedByLocalBalancers bool    // the server is in another zone that has balancers of its own
}

// Identity distinguishes the draws for one server from those for others.
type Identity struct {
	Hash    uint64  // hash of the server's id, so that the draws for servers are independent
	Stagger float64 // in [0, 1): shifts the windows, so that not all balancers' windows begin at once
}

// Controller makes the decisions of slow start. Its zero value is usable and has the zero Options.
type Controller struct {
	options Options
}

// NewController returns a Controller with these options.
func NewController(options Options) Controller { return Controller{options: options} }

// Drawn reports whether the balancer draws at random, for each window, whether it may send.
func (c *Controller) Drawn() bool { return c.options.DrawWindow > 0 }

// Covers reports whether a process that started at startedAt would still be in slow start now.
func (c *Controller) Covers(now, startedAt time.Duration) bool {
	return now < startedAt+c.options.Duration
}

// CapacityShare returns the share of its full capacity that the server has now; 1 for a warm server.
func (c *Controller) CapacityShare(now time.Duration, p *Progress) float64 {
	if !p.active || c.options.Duration <= 0 {
		return 1
	}
	initial := c.options.InitialCapacity
	age := float64(now-p.since) / float64(c.options.Duration)
	return initial + (1-initial)*min(max(age, 0), 1)
}

// Start starts a slow start that counts from since, the start of the process. The first request waits for a
// random part of the pause, so that many balancers do not send at once. Start takes one draw from rng. If
// since is negative (before the origin of the clock), the process is old and the server is warm.
func (c *Controller) Start(now, since time.Duration, p *Progress, load Load, rng *rand.Rand) {
	*p = Progress{active: since >= 0, since: since}
	p.nextSend = now + estimate.Jitter(rng, c.Pause(now, p, load))
}

// Assume starts a slow start because the process may have been replaced. The slow start ends after a quarter
// of its duration, unless the endpoint list names a restart and the caller calls Start.
func (c *Controller) Assume(now time.Duration, p *Progress, load Load, rng *rand.Rand) {
	c.Start(now, now, p, load, rng)
	p.assumedUntil = now + c.options.Duration/assumedRestartDivisor
}

// EndIfDue ends a slow start after its duration, or earlier if the restart was only assumed and has not been
// confirmed in time.
func (c *Controller) EndIfDue(now time.Duration, p *Progress) {
	if !p.active {
		return
	}
	over := now >= p.since+c.options.Duration
	unconfirmed := p.assumedUntil > 0 && now >= p.assumedUntil
	if over || unconfirmed {
		p.active, p.assumedUntil = false, 0
	}
}

// Admits reports whether the server may get the request, apart from the draw of WinsDraw: one request at a
// time, after the pause. Heavy requests are not admitted, since one of them from each balancer would overload
// the server. A server in another zone with balancers of its own gets no request: those balancers warm it up.
func (c *Controller) Admits(now time.Duration, p *Progress, request Request) bool {
	heavy := request.Work > request.MeanWork
	if heavy || request.WarmedByLocalBalancers {
		return false
	}
	return now >= p.nextSend && request.ServerInflight == 0
}

// WinsDraw reports whether this balancer may send to the server in the present window. The draw is a hash of
// the balancer's seed, the window and the server, so that its result stays the same for the whole window.
func (c *Controller) WinsDraw(now time.Duration, p *Progress, server Identity, load Load) bool {
	window := uint64(float64(now)/float64(c.options.DrawWindow) + server.Stagger)
	hash := estimate.MixBits(estimate.MixBits(window^c.options.Seed) ^ server.Hash)
	draw := float64(hash) / math.MaxUint64
	return draw*float64(c.interval(now, p, load)) <= float64(c.options.DrawWindow)
}

// RecordSend records that a request is sent now, and starts the pause after it.
func (c *Controller) RecordSend(now time.Duration, p *Progress, load Load) {
	p.nextSend = max(p.nextSend, now) + c.Pause(now, p, load)
}

// Pause returns the least time between this balancer's requests: one window if sends are drawn, otherwise the
// time in which this balancer's share of the server's capacity amounts to one request of mean work, or 0
// while no rate is known.
func (c *Controller) Pause(now time.Duration, p *Progress, load Load) time.Duration {
	if c.Drawn() {
		return c.options.DrawWindow
	}
	return c.interval(now, p, load)
}

// interval returns the mean time between this balancer's requests. It counts each request as one of mean
// work, although only requests with an expected work of up to the mean are sent: low cost hints are too low
// as often as not, and the real work is then higher.
func (c *Controller) interval(now time.Duration, p *Progress, load Load) time.Duration {
	longest := c.options.Duration
	if c.Drawn() {
		longest = maxDrawnInterval
	}
	workPerSecond := c.AllowedRate(now, p, load)
	unknown := workPerSecond <= 0
	switch {
	case unknown && !c.Drawn():
		return 0
	case unknown: // with 0, all draws would win, and many balancers would send at once
		return longest
	}
	return time.Duration(min(load.MeanWork/workPerSecond, longest.Seconds()) * float64(time.Second))
}
