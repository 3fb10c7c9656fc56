package invariants

import (
	"fmt"
	"time"

	"piernotch"
)

// AttemptSent records that an attempt left a balancer for a server. The attempts of a request are
// numbered from 0 in the order of their sending.
func (c *Checker) AttemptSent(at time.Duration, balancer int, id uint64, server int) {
	c.checkDrain(at, balancer, id, server)
	r := c.requests.Get(id)
	if r == nil || r.answered {
		c.reportRequest(Lost, at, balancer, id, server, "sent after its final answer")
		if r == nil {
			return
		}
	}
	c.checkRetry(at, r, id, server)
	if len(r.attempts) < maxAttempts {
		r.attempts = append(r.attempts, attempt{sentAt: at, server: int32(server)})
	}
}

// checkDrain checks that a balancer was not notified that a server drains or is gone.
func (c *Checker) checkDrain(at time.Duration, balancer int, id uint64, server int) {
	notified, ok := c.unavailableSince[balancerServer{int32(balancer), int32(server)}]
	if !ok {
		return
	}
	c.drainLatest = max(c.drainLatest, at-notified)
	if at > notified+c.limits.Grace {
		c.reportRequest(Drain, at, balancer, id, server, fmt.Sprintf("sent %v after it was told that the server leaves", at-notified))
	}
}

// checkRetry checks a further attempt of a request against its class and the limits.
func (c *Checker) checkRetry(at time.Duration, r *request, id uint64, server int) {
	class := c.classOf(r)
	if class == nil || len(r.attempts) == 0 {
		return
	}
	report := func(message string) {
		c.reportRequest(Repeated, at, int(r.balancer), id, server, message)
	}
	if len(r.attempts) >= c.limits.MaxAttempts {
		report(fmt.Sprintf("attempt %d of %d allowed", len(r.attempts)+1, c.limits.MaxAttempts))
	}
	first, inflight := r.firstExecutable()
	if inflight && !c.limits.HedgedRequests {
		report("a second copy, which is not allowed here")
	}
	if first == nil {
		return
	}
	if message := c.unsafeRetry(at, class, first, server); message != "" {
		report(message)
	}
}

// firstExecutable returns the first attempt that may have been executed, or nil, and whether any
// attempt is in flight.
func (r *request) firstExecutable() (first *attempt, inflight bool) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.neverExecuted && first == nil {
			first = a
		}
		inflight = inflight || !a.completed
	}
	return first, inflight
}

// unsafeRetry returns why an attempt must not follow one that may have been executed, or nothing if
// it may.
func (c *Checker) unsafeRetry(at time.Duration, class *piernotch.Class, first *attempt, server int) string {
	switch class.RetrySafety {
	case piernotch.NonIdempotent:
		return "sent again, though an earlier attempt may have run"
	case piernotch.IdempotencyKey:
		earlier := int(first.server)
		switch {
		case at > first.sentAt+class.DedupWindow:
			return "sent again after the time in which repeats are dropped"
		case class.DedupScope == piernotch.DedupInZone && c.limits.Zone(server) != c.limits.Zone(earlier):
			return "sent again to another zone"
		case class.DedupScope == piernotch.DedupInCell && c.limits.Cell(server) != c.limits.Cell(earlier):
			return "sent again to another cell"
		}
	}
	return ""
}

// attempt returns attempt n of a request with the request, or nil for one that is not remembered.
func (c *Checker) attempt(id uint64, n int) (*request, *attempt) {
	r := c.requests.Get(id)
	if r == nil || n < 0 || n >= len(r.attempts) {
		return nil, nil
	}
	return r, &r.attempts[n]
}

// AttemptAccepted records that a server accepted an attempt: from here on it may be executed.
func (c *Checker) AttemptAccepted(id uint64, n int) {
	if _, a := c.attempt(id, n); a != nil {
		a.accepted = true
	}
}

// AttemptExecuted records that a server executed an attempt, or a part of it.
func (c *Checker) AttemptExecuted(at time.Duration, id uint64, n int) {
	r, a := c.attempt(id, n)
	if a == nil {
		return
	}
	a.executed = true
	if class := c.classOf(r); class == nil || class.RetrySafety != piernotch.NonIdempotent {
		return
	}
	for i := range r.attempts {
		if i != n && r.attempts[i].executed {
			c.reportRequest(Repeated, at, int(r.balancer), id, int(a.server), "ran a second time")
			return
		}
	}
}

// AttemptCompleted records that the balancer knows how an attempt ended, and whether what it got
// proves that the attempt was never executed.
func (c *Checker) AttemptCompleted(id uint64, n int, neverExecuted bool) {
	if r, a := c.attempt(id, n); a != nil {
		a.completed = true
		a.neverExecuted = neverExecuted
		c.release(id, r)
	}
}
