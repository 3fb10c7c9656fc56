package clustersim

import (
	"time"

	"piernotch/internal/controlgroup/lease"
)

// processID is the number of a process, as in Fault.Process: voters first, then clients, then receivers.
type processID int

// process is a voter, a client or a receiver, with its own monotonic clock. A process keeps its number over a restart;
// incarnation distinguishes the starts.
type process struct {
	sim         *simulation
	id          processID
	up          bool
	incarnation int           // counts starts and ends; work scheduled under an earlier value does not run
	pausedUntil time.Duration // in true time
	clockRate   float64       // of the monotonic clock, relative to true time; 1 is exact
	wallOffset  time.Duration // sum of the wall clock's steps
	deferred    []func()      // work that arrived while the process was paused
	voter       *voter        // nil for other processes
	client      *client       // nil for other processes
	fence       *lease.Fence  // nil for voters and clients

	// persistedTokens is the content of a receiver's disk: the highest token of each duty.
	persistedTokens map[lease.Duty]lease.Token
}

// now returns the time of the process's monotonic clock.
func (p *process) now() time.Duration { return steps.monotonicTime(p) }

// execute runs work now, or when a paused process resumes. Work is dropped if the process is down or
// stops while paused.
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

// after runs work once delay has passed on the process's own clock, unless the process has stopped by then.
func (p *process) after(delay time.Duration, work func()) {
	incarnation := p.incarnation
	p.sim.at(p.sim.now+time.Duration(float64(delay)/p.clockRate), func() {
		if p.incarnation == incarnation {
			p.execute(work)
		}
	})
}

// start begins a new incarnation.
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

// stop ends the process like a crash: a voter's write in progress may be lost.
func (p *process) stop() {
	p.up = false
	p.incarnation++
	p.deferred = nil
	if p.voter != nil {
		p.voter.crashed()
	}
}

// pause suspends the process until a moment of true time. If an earlier pause ends later, that end applies.
func (p *process) pause(until time.Duration) {
	p.pausedUntil = max(p.pausedUntil, until)
	p.sim.at(p.pausedUntil, p.resume)
}

func (p *process) resume() {
	if p.sim.now < p.pausedUntil { // a longer pause has begun meanwhile
		return
	}
	deferred := p.deferred
	p.deferred = nil
	for _, work := range deferred {
		p.execute(work)
	}
}

// receive handles an act at a receiver. The fence rejects the token, or the receiver persists a new highest token and
// carries out the act. An act under a token lower than the persisted token is a violation.
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
	if isNewest { // persist the token before the act is carried out
		if p.persistedTokens == nil {
			p.persistedTokens = map[lease.Duty]lease.Token{}
		}
		p.persistedTokens[duty] = max(p.persistedTokens[duty], token)
	}
	sim.recordAct(duty, token, from)
}
