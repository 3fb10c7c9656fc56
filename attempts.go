package piernotch

import (
	"math"
	"time"
)

// mayStartAttempt is the guard: every send passes it, and it alone knows the rules.
func (b *Balancer) mayStartAttempt(now time.Duration, r *request, to *backend) bool {
	if r.done || r.streaming || now >= r.Deadline || len(r.attempts) >= b.settings.Limits.MaxAttempts {
		return false
	}
	// Draining and gone backends get nothing from the moment this proxy knows.
	if !to.available() || r.inflight > 0 && (!b.settings.Limits.HedgedRequests || r.class.RetrySafety == NonIdempotent) {
		return false
	}
	if first := r.firstMaybeExecuted(); first != nil && !r.mayRepeatOn(now, first, to) {
		return false
	}
	if to.ejections > 0 && (to.trialInflight || !b.trialDue(now, to)) {
		return false
	}
	if to.slowStartSince < 0 {
		return !b.groups[to.locality].atInflightLimit()
	}
	// A cold backend is paced by itself, whatever the state of the others. Many
	// proxies at once sending it one heavy request each would push it over, and so
	// would those of other zones, which it does not need if it has proxies of its own.
	if r.work > b.meanWork || to.locality == 1 && len(b.groups[0].members) > 0 && !b.zonesWithoutBalancer() {
		return false
	}
	// One request at a time, so that it is never sent more than it gets done.
	return now >= to.nextSlowStartSend && to.inflight == 0 && (b.slowStartWindow == 0 || b.winsSlowStartDraw(now, to))
}

// AttemptAllowed tells whether an attempt may still be written now that it has a connection: meanwhile
// its request may have been answered, its backend told to leave, its window for repeats have closed.
func (b *Balancer) AttemptAllowed(now time.Duration, id RequestID, try int) bool {
	r := b.requests[id]
	if r == nil || r.done || try < 0 || try >= len(r.attempts) || now >= r.Deadline {
		return false
	}
	for i := range r.attempts { // the others, later ones too: what waited for long is the repeat
		if t := &r.attempts[i]; i != try && t.mayHaveExecuted() && !r.mayRepeatOn(now, t, r.attempts[try].backend) {
			return false
		}
	}
	return r.attempts[try].backend.available()
}

// firstMaybeExecuted is the first attempt that may have run, or nil.
func (r *request) firstMaybeExecuted() *attempt {
	for i := range r.attempts {
		if t := &r.attempts[i]; t.mayHaveExecuted() {
			return t
		}
	}
	return nil
}

// mayRepeatOn tells whether a request that may have run may also go to another. A repeat has to be
// there within the window; half of the quickest answer from there is time enough for the way.
func (r *request) mayRepeatOn(now time.Duration, first *attempt, to *backend) bool {
	way := time.Duration(to.path.fastestAnswer / 2 * float64(time.Millisecond))
	switch {
	case r.class.RetrySafety == Idempotent:
		return true
	case r.class.RetrySafety == NonIdempotent, now+way > first.sentAt+r.class.DedupWindow:
		return false
	case r.class.DedupScope == DedupInZone:
		return to.Zone == first.backend.Zone
	case r.class.DedupScope == DedupInCell:
		return to.Cell == first.backend.Cell
	}
	return true
}

func (b *Balancer) startAttempt(now time.Duration, r *request, to *backend) {
	to.inflight++
	to.backlog += r.work
	to.lastSentAt[r.Class] = now
	b.sendRate.add(now, r.work)
	if len(r.attempts) == 0 {
		b.priorities[r.priority].forwarded += r.work
	}
	warm := to.slowStartSince < 0
	if warm {
		b.groups[to.locality].inflight++
		b.groups[to.locality].sendRate.add(now, r.work)
	} else {
		to.nextSlowStartSend = max(to.nextSlowStartSend, now) + b.slowStartPause(now, to)
	}
	to.trialInflight = to.trialInflight || to.ejections > 0
	r.attempts = append(r.attempts, attempt{backend: to, sentAt: now, warm: warm})
	r.inflight++
	b.host.StartAttempt(r.ID, to.ID, b.attemptDeadline(r)-now)
}

// attemptDeadline is when an answer stops being worth the backend's work.
func (b *Balancer) attemptDeadline(r *request) time.Duration {
	if r.class.LateWeightShare > 0 && b.shedShare == 0 {
		return r.Deadline
	}
	return r.objective
}

// recordOutcome takes what an outcome says of the backend and of its group.
func (b *Balancer) recordOutcome(now time.Duration, r *request, t *attempt, o Outcome) {
	to := t.backend
	to.trialInflight = false
	if o.Status == OK || o.Status == Full || o.Status == Error {
		to.lastAnswerAt = now
	}
	late := o.Status == Timeout || o.Status == Cancelled && o.Latency > r.class.LatencyObjective/2
	if late && to.lastAnswerAt >= t.sentAt || o.Status == OK || o.Status == Error {
		to.failureShare[r.Class] += backendSmoothing * (indicator(o.Status != OK) - to.failureShare[r.Class])
	}
	switch {
	case o.Status == Timeout && to.lastAnswerAt < t.sentAt:
		// The attempt timed out before the sweep noticed the silence, which is the
		// backend's own: it counts as late, but is no reason to shed.
		g := &b.groups[to.locality]
		g.lateShare += groupSmoothing * (1 - g.lateShare)
		b.recordFailure(now, to, 2)
	case o.Status == Timeout:
		b.recordLatency(now, r, to, o.Latency)
	case o.Status == OK:
		b.learnWorkWithoutHint(r.Class, o.Latency)
		b.recordLatency(now, r, to, o.Latency)
		b.endEjection(now, to)
	case o.Status == Full:
		// It says nothing of how long others take: one that turns all away at once must
		// neither draw requests by being idle nor pass for a fleet that is late.
		b.recordFailure(now, to, 3)
		b.adjustShedding(b.shedStep(now), to.locality, 1)
	case o.Status == ConnectFailed, o.Status == Error, o.Status == Reset:
		to.connectFailures += indicator(o.Status == ConnectFailed)
		b.recordFailure(now, to, 3) // a backend that lives has one now and then
	}
}

// recordLatency keeps the latencies that round robin and shedding go by.
// They are taken beyond the request's own work, so that lanes compare.
func (b *Balancer) recordLatency(now time.Duration, r *request, to *backend, took time.Duration) {
	ms := took.Seconds() * 1000
	aim := r.class.LatencyObjective.Seconds() * 1000
	wait := min(max(ms-r.work, 0), aim)
	typical := max(ms-r.work, -b.meanWork/2) + b.meanWork
	g := &b.groups[to.locality]
	if g.latency == 0 {
		g.latency, g.queueingMean, g.queueingDeviation = typical, wait, wait/2
	}
	if to.latency == 0 {
		to.latency = g.latency
	}
	if to.path.answerCount == 0 || ms < to.path.fastestAnswer {
		to.path.fastestAnswer = ms
	}
	to.path.answerCount++
	to.latency += backendSmoothing * (typical - to.latency)
	b.latencyPerWork = followRatio(b.latencyPerWork, ms, r.work, groupSmoothing*r.work/b.meanWork)
	to.latencyPerWork = followRatio(to.latencyPerWork, ms, r.work, backendSmoothing*r.work/b.meanWork)
	g.latency += groupSmoothing * (typical - g.latency)
	g.queueingDeviation += groupSmoothing * (math.Abs(wait-g.queueingMean) - g.queueingDeviation)
	g.queueingMean += groupSmoothing * (wait - g.queueingMean)
	pace := b.shedStep(now)
	b.balanceLanes(pace, r.lane, indicator(wait > aim/2))
	if r.work < aim/4 { // a heavy request is late on an idle server, too
		b.adjustShedding(pace, to.locality, indicator(took > r.class.LatencyObjective/2))
	}
}
