package invariants

import (
	"fmt"
	"slices"
	"time"

	"piernotch"
)

// RequestReceived records that a balancer has received the whole of a client's request. IDs must
// rise. A class that Limits does not list is not checked for retries.
func (c *Checker) RequestReceived(at time.Duration, balancer int, id uint64, class int, deadline time.Duration) {
	r := c.requests.Put(id)
	*r = request{balancer: int32(balancer), class: int8(class), receivedAt: at, deadline: deadline}
	if n := len(c.freeAttempts); n > 0 {
		r.attempts = c.freeAttempts[n-1]
		c.freeAttempts = c.freeAttempts[:n-1]
	}
	step := int64((deadline+c.limits.Slack)/checkInterval) + 1
	c.due[step] = append(c.due[step], id)
}

// RequestAnswered records that a final answer left for the client.
func (c *Checker) RequestAnswered(at time.Duration, id uint64, answer Result) {
	r := c.requests.Get(id)
	if r == nil || r.answered {
		balancer := -1
		if r != nil {
			balancer = int(r.balancer)
		}
		c.reportRequest(Lost, at, balancer, id, noServer, answer.String()+": a second final answer, or one to nobody")
		return
	}
	if at > r.deadline+c.limits.Slack {
		c.reportRequest(Lost, at, int(r.balancer), id, noServer, fmt.Sprintf("%s %v after its deadline", answer, at-r.deadline))
	}
	r.answered = true
	r.answer = answer
	r.answeredAt = at
	switch answer {
	case Served:
		if !slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.executed }) {
			c.reportRequest(Lost, at, int(r.balancer), id, noServer, "served, but no server ran it")
		}
	case Rejected:
		c.checkRejection(at, id, r)
	}
	c.release(id, r)
}

// checkRejection checks that a rejected request was never executed. A rejection says that the request
// may be sent again, which matters where nobody drops repeats.
func (c *Checker) checkRejection(at time.Duration, id uint64, r *request) {
	class := c.classOf(r)
	if class == nil || !repeatsMatter(class) {
		return
	}
	for _, a := range r.attempts {
		if !a.neverExecuted {
			c.reportRequest(Repeated, at, int(r.balancer), id, int(a.server), "refused what may have run")
			return
		}
	}
}

// repeatsMatter reports whether a repeat of a class's request by its client may be executed twice.
func repeatsMatter(class *piernotch.Class) bool {
	switch class.RetrySafety {
	case piernotch.NonIdempotent:
		return true
	case piernotch.IdempotencyKey:
		return class.DedupScope != piernotch.DedupEverywhere
	}
	return false
}

// RequestExcused records that a request needs no answer any more: the client left, or its balancer
// was killed.
func (c *Checker) RequestExcused(at time.Duration, id uint64) {
	if r := c.requests.Get(id); r != nil && !r.answered {
		r.answered = true
		r.answer = Failed
		r.answeredAt = at
		c.release(id, r)
	}
}

// RequestDropped records that a balancer ended the connection of a request without an answer.
func (c *Checker) RequestDropped(at time.Duration, id uint64) {
	if r := c.requests.Get(id); r != nil && !r.answered {
		c.reportRequest(Lost, at, int(r.balancer), id, noServer, "its connection was ended without an answer")
		c.RequestExcused(at, id)
	}
}

// CheckOverdue finds answers that are overdue. It is to be called now and then, and at the end.
func (c *Checker) CheckOverdue(now time.Duration) {
	for ; c.checkedSteps <= int64(now/checkInterval); c.checkedSteps++ {
		for _, id := range c.due[c.checkedSteps] {
			r := c.requests.Get(id)
			if r == nil || r.answered {
				continue
			}
			c.reportRequest(Lost, now, int(r.balancer), id, noServer, fmt.Sprintf("no final answer %v after its deadline", now-r.deadline))
			c.RequestExcused(now, id)
		}
		delete(c.due, c.checkedSteps)
	}
}

// release deletes a request that is answered and has no attempt in flight.
func (c *Checker) release(id uint64, r *request) {
	inflight := slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.completed })
	if !r.answered || inflight {
		return
	}
	if r.attempts != nil {
		c.freeAttempts = append(c.freeAttempts, r.attempts[:0])
	}
	c.requests.Delete(id)
}

// describe returns what was observed of a request, one step a line.
func (c *Checker) describe(id uint64) []string {
	r := c.requests.Get(id)
	if r == nil {
		return []string{"no more is known of it: it was never taken, or it had its final answer and nothing was out"}
	}
	name := fmt.Sprintf("class %d", r.class)
	if class := c.classOf(r); class != nil {
		name = class.Name
	}
	out := []string{fmt.Sprintf("%.6f s: balancer %d takes it, %s, deadline %.6f s", r.receivedAt.Seconds(), r.balancer, name, r.deadline.Seconds())}
	for i := range r.attempts {
		out = append(out, r.attempts[i].describe(i))
	}
	if r.answered {
		out = append(out, fmt.Sprintf("%.6f s: %s", r.answeredAt.Seconds(), r.answer))
	}
	return out
}

// describe returns what was observed of attempt n, in one line.
func (a *attempt) describe(n int) string {
	line := fmt.Sprintf("%.6f s: attempt %d to server %d", a.sentAt.Seconds(), n, a.server)
	switch {
	case a.executed:
		line += ", which ran it"
	case a.neverExecuted:
		line += ", proved unrun"
	case a.accepted:
		line += ", which took it in"
	}
	if !a.completed {
		line += ", still out"
	}
	return line
}
