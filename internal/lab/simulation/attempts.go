package simulation

import (
	"fmt"
	"math"
	"time"

	"piernotch"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/servermodel"
)

// startAttempt sends a request to the server that its balancer chose. What cannot be sent is
// completed as piernotch.NotSent.
func (w *World) startAttempt(action *Action) {
	id := uint64(action.ID)
	s, ok := w.serverByID[action.Server]
	if !ok {
		w.err = fmt.Errorf("balancer %d %w: %d", action.Balancer, errUnknownServer, action.Server)
		return
	}
	r := w.requests.Get(id)
	if r == nil || r.answered || int(r.balancer) != action.Balancer {
		// A balancer that was notified of the end in this very turn may not have known of it.
		if r == nil || r.answeredByBalancer || r.answeredAt <= w.previousTurn {
			w.checker.AttemptSent(w.now, action.Balancer, id, int(s))
		}
		w.attemptNotSent(action, r)
		return
	}
	limit := min(w.realization.Settings.Limits.MaxAttempts, maxAttempts)
	if int(r.attempts) >= limit || w.now >= r.deadline {
		w.attemptNotSent(action, r)
		return
	}
	w.checker.AttemptSent(w.now, action.Balancer, id, int(s))
	attemptID, a := w.newAttempt(id, r, s)
	timeout := r.deadline - w.now
	if action.Delay != 0 {
		timeout = min(timeout, max(action.Delay, 0))
	}
	w.events.plan(w.now+timeout, priorityTimeout, eventAttemptTimeout, attemptID, 0)
	w.connect(&w.balancers[action.Balancer], attemptID, a)
}

// newAttempt adds an attempt of a request to server s, with its network delay and its work.
func (w *World) newAttempt(id uint64, r *request, s int32) (uint64, *attempt) {
	balancer := &w.balancers[r.balancer]
	client := w.clientOf(r)
	w.lastAttempt++
	attemptID := w.lastAttempt
	n := int(r.attempts)
	r.attemptIDs[n] = attemptID
	r.attempts++
	r.inflight++
	a := w.attempts.Put(attemptID)
	*a = attempt{
		request:   id,
		randomKey: mix(mix(client.randomKey+uint64(r.retry)) + uint64(n) + 77),
		balancer:  r.balancer,
		server:    s,
		epoch:     balancer.epoch,
		number:    int8(n),
		sentAt:    w.now,
	}
	zone := w.servers[s].spec.Zone
	a.delay = w.networkDelay(w.realization.Delay[balancer.zone][zone], a.randomKey, concernDelay)
	a.work = client.work
	if cv := w.realization.Classes[client.class].AttemptCV; cv > 0 {
		sigma := math.Sqrt(math.Log1p(cv * cv))
		a.work *= math.Exp(sigma*w.randFor(a.randomKey, concernWork).NormFloat64() - sigma*sigma/2)
	}
	w.counters.attemptStarted(n, balancer.zone != zone)
	return attemptID, a
}

// clientOf returns what the client of a request wants, or departedClient if the client is gone and
// the balancer was not notified of it.
func (w *World) clientOf(r *request) *clientRequest {
	if client := w.clientRequests.Get(r.client); client != nil {
		return client
	}
	return &departedClient
}

// attemptNotSent notifies a balancer that an attempt was not sent; r is nil for an unknown request.
func (w *World) attemptNotSent(action *Action, r *request) {
	n := 0
	if r != nil {
		n = int(r.attempts)
	}
	w.counters.Outcomes[piernotch.NotSent]++
	w.notify(action.Balancer, Event{Kind: EventAttemptCompleted, Outcome: piernotch.Outcome{
		ID: action.ID, Attempt: n, Server: action.Server, Status: piernotch.NotSent, Closed: r == nil || r.answered,
	}})
}

// attemptArrives brings an attempt to its server.
func (w *World) attemptArrives(attemptID uint64) {
	a := w.attempts.Get(attemptID)
	if a == nil {
		return
	}
	a.inTransit = false
	if a.completed { // cancelled before it was written
		w.releaseAttempt(attemptID, a)
		return
	}
	r := w.requests.Get(a.request)
	if r == nil {
		return
	}
	w.admitAttempt(attemptID, a, w.arriveAtServer(attemptID, a, r))
}

// arriveAtServer hands an attempt to the model of its server, which may collapse under it.
func (w *World) arriveAtServer(attemptID uint64, a *attempt, r *request) servermodel.Admission {
	server := &w.servers[a.server]
	if a.newConnection {
		server.Charge(w.now, server.spec.Kind.Conn.Handshake)
	}
	slowStart := server.InSlowStart(w.now)
	if slowStart {
		w.checker.SlowStartWork(w.now, int(a.balancer), int(a.server), server.Started(), a.work)
	}
	admission, lost := server.Arrive(w.now, servermodel.Job{
		ID: attemptID, Work: a.work, Key: w.clientOf(r).key, Expires: r.deadline, ErrorDraw: w.randFor(a.randomKey, concernError).Float64(),
	})
	if server.State() == servermodel.Collapsed && slowStart {
		w.checker.ServerCollapsed(w.now, int(a.server))
		w.counters.Collapses++
		w.serverCompleted(a.server, lost)
		w.dropConnections(int(a.server))
	}
	return admission
}

// admitAttempt follows up on what a server made of an attempt on arrival.
func (w *World) admitAttempt(attemptID uint64, a *attempt, admission servermodel.Admission) {
	switch admission {
	case servermodel.Accepted:
		a.held = true
		w.counters.enter(w)
		a.arrivesAt = w.now
		w.checker.AttemptAccepted(a.request, int(a.number))
		w.scheduleServer(int(a.server))
	case servermodel.Rejected:
		w.counters.RejectedByServer++
		a.load, a.hasLoad = w.servers[a.server].Report(w.now, w.reportDelay)
		w.planOutcome(attemptID, a, piernotch.Full, w.now+a.delay)
	case servermodel.Refused:
		status := piernotch.ConnectFailed
		if !a.newConnection { // it was written to a connection that is closed
			status = piernotch.Reset
		}
		w.planOutcome(attemptID, a, status, w.now+a.delay)
	case servermodel.NoResponse:
		if a.newConnection {
			w.planOutcome(attemptID, a, piernotch.ConnectFailed, max(a.sentAt+w.realization.Rules.DialTimeout, w.now))
		}
	}
}

// planOutcome has an attempt's balancer learn its outcome at a time, unless another one is planned.
func (w *World) planOutcome(attemptID uint64, a *attempt, status piernotch.Status, at time.Duration) {
	if a.outcomeSent || a.completed {
		return
	}
	a.outcomeSent = true
	a.status = status
	w.events.plan(at, priorityMessage, eventOutcomeArrives, attemptID, 0)
}

// outcomeArrives brings an outcome to the balancer.
func (w *World) outcomeArrives(attemptID uint64) {
	a := w.attempts.Get(attemptID)
	if a == nil {
		return
	}
	a.outcomeSent = false
	if a.completed { // too late
		w.releaseAttempt(attemptID, a)
		return
	}
	w.completeAttempt(attemptID, a, a.status)
}

// attemptTimesOut ends an attempt at its timeout.
func (w *World) attemptTimesOut(attemptID uint64) {
	a := w.attempts.Get(attemptID)
	if a == nil || a.completed {
		return
	}
	status := piernotch.Timeout
	connecting := a.newConnection && w.now < a.arrivesAt-a.delay
	if connecting {
		status = piernotch.ConnectFailed
	}
	w.completeAttempt(attemptID, a, status)
}

// cancelAttempt ends an attempt at its balancer's wish.
func (w *World) cancelAttempt(action *Action) {
	r := w.requests.Get(uint64(action.ID))
	if r == nil || action.Attempt < 0 || action.Attempt >= int(r.attempts) {
		return
	}
	attemptID := r.attemptIDs[action.Attempt]
	if a := w.attempts.Get(attemptID); a != nil && !a.completed {
		w.completeAttempt(attemptID, a, piernotch.Cancelled)
	}
}

// completeAttempt ends an attempt for its balancer and notifies the balancer.
func (w *World) completeAttempt(attemptID uint64, a *attempt, status piernotch.Status) {
	a.completed = true
	a.status = status
	w.returnConnection(&w.balancers[a.balancer], a, status)
	w.checker.AttemptCompleted(a.request, int(a.number), status.NeverExecuted())
	if r := w.requests.Get(a.request); r != nil {
		r.inflight--
		if status == piernotch.OK && !r.answered {
			w.counters.ServedWork += a.workDone
			w.answer(a.request, r, invariants.Served)
		}
		w.notifyOutcome(a, r, status)
		w.releaseRequest(a.request)
	}
	w.counters.Outcomes[status]++
	if status == piernotch.Timeout || status == piernotch.Cancelled {
		w.events.plan(w.now+a.delay, priorityMessage, eventCancelArrives, attemptID, 0)
		return
	}
	w.releaseAttempt(attemptID, a)
}

// notifyOutcome notifies a balancer of an attempt's end, if the process that sent it still runs.
func (w *World) notifyOutcome(a *attempt, r *request, status piernotch.Status) {
	balancer := &w.balancers[a.balancer]
	if !balancer.up || a.epoch != balancer.epoch {
		return
	}
	e := Event{Kind: EventAttemptCompleted, Outcome: piernotch.Outcome{
		ID: piernotch.RequestID(a.request), Attempt: int(a.number), Server: w.servers[a.server].id, Status: status,
		Latency: w.now - a.sentAt, Closed: r.answered,
	}}
	if responded(status) {
		e.Load, e.HasLoad = a.load, a.hasLoad
	}
	w.notify(int(a.balancer), e)
}

// cancelArrives brings the end of a wait to the server.
func (w *World) cancelArrives(attemptID uint64) {
	a := w.attempts.Get(attemptID)
	if a == nil {
		return
	}
	if a.held {
		removed, begun, workDone := w.servers[a.server].Cancel(w.now, attemptID)
		if begun {
			w.checker.AttemptExecuted(w.now, a.request, int(a.number))
		}
		if removed {
			w.counters.exit(w, a)
			a.held = false
			a.workDone = workDone
		}
		w.scheduleServer(int(a.server))
	}
	w.releaseAttempt(attemptID, a)
}

// releaseAttempt deletes an attempt once neither side has it any more.
func (w *World) releaseAttempt(attemptID uint64, a *attempt) {
	if a.completed && !a.held && !a.outcomeSent && !a.inTransit {
		w.attempts.Delete(attemptID)
	}
}
