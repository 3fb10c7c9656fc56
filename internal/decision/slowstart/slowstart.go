// Package slowstart decides how much work a server gets that started lately.
//
// A process that has just started has only a part of its capacity: its caches are empty and its code is
// not compiled yet. With its full share of the requests it would be overloaded, and might fail again. In
// slow start its capacity is taken to grow linearly with its age, as Envoy's slow start mode and the
// slow_start of nginx do. These scale a weight. Here the time between requests is controlled instead,
// because one request of each of many balancers is already more than the server can take:
//
//   - A balancer sends one request at a time, none heavier than the mean, and none to a zone that has
//     balancers of its own.
//   - It leaves a pause between requests, in which its share of the server's present capacity amounts to
//     one request of mean work (Pause).
//   - With many balancers that share is less than one request in any reasonable pause. Each of them then
//     draws, for each window of time, whether it may send in it (WinsDraw). A right to send ends with its
//     window. If rights could be saved up while a balancer is idle, all balancers would use theirs at
//     once when traffic rises.
//
// Progress is the slow start of one server. A Controller holds the options and decides, from a Progress and
// a Load, which says what a warm server gets or completes. Nothing here knows of the endpoint list or
// notices a restart: the caller starts a slow start and says since when it counts. Times are durations
// since the origin of the caller's clock.
package slowstart

import (
	"math"
	"math/rand/v2"
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	// assumedRestartDivisor divides the duration: a restart that the endpoint list has not named is assumed
	// for a quarter of it. Discovery has that time to name it.
	assumedRestartDivisor = 4
	// maxDrawnInterval bounds the mean time between one balancer's requests where they are drawn. It is
	// longer than any slow start: one request of each balancer may be more than the server can take.
	maxDrawnInterval = time.Hour
)

// Options holds the parameters of slow start. In its zero value a server is never in slow start.
type Options struct {
	InitialCapacity float64       // share of its capacity that a server starts with, in [0, 1]
	Duration        time.Duration // time after its start at which it has all of it; 0: it has at once
	DrawWindow      time.Duration // window for which a balancer draws whether it may send; 0: no draws
	Seed            uint64        // makes the draws of this balancer differ from those of others
}

// Progress is the slow start of one server. Its zero value is a warm server.
type Progress struct {
	active       bool          // the server is in slow start
	since        time.Duration // start of the process, while active
	nextSend     time.Duration // nothing is sent before, while active
	assumedUntil time.Duration // end of a slow start whose restart is only assumed; 0: it is known
}

// Warm reports whether the server is not in slow start.
func (p *Progress) Warm() bool { return !p.active }

// Since returns the time from which the slow start counts; inSlowStart is false for a warm server.
func (p *Progress) Since() (since time.Duration, inSlowStart bool) { return p.since, p.active }

// Request is what a request to a server in slow start means to it.
type Request struct {
	Work                   float64 // expected, ms
	MeanWork               float64 // of all requests, ms
	ServerInflight         int     // this balancer's requests at the server
	WarmedByLocalBalancers bool    // the server is in another zone, which has balancers of its own
}

// Identity tells the draws for one server from those for others.
type Identity struct {
	Hash    uint64  // of the server's id: balancers draw for each server anew
	Stagger float64 // in [0, 1): shifts the windows, so that not all balancers' begin at once
}

// Controller decides by the options. Its zero value is usable and has the zero options.
type Controller struct {
	options Options
}

// NewController returns a Controller with the options.
func NewController(options Options) Controller { return Controller{options: options} }

// Drawn reports whether the balancer draws whether it may send.
func (c *Controller) Drawn() bool { return c.options.DrawWindow > 0 }

// Covers reports whether a process that started at the given time is still in slow start.
func (c *Controller) Covers(now, startedAt time.Duration) bool {
	return now < startedAt+c.options.Duration
}

// CapacityShare returns the share of its capacity that the server has now.
func (c *Controller) CapacityShare(now time.Duration, p *Progress) float64 {
	if !p.active || c.options.Duration <= 0 {
		return 1
	}
	initial := c.options.InitialCapacity
	age := float64(now-p.since) / float64(c.options.Duration)
	return initial + (1-initial)*min(max(age, 0), 1)
}

// Start starts a slow start that counts from the start of the process. The first request waits for a random
// part of the pause, which keeps many balancers from sending at once. It takes one draw from rng. A start
// before the clock's origin counts as long ago: the server is warm then.
func (c *Controller) Start(now, since time.Duration, p *Progress, load Load, rng *rand.Rand) {
	*p = Progress{active: since >= 0, since: since}
	p.nextSend = now + estimate.Jitter(rng, c.Pause(now, p, load))
}

// Assume starts a slow start because the process may have been replaced. It ends early unless the caller
// starts it again when the endpoint list names a restart.
func (c *Controller) Assume(now time.Duration, p *Progress, load Load, rng *rand.Rand) {
	c.Start(now, now, p, load, rng)
	p.assumedUntil = now + c.options.Duration/assumedRestartDivisor
}

// EndIfDue ends a slow start after its duration, or if an assumed restart has not been confirmed in time.
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

// Admits reports whether the server may get the request, apart from the draw: one at a time, after the
// pause, and no heavy one, since one from each balancer would overload it.
func (c *Controller) Admits(now time.Duration, p *Progress, request Request) bool {
	heavy := request.Work > request.MeanWork
	if heavy || request.WarmedByLocalBalancers {
		return false
	}
	return now >= p.nextSend && request.ServerInflight == 0
}

// WinsDraw reports whether this balancer may send to the server in the present window. The draw is a hash of
// the balancer's seed, the window and the server, so that it stays the same for the whole window.
func (c *Controller) WinsDraw(now time.Duration, p *Progress, server Identity, load Load) bool {
	window := uint64(float64(now)/float64(c.options.DrawWindow) + server.Stagger)
	hash := estimate.MixBits(estimate.MixBits(window^c.options.Seed) ^ server.Hash)
	draw := float64(hash) / math.MaxUint64
	return draw*float64(c.interval(now, p, load)) <= float64(c.options.DrawWindow)
}

// RecordSend starts the pause after a request that is sent now.
func (c *Controller) RecordSend(now time.Duration, p *Progress, load Load) {
	p.nextSend = max(p.nextSend, now) + c.Pause(now, p, load)
}

// Pause returns the least time between this balancer's requests: a window, if they are drawn, and else the
// time in which its share of the server amounts to a request of mean work.
func (c *Controller) Pause(now time.Duration, p *Progress, load Load) time.Duration {
	if c.Drawn() {
		return c.options.DrawWindow
	}
	return c.interval(now, p, load)
}

// interval returns the mean time between this balancer's requests. Only requests up to the mean work are
// sent, but a request of mean work is counted: hints that are light are too low as often as not.
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
	case unknown: // many balancers would all try at once
		return longest
	}
	return time.Duration(min(load.MeanWork/workPerSecond, longest.Seconds()) * float64(time.Second))
}
