package invariants

import (
	"fmt"
	"slices"
	"time"

	"piernotch"
)

// ReceivedRequest is a client's request that a balancer has received completely.
type ReceivedRequest struct {
	At       time.Duration
	Balancer BalancerIndex
	ID       uint64 // greater than the ID of each earlier request
	Class    int    // index into Limits.Classes; if out of range, retries and rejections are not checked
	Deadline time.Duration
}

// RequestReceived records a request, for which CheckOverdue then expects a final response.
func (c *Checker) RequestReceived(received ReceivedRequest) {
	request := c.requests.Put(received.ID)
	*request = requestRecord{
		balancer:   received.Balancer,
		class:      int8(received.Class),
		receivedAt: received.At,
		deadline:   received.Deadline,
	}
	if free := len(c.freeAttempts); free > 0 {
		request.attempts = c.freeAttempts[free-1]
		c.freeAttempts = c.freeAttempts[:free-1]
	}
	step := int64((received.Deadline+c.limits.Slack)/checkInterval) + 1
	c.due[step] = append(c.due[step], received.ID)
}

// ResponseSent records a final response, and checks it against Lost and Repeated.
func (c *Checker) ResponseSent(at time.Duration, id uint64, result Result) {
	request := c.requests.Get(id)
	if request == nil || request.responded {
		c.reportRequest(request, Violation{
			Rule:    Lost,
			At:      at,
			Request: id,
			Server:  noServer,
			Message: result.String() + ": a second final response, or one to an unknown request",
		})
		return
	}
	if at > request.deadline+c.limits.Slack {
		c.reportRequest(request, Violation{
			Rule:    Lost,
			At:      at,
			Request: id,
			Server:  noServer,
			Message: fmt.Sprintf("%s %v after its deadline", result, at-request.deadline),
		})
	}
	request.responded = true
	request.result = result
	request.respondedAt = at
	switch result {
	case Served:
		if !slices.ContainsFunc(request.attempts, func(attempt attemptRecord) bool { return attempt.executed }) {
			c.reportRequest(request, Violation{
				Rule:    Lost,
				At:      at,
				Request: id,
				Server:  noServer,
				Message: "served, but no server executed it",
			})
		}
	case Rejected:
		c.checkRejection(at, id, request)
	}
	c.release(id, request)
}

// checkRejection checks that no attempt of a rejected request may have been executed, unless repeats are harmless
// (repeatsMatter). A rejection invites the client to repeat the request, which could then be executed twice.
func (c *Checker) checkRejection(at time.Duration, id uint64, request *requestRecord) {
	class := c.classOf(request)
	if class == nil || !repeatsMatter(class) {
		return
	}
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if !attempt.neverExecuted {
			c.reportRequest(request, Violation{
				Rule:    Repeated,
				At:      at,
				Request: id,
				Server:  attempt.server,
				Message: "rejected, though an attempt may have been executed",
			})
			return
		}
	}
}

// repeatsMatter reports whether a client's repeat of a request could take effect twice.
func repeatsMatter(class *piernotch.Class) bool {
	switch class.RetrySafety {
	case piernotch.NonIdempotent:
		return true
	case piernotch.IdempotencyKey:
		return class.DedupScope != piernotch.DedupEverywhere
	}
	return false
}

// RequestExcused records that a request no longer needs a response, for example because its client
// disconnected or its balancer was killed.
func (c *Checker) RequestExcused(at time.Duration, id uint64) {
	if request := c.requests.Get(id); request != nil && !request.responded {
		request.responded = true
		request.result = Failed
		request.respondedAt = at
		c.release(id, request)
	}
}

// WrongResponseSent records that a client got a successful response that no server made for its request.
// This violates Lost; the request is then excused.
func (c *Checker) WrongResponseSent(at time.Duration, id uint64) {
	c.reportRequest(c.requests.Get(id), Violation{
		Rule:    Lost,
		At:      at,
		Request: id,
		Server:  noServer,
		Message: "served with a response that no server made for it",
	})
	c.RequestExcused(at, id)
}

// RequestDropped records that a balancer closed the connection of a request without a response. This
// violates Lost unless the request has its final response.
func (c *Checker) RequestDropped(at time.Duration, id uint64) {
	if request := c.requests.Get(id); request != nil && !request.responded {
		c.reportRequest(request, Violation{
			Rule:    Lost,
			At:      at,
			Request: id,
			Server:  noServer,
			Message: "its connection was closed without a response",
		})
		c.RequestExcused(at, id)
	}
}

// CheckOverdue reports overdue final responses as Lost, and excuses the requests. It must be called at
// intervals during the run and at its end.
func (c *Checker) CheckOverdue(now time.Duration) {
	for ; c.checkedSteps <= int64(now/checkInterval); c.checkedSteps++ {
		for _, id := range c.due[c.checkedSteps] {
			request := c.requests.Get(id)
			if request == nil || request.responded {
				continue
			}
			c.reportRequest(request, Violation{
				Rule:    Lost,
				At:      now,
				Request: id,
				Server:  noServer,
				Message: fmt.Sprintf("no final response %v after its deadline", now-request.deadline),
			})
			c.RequestExcused(now, id)
		}
		delete(c.due, c.checkedSteps)
	}
}

// release deletes a request if it has its final response and no attempt in flight.
func (c *Checker) release(id uint64, request *requestRecord) {
	inflight := slices.ContainsFunc(request.attempts, func(attempt attemptRecord) bool { return !attempt.completed })
	if !request.responded || inflight {
		return
	}
	if request.attempts != nil {
		c.freeAttempts = append(c.freeAttempts, request.attempts[:0])
	}
	c.requests.Delete(id)
}

// describe returns the observations of a request, one per line.
func (c *Checker) describe(id uint64) []string {
	request := c.requests.Get(id)
	if request == nil {
		return []string{
			"nothing is recorded: it was never received, or it had its final response and no attempt in flight",
		}
	}
	class := fmt.Sprintf("class %d", request.class)
	if listed := c.classOf(request); listed != nil {
		class = listed.Name
	}
	steps := []string{fmt.Sprintf("%.6f s: received by balancer %d, %s, deadline %.6f s",
		request.receivedAt.Seconds(), request.balancer, class, request.deadline.Seconds())}
	for i := range request.attempts {
		steps = append(steps, request.attempts[i].describe(i))
	}
	if request.responded {
		steps = append(steps, fmt.Sprintf("%.6f s: %s", request.respondedAt.Seconds(), request.result))
	}
	return steps
}

// describe returns the observations of an attempt in one line.
func (a *attemptRecord) describe(attemptNumber int) string {
	line := fmt.Sprintf("%.6f s: attempt %d to server %d", a.sentAt.Seconds(), attemptNumber, a.server)
	switch {
	case a.executed:
		line += ", executed"
	case a.neverExecuted:
		line += ", proved never executed"
	case a.accepted:
		line += ", accepted"
	}
	if !a.completed {
		line += ", in flight"
	}
	return line
}
