package invariants

import (
	"fmt"
	"time"

	"piernotch"
)

// SentAttempt is an attempt that a balancer has sent to a server.
type SentAttempt struct {
	At       time.Duration
	Balancer BalancerIndex
	Request  uint64
	Server   ServerIndex
	Timeout  time.Duration // as told to the server; 0: none
}

// deadlineSlack is the time by which the deadline told to a server may exceed the client's deadline.
const deadlineSlack = 150 * time.Millisecond

// AttemptSent records an attempt and checks it against Lost, Drain, Repeated and Deadline. The attempts of
// a request are numbered from 0 in the order in which they are sent.
func (c *Checker) AttemptSent(sent SentAttempt) {
	c.checkDrain(&sent)
	request := c.requests.Get(sent.Request)
	if request == nil || request.responded {
		c.reportAttempt(Lost, &sent, "sent after its final response")
		if request == nil {
			return
		}
	}
	c.checkRetry(&sent, request)
	c.checkDeadline(&sent, request)
	if len(request.attempts) < maxAttempts {
		request.attempts = append(request.attempts, attemptRecord{sentAt: sent.At, server: sent.Server})
	}
}

// reportAttempt reports a violation by an attempt, for the balancer that sent the attempt.
func (c *Checker) reportAttempt(rule Rule, sent *SentAttempt, message string) {
	c.report(Violation{
		Rule: rule, At: sent.At, Balancer: sent.Balancer, Request: sent.Request, Server: sent.Server,
		Message: message, Steps: c.describe(sent.Request),
	})
}

// checkDrain checks an attempt against Drain, and updates DrainLatest.
func (c *Checker) checkDrain(sent *SentAttempt) {
	notifiedAt, ok := c.unavailableSince[balancerServer{sent.Balancer, sent.Server}]
	if !ok {
		return
	}
	sinceNotified := sent.At - notifiedAt
	c.drainLatest = max(c.drainLatest, sinceNotified)
	if sinceNotified > c.limits.Grace {
		c.reportAttempt(
			Drain,
			sent,
			fmt.Sprintf("sent %v after the balancer was notified that the server drains or is gone", sinceNotified),
		)
	}
}

// checkDeadline checks that a server is told at most the time that the client has left plus deadlineSlack.
func (c *Checker) checkDeadline(sent *SentAttempt, request *requestRecord) {
	beyond := sent.At + sent.Timeout - request.deadline
	if sent.Timeout == 0 || beyond <= deadlineSlack {
		return
	}
	message := fmt.Sprintf("the server was told %v, %v more than the client has left", sent.Timeout, beyond)
	c.reportAttempt(Deadline, sent, message)
}

// checkRetry checks each attempt of a request but the first against MaxAttempts, HedgedRequests and the request's
// class. If the class is unknown, it checks nothing.
func (c *Checker) checkRetry(sent *SentAttempt, request *requestRecord) {
	class := c.classOf(request)
	if class == nil || len(request.attempts) == 0 {
		return
	}
	report := func(message string) {
		c.reportRequest(
			request,
			Violation{Rule: Repeated, At: sent.At, Request: sent.Request, Server: sent.Server, Message: message},
		)
	}
	if len(request.attempts) >= c.limits.MaxAttempts {
		report(fmt.Sprintf("attempt %d of %d allowed", len(request.attempts)+1, c.limits.MaxAttempts))
	}
	first, inflight := request.firstExecutable()
	if inflight && !c.limits.HedgedRequests {
		report("a hedged request, which is not allowed")
	}
	if first == nil {
		return
	}
	if message := c.unsafeRetry(sent, class, first); message != "" {
		report(message)
	}
}

// firstExecutable returns the first attempt that may have been executed, or nil, and whether any
// attempt is in flight.
func (r *requestRecord) firstExecutable() (first *attemptRecord, inflight bool) {
	for i := range r.attempts {
		attempt := &r.attempts[i]
		if !attempt.neverExecuted && first == nil {
			first = attempt
		}
		inflight = inflight || !attempt.completed
	}
	return first, inflight
}

// unsafeRetry returns why the class forbids an attempt after first, which may have been executed. It returns ""
// if the attempt is allowed.
func (c *Checker) unsafeRetry(sent *SentAttempt, class *piernotch.Class, first *attemptRecord) string {
	switch class.RetrySafety {
	case piernotch.NonIdempotent:
		return "retried, though an earlier attempt may have been executed"
	case piernotch.IdempotencyKey:
		return c.outsideDeduplication(sent, class, first)
	}
	return ""
}

// outsideDeduplication returns why servers do not deduplicate an attempt against an earlier one with
// the same idempotency key, or "" if they do.
func (c *Checker) outsideDeduplication(sent *SentAttempt, class *piernotch.Class, first *attemptRecord) string {
	tooLate := sent.At > first.sentAt+class.DedupWindow
	switch {
	case tooLate:
		return "retried after the deduplication window"
	case class.DedupScope == piernotch.DedupInZone && c.limits.Zone(sent.Server) != c.limits.Zone(first.server):
		return "retried in another zone, outside of the deduplication scope"
	case class.DedupScope == piernotch.DedupInCell && c.limits.Cell(sent.Server) != c.limits.Cell(first.server):
		return "retried in another cell, outside of the deduplication scope"
	}
	return ""
}

// attempt returns a request and one of its attempts; both are nil if the attempt is not stored.
func (c *Checker) attempt(id uint64, attemptNumber int) (*requestRecord, *attemptRecord) {
	request := c.requests.Get(id)
	if request == nil || attemptNumber < 0 || attemptNumber >= len(request.attempts) {
		return nil, nil
	}
	return request, &request.attempts[attemptNumber]
}

// AttemptAccepted records that a server accepted an attempt. The server may execute it from then on.
func (c *Checker) AttemptAccepted(id uint64, attemptNumber int) {
	if _, attempt := c.attempt(id, attemptNumber); attempt != nil {
		attempt.accepted = true
	}
}

// AttemptExecuted records that a server executed an attempt, at least in part. In a NonIdempotent class, a
// second executed attempt violates Repeated.
func (c *Checker) AttemptExecuted(at time.Duration, id uint64, attemptNumber int) {
	request, attempt := c.attempt(id, attemptNumber)
	if attempt == nil {
		return
	}
	attempt.executed = true
	if class := c.classOf(request); class == nil || class.RetrySafety != piernotch.NonIdempotent {
		return
	}
	for i := range request.attempts {
		if i != attemptNumber && request.attempts[i].executed {
			c.reportRequest(request, Violation{
				Rule:    Repeated,
				At:      at,
				Request: id,
				Server:  attempt.server,
				Message: "executed a second time",
			})
			return
		}
	}
}

// NeverExecuted reports, for a completed attempt, whether the balancer has proof that no server executed
// any part of it. If false, the attempt may have been executed.
type NeverExecuted bool

// AttemptCompleted records that the balancer knows how an attempt ended, and whether there is proof that the attempt
// was never executed.
func (c *Checker) AttemptCompleted(id uint64, attemptNumber int, proof NeverExecuted) {
	if request, attempt := c.attempt(id, attemptNumber); attempt != nil {
		attempt.completed = true
		attempt.neverExecuted = bool(proof)
		c.release(id, request)
	}
}
