package clustersim

import (
	"time"

	"piernotch/internal/controlgroup/lease"
)

// processID is the number of a process: voters first, then clients, then receivers, as in Fault.Process.
type processID int

// process is a voter, a client or a receiver, with its own monotonic clock. It keeps its number when it ends and is
// started again; incarnation tells the starts apart.
type process struct {
	sim         *simulation
	id          processID
	up          bool
	incarnation int           // counts starts and ends: what was scheduled under another one is void
	pausedUntil time.Duration // in true time
	clockRate   float64       // of the monotonic clock; 1: exact
	wallOffset  time.Duration // of the wall clock, by steps
	deferred    []func()      // what came while the process was paused
	voter       *voter        // nil: not a voter
	client      *client       // nil: not a client
	fence       *lease.Fence  // of a receiver

	// persistedTokens is a receiver's disk: the highest token of each duty.
	persistedTokens map[lease.Duty]lease.Token
}

// now returns the time of the process's monotonic clock.
func (p *process) now() time.Duration { return steps.monotonicTime(p) }

// execute runs work in the process: now, or when the process is resumed. It does not run work if the process is down,
// or ends before.
func (p *process) execute(work func()) {
	if !p.up {
		return
	}
	if p.sim.now >= p.pausedUntil {
		work()
		return
	}
	incarnation := p.incarnation
	p.deferred = append(p.deferred, func() {
		if p.incarnation == incarnation {
			work()
		}
	})
}

// after runs work in the process after a time of its own clock.
func (p *process) after(delay time.Duration, work func()) {
	incarnation := p.incarnation
	p.sim.at(p.sim.now+time.Duration(float64(delay)/p.clockRate), func() {
		if p.incarnation == incarnation {
			p.execute(work)
		}
	})
}

// start starts the process.
func (p *process) start() {
	p.up = true
	p.incarnation++
	switch {
	case p.voter != nil:
		p.voter.started()
	case p.client != nil:
		p.client.started()
	default:
		p.fence = &lease.Fence{}
		steps.restoreFence(p)
	}
}

// stop ends the process as a crash does.
func (p *process) stop() {
	p.up = false
	p.incarnation++
	p.deferred = nil
	if p.voter != nil {
		p.voter.crashed()
	}
}

// pause suspends the process until a moment of true time.
func (p *process) pause(until time.Duration) {
	p.pausedUntil = max(p.pausedUntil, until)
	p.sim.at(p.pausedUntil, p.resume)
}

func (p *process) resume() {
	if p.sim.now < p.pausedUntil { // another pause began meanwhile
		return
	}
	deferred := p.deferred
	p.deferred = nil
	for _, work := range deferred {
		p.execute(work)
	}
}

// receive handles an act at a receiver: it does the act, or rejects its token.
func (p *process) receive(duty lease.Duty, token lease.Token, from processID) {
	sim := p.sim
	admitted, isNewest := steps.admitAct(p, duty, token)
	if !admitted {
		sim.result.Fenced++
		return
	}
	if token < p.persistedTokens[duty] {
		sim.violation("receiver %d carried out an act for %s under token %d after one under %d",
			p.id, duty, token, p.persistedTokens[duty])
	}
	if isNewest { // persisted before the act is done
		if p.persistedTokens == nil {
			p.persistedTokens = map[lease.Duty]lease.Token{}
		}
		p.persistedTokens[duty] = max(p.persistedTokens[duty], token)
	}
	sim.recordAct(duty, token, from)
}
