package clustersim

import (
	"time"

	"piernotch/internal/controlgroup/lease"
)

// nodeID is the number of a node: voters first, then members, then receivers, as in Fault.Process.
type nodeID int

// node is a process with its own monotonic clock: a voter, a member or a receiver.
type node struct {
	sim         *simulation
	id          nodeID
	up          bool
	incarnation int           // counts starts and ends: what was scheduled under another one is void
	pausedUntil time.Duration // in true time
	clockRate   float64       // of the monotonic clock; 1: exact
	wallOffset  time.Duration // of the wall clock, by steps
	deferred    []func()      // what came while the process was paused
	voter       *voter        // nil: not a voter
	member      *member       // nil: not a member
	fence       *lease.Fence  // of a receiver

	// persistedTokens is a receiver's disk: the highest token of each duty.
	persistedTokens map[lease.Duty]uint64
}

// now returns the time of the node's monotonic clock.
func (n *node) now() time.Duration { return steps.monotonicTime(n) }

// execute runs f in the node's process: now, when the process is resumed, or not at all if it is down or
// ends before.
func (n *node) execute(f func()) {
	if !n.up {
		return
	}
	if n.sim.now >= n.pausedUntil {
		f()
		return
	}
	incarnation := n.incarnation
	n.deferred = append(n.deferred, func() {
		if n.incarnation == incarnation {
			f()
		}
	})
}

// after runs f in the node's process after a time of its own clock.
func (n *node) after(d time.Duration, f func()) {
	incarnation := n.incarnation
	n.sim.at(n.sim.now+time.Duration(float64(d)/n.clockRate), func() {
		if n.incarnation == incarnation {
			n.execute(f)
		}
	})
}

// start starts the process.
func (n *node) start() {
	n.up = true
	n.incarnation++
	switch {
	case n.voter != nil:
		n.voter.started()
	case n.member != nil:
		n.member.started()
	default:
		n.fence = &lease.Fence{}
		steps.restoreFence(n)
	}
}

// stop ends the process as a crash does.
func (n *node) stop() {
	n.up = false
	n.incarnation++
	n.deferred = nil
	if n.voter != nil {
		n.voter.crashed()
	}
}

// pause suspends the process until a moment of true time.
func (n *node) pause(until time.Duration) {
	n.pausedUntil = max(n.pausedUntil, until)
	n.sim.at(n.pausedUntil, n.resume)
}

func (n *node) resume() {
	if n.sim.now < n.pausedUntil { // another pause began meanwhile
		return
	}
	deferred := n.deferred
	n.deferred = nil
	for _, f := range deferred {
		n.execute(f)
	}
}

// receive handles an act at a receiver: it does the act, or rejects its token.
func (n *node) receive(d lease.Duty, token uint64, from nodeID) {
	s := n.sim
	admitted, isNewest := steps.admitAct(n, d, token)
	if !admitted {
		s.result.Fenced++
		return
	}
	if token < n.persistedTokens[d] {
		s.violation("receiver %d did an act for %s under token %d after one under %d", n.id, d, token, n.persistedTokens[d])
	}
	if isNewest { // persisted before the act is done
		if n.persistedTokens == nil {
			n.persistedTokens = map[lease.Duty]uint64{}
		}
		n.persistedTokens[d] = max(n.persistedTokens[d], token)
	}
	s.recordAct(d, token, from)
}
