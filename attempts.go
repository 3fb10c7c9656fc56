package piernotch

import (
	"time"

	"piernotch/internal/decision/admission"
	"piernotch/internal/decision/lanes"
	"piernotch/internal/decision/outlier"
)

// mayStartAttempt is the guard that every attempt passes. No other function knows these rules.
func (b *Balancer) mayStartAttempt(now time.Duration, r *request, target *server) bool {
	if !r.answerable() || now >= r.Deadline || len(r.attempts) >= b.settings.Limits.MaxAttempts {
		return false
	}
	mayHedge := b.settings.Limits.HedgedRequests && r.class.RetrySafety != NonIdempotent
	if !target.available() || r.inflight > 0 && !mayHedge {
		return false
	}
	if first := r.firstMaybeExecuted(); first != nil && !r.mayRepeatOn(now, first, target) {
		return false
	}
	if !target.outlier.AllowsAttempt(now, b.outlierOptions()) {
		return false
	}
	if target.warm() {
		return !b.groups[target.locality].concurrency.Reached()
	}
	return b.slowStartAllows(now, r, target)
}

// AttemptAllowed reports whether an attempt may still be written now that it has a connection. Meanwhile its
// request may have been answered, its server be draining, or the class's deduplication window have closed.
func (b *Balancer) AttemptAllowed(now time.Duration, id RequestID, attemptNumber int) bool {
	r := b.requests.find(id)
	if r == nil || r.done || now >= r.Deadline {
		return false
	}
	started := r.findAttempt(attemptNumber)
	return started != nil && started.server.available() && r.mayWriteAttempt(now, attemptNumber)
}

// startAttempt sends the request to the server. The guard has allowed it.
func (b *Balancer) startAttempt(now time.Duration, r *request, target *server) {
	target.inflight++
	target.backlog += r.work
	target.classFailures.RecordSend(now, r.Class)
	b.sendRate.Add(now, r.work)
	if len(r.attempts) == 0 {
		b.admission.RequestForwarded(r.priority, r.work)
	}
	if target.warm() {
		b.groups[target.locality].concurrency.Started()
		b.groups[target.locality].sendRate.Add(now, r.work)
	} else {
		b.slowStart.RecordSend(now, &target.slowStart, b.slowStartLoad(now, target))
	}
	target.outlier.AttemptStarted()
	r.attemptStarted(now, target)
	b.host.StartAttempt(r.ID, target.ID, b.attemptDeadline(r)-now)
}

// endAttempt records the end of an attempt and takes it off the counts of what is in flight.
func (b *Balancer) endAttempt(r *request, outcome Outcome) *attempt {
	ended := r.attemptEnded(outcome.Attempt, outcome.Status)
	target := ended.server
	target.inflight--
	if ended.warm {
		b.groups[target.locality].concurrency.Ended()
	}
	target.backlog = max(target.backlog-r.work, 0)
	return ended
}

// attemptDeadline is when an answer is no longer worth the server's work.
func (b *Balancer) attemptDeadline(r *request) time.Duration {
	if r.class.LateWeightShare > 0 && !b.admission.Shedding() {
		return r.Deadline
	}
	return r.objective
}

// mayRetry reports whether the budget has a retry left and the request can still be in time.
func (b *Balancer) mayRetry(now time.Duration, r *request) bool {
	return b.retryBudget.Available() && now < r.objective
}

// retryOrAnswer retries a request after an attempt, or gives the final answer if none is in flight.
func (b *Balancer) retryOrAnswer(now time.Duration, r *request, status Status) {
	switch {
	case r.done:
		b.requests.releaseIfFinished(r)
	case status != Timeout && b.mayRetry(now, r) && b.dispatch(now, r):
		b.retryBudget.Spend()
	case r.inflight == 0:
		b.rejectOrFail(r)
	}
}

// hedge starts a second attempt of a request whose first is overdue, once and not while shedding.
func (b *Balancer) hedge(now time.Duration, r *request) {
	if !r.hedged && !b.admission.Shedding() && b.mayRetry(now, r) && b.dispatch(now, r) {
		r.hedged = true
		b.retryBudget.Spend()
	}
}

// recordOutcome updates what the outcome shows of the server and its group.
func (b *Balancer) recordOutcome(now time.Duration, r *request, t *attempt, o Outcome) {
	target := t.server
	target.outlier.AttemptEnded()
	if o.Status == OK || o.Status == Full || o.Status == Error {
		target.lastAnswerAt = now
	}
	recordClassOutcome(r, t, o)
	switch {
	case o.Status == Timeout && target.lastAnswerAt < t.sentAt:
		// Its server was silent, which no tick has noticed yet: late, but no reason to shed.
		b.admission.ObserveSilence(int(target.locality))
		b.recordFailure(now, target, outlier.SilentTimeout)
	case o.Status == Timeout:
		b.recordLatency(now, r, target, o.Latency)
	case o.Status == OK:
		b.workload.ObserveAnswer(r.Class, o.Latency)
		b.recordLatency(now, r, target, o.Latency)
		b.recordGoodResponse(now, target)
	case o.Status == Full:
		// A server that rejects everything must neither attract requests nor make the group look late.
		b.recordFailure(now, target, outlier.BadResponse)
		b.observeAnswer(b.admission.Step(now), admission.Answer{Locality: int(target.locality), Late: true})
	case o.Status == ConnectFailed:
		b.recordFailure(now, target, outlier.ConnectFailure)
	case o.Status == Error, o.Status == Reset:
		b.recordFailure(now, target, outlier.BadResponse)
	}
}

// recordLatency updates the latency estimates, and moves the lanes and shedding by what is late.
func (b *Balancer) recordLatency(now time.Duration, r *request, target *server, took time.Duration) {
	objective := r.class.LatencyObjective.Seconds() * 1000
	queueing := b.observeLatency(r, target, took)
	step := b.admission.Step(now)
	b.laneBalance.Observe(lanes.Answer{
		Lane: r.lane, Late: queueing > objective/2, MaxStep: step, LargeWorkShare: b.workload.LargeShare(),
	})
	if r.work < objective/4 { // a heavy request is late on an idle server, too
		b.observeAnswer(step, admission.Answer{
			Locality: int(target.locality), Late: took > r.class.LatencyObjective/2,
		})
	}
}
