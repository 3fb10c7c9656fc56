package simulation

import (
	"math"
	"time"

	"piernotch"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/scenario"
)

// overdueAfter is when a balancer that has not answered is notified that nobody waits any more. The
// rule is broken long before.
const overdueAfter = time.Second

// sendRequest has a client send its request, for the first time or again.
func (w *World) sendRequest(clientID uint64) {
	client := w.clientRequests.Get(clientID)
	if client == nil {
		return
	}
	w.lastRequest++
	id := w.lastRequest
	n := client.sends
	client.sends++
	class := &w.realization.Classes[client.class]
	wait := time.Duration(float64(class.Deadline) * w.realization.Clients.AttemptTimeoutShare).Round(time.Microsecond)
	key := mix(client.randomKey + uint64(n))
	r := w.requests.Put(id)
	*r = request{client: clientID, retry: int8(min(n, 100)), deadline: min(w.now+wait, client.deadline)}
	w.counters.Requests++
	balancer := w.chooseBalancer(client.zone, key)
	delay := w.networkDelay(w.realization.ClientDelay, key, concernClientDelay)
	r.balancer = int32(balancer)
	if balancer < 0 {
		w.events.plan(w.now+2*delay, priorityMessage, eventUnreachable, id, 0)
		return
	}
	w.events.plan(w.now+delay, priorityArrival, eventRequestArrives, id, 0)
	w.events.plan(r.deadline, priorityTimeout, eventRequestDeadline, id, 0)
	if client.patienceDraw < w.realization.Clients.EarlyDisconnectShare {
		part := w.randFor(key, concernLeave).Float64()
		leaves := w.now + time.Duration(part*float64(r.deadline-w.now))
		w.events.plan(leaves, priorityTimeout, eventClientLeaves, id, 0)
	}
}

// chooseBalancer is the load balancing in front of the balancers: one of the zone's instances by
// chance, or of any zone where it has none. It returns -1 if there is none at all.
func (w *World) chooseBalancer(zone int, key uint64) int {
	list := w.admittedByZone[zone]
	u := w.randFor(key, concernBalancer).Float64()
	if len(list) > 0 {
		return list[int(u*float64(len(list)))]
	}
	total := 0
	for _, l := range w.admittedByZone {
		total += len(l)
	}
	if total == 0 {
		return -1
	}
	at := int(u * float64(total))
	for _, l := range w.admittedByZone {
		if at < len(l) {
			return l[at]
		}
		at -= len(l)
	}
	return -1 // not reached: at is below the total
}

// requestArrives brings a request to its balancer.
func (w *World) requestArrives(id uint64) {
	r := w.requests.Get(id)
	if r == nil {
		return
	}
	client := w.clientRequests.Get(r.client)
	if !w.balancers[r.balancer].up || client == nil {
		w.events.plan(w.now+w.realization.ClientDelay, priorityMessage, eventUnreachable, id, 0)
		return
	}
	r.received = true
	w.checker.RequestReceived(w.now, int(r.balancer), id, client.class, r.deadline)
	w.notify(int(r.balancer), Event{
		Kind:  EventRequest,
		Retry: r.retry > 0 && w.realization.Clients.MarksRetry,
		Request: piernotch.Request{
			ID: piernotch.RequestID(id), Class: client.class, Key: client.key, Deadline: r.deadline, CostHint: client.costHint,
		},
	})
}

// finalAnswer takes a balancer's rejection or failure of a request. One for a request that is over
// is ignored.
func (w *World) finalAnswer(action *Action, answer invariants.Result) {
	r := w.requests.Get(uint64(action.ID))
	if r == nil || r.answered || int(r.balancer) != action.Balancer {
		return
	}
	r.retryAfter = action.Delay
	r.answeredByBalancer = true
	w.answer(uint64(action.ID), r, answer)
}

// answer sends a final answer on its way to the client.
func (w *World) answer(id uint64, r *request, answer invariants.Result) {
	w.checker.RequestAnswered(w.now, id, answer)
	r.answered = true
	r.answeredAt = w.now
	r.answer = answer
	delay := w.networkDelay(w.realization.ClientDelay, mix(id), concernClientDelay)
	w.events.plan(w.now+delay, priorityMessage, eventAnswerArrives, id, 0)
}

// answerArrives brings a final answer to the client.
func (w *World) answerArrives(id uint64) {
	r := w.requests.Get(id)
	if r == nil || r.clientDone {
		return
	}
	r.clientDone = true
	w.clientDecides(r, r.answer, r.balancerKilled)
	w.releaseRequest(id)
}

// unreachable has a client find that no balancer receives its request.
func (w *World) unreachable(id uint64) {
	r := w.requests.Get(id)
	if r == nil || r.clientDone {
		return
	}
	r.answered = true
	r.answeredAt = w.now
	r.clientDone = true
	r.expired = r.expired || r.balancer < 0
	w.counters.Unreachable++
	w.clientDecides(r, invariants.Failed, true)
	w.releaseRequest(id)
}

// requestExpires ends a client's wait for one request.
func (w *World) requestExpires(id uint64) {
	r := w.requests.Get(id)
	if r == nil {
		return
	}
	r.expired = true
	if r.received && !r.answered {
		w.events.plan(w.now+overdueAfter, priorityTimeout, eventAnswerOverdue, id, 0)
	}
	if !r.clientDone {
		r.clientDone = true
		w.counters.TimedOut++
		w.clientDecides(r, invariants.Failed, false)
	}
	w.releaseRequest(id)
}

// answerOverdue gives up on a balancer that has not answered.
func (w *World) answerOverdue(id uint64) {
	r := w.requests.Get(id)
	if r == nil || r.answered {
		return
	}
	w.checker.CheckOverdue(w.now)
	r.answered = true
	r.answeredAt = w.now
	w.notify(int(r.balancer), Event{Kind: EventClientGone, ID: piernotch.RequestID(id)})
	w.releaseRequest(id)
}

// clientLeaves has a client close its connection before its deadline.
func (w *World) clientLeaves(id uint64) {
	r := w.requests.Get(id)
	if r == nil || r.clientDone || r.answered || !r.received {
		return
	}
	r.clientDone = true
	r.answered = true
	r.answeredAt = w.now
	w.counters.Left++
	w.checker.RequestExcused(w.now, id)
	w.notify(int(r.balancer), Event{Kind: EventClientGone, ID: piernotch.RequestID(id)})
	w.finishClientRequest(r.client, false)
	w.releaseRequest(id)
}

// clientDecides has a client act on how a request ended: it is done, retries after a backoff, or
// gives up.
func (w *World) clientDecides(r *request, answer invariants.Result, unreached bool) {
	clientID := r.client
	client := w.clientRequests.Get(clientID)
	if client == nil {
		return
	}
	if answer == invariants.Served {
		w.finishClientRequest(clientID, true)
		return
	}
	w.counters.goodput.SendingUnserved(client.firstSent, answer == invariants.Rejected)
	neverExecuted := answer == invariants.Rejected || unreached
	retryable := neverExecuted || w.mayRepeat(client, &w.realization.Classes[client.class])
	if !retryable || client.sends > client.maxRetries {
		w.finishClientRequest(clientID, false)
		return
	}
	backoff := w.backoff(client, r.retryAfter)
	if w.now+backoff >= client.deadline {
		w.finishClientRequest(clientID, false)
		return
	}
	w.events.plan(w.now+backoff, priorityArrival, eventClientRetry, clientID, 0)
}

// mayRepeat reports whether a client may repeat what may have been executed.
func (w *World) mayRepeat(client *clientRequest, class *scenario.DrawnClass) bool {
	switch class.RetrySafety {
	case piernotch.Idempotent:
		return true
	case piernotch.IdempotencyKey:
		return class.DedupScope == piernotch.DedupEverywhere && w.now < client.firstSent+class.DedupWindow
	}
	return false
}

// backoff is how long a client waits before its next retry, in whole microseconds: exponential with
// jitter, and not below the Retry-After that it honours.
func (w *World) backoff(client *clientRequest, retryAfter time.Duration) time.Duration {
	random := w.randFor(mix(client.randomKey+uint64(client.sends)), concernBackoff)
	wait := time.Duration(float64(w.realization.Clients.Backoff) * math.Exp2(float64(client.sends-1)) * (0.5 + random.Float64()))
	advised := retryAfter > 0 && w.realization.Settings.Limits.RetryAfter
	if advised && random.Float64() < w.realization.Clients.RetryAfterShare {
		wait = max(wait, min(retryAfter, w.realization.Settings.Limits.MaxRetryAfter))
	}
	return wait / time.Microsecond * time.Microsecond
}

// finishClientRequest ends what a client wanted, unless it has ended already.
func (w *World) finishClientRequest(id uint64, served bool) {
	if client := w.clientRequests.Get(id); client != nil {
		w.counters.finish(w, client, served)
		w.clientRequests.Delete(id)
	}
}

// releaseRequest deletes a request once client, balancer and servers are done with it.
func (w *World) releaseRequest(id uint64) {
	r := w.requests.Get(id)
	if r != nil && r.clientDone && r.answered && r.expired && r.inflight == 0 {
		w.requests.Delete(id)
	}
}
