package simulation

import (
	"fmt"
	"math"
	"time"

	"piernotch"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/servermodel"
)

// startAttempt sends an attempt to the server that the balancer chose, or completes the attempt as
// piernotch.NotSent if the request is over, out of time or out of attempts. An unknown server ends the run.
func (w *World) startAttempt(action *Action) {
	id := uint64(action.ID)
	server, known := w.serverByID[action.Server]
	if !known {
		w.err = fmt.Errorf("balancer %d %w: %d", action.Balancer, errUnknownServer, action.Server)
		return
	}
	request := w.requests.Get(id)
	pending := request != nil && !request.responded && request.balancer == balancerIndex(action.Balancer)
	if !pending {
		// A balancer that did not respond itself may not yet know that the request has ended since the
		// previous turn. An attempt after an end that the balancer knows of is a violation.
		knewOfEnd := request == nil || request.respondedByBalancer || request.respondedAt <= w.previousTurn
		if knewOfEnd {
			w.checker.AttemptSent(w.sentAttempt(action, server))
		}
		w.attemptNotSent(action, request)
		return
	}
	limit := min(w.realization.Settings.Limits.MaxAttempts, maxAttempts)
	tooMany := int(request.attempts) >= limit
	tooLate := w.now >= request.deadline
	if tooMany || tooLate {
		w.attemptNotSent(action, request)
		return
	}
	w.checker.AttemptSent(w.sentAttempt(action, server))
	attemptID, attempt := w.newAttempt(id, request, server)
	timeout := request.deadline - w.now
	if action.Delay != 0 {
		timeout = min(timeout, max(action.Delay, 0))
	}
	w.events.schedule(w.now+timeout, eventAttemptTimeout, attemptID)
	w.connect(&w.balancers[action.Balancer], attemptID, attempt)
}

func (w *World) sentAttempt(action *Action, server serverIndex) invariants.SentAttempt {
	return invariants.SentAttempt{
		At:       w.now,
		Balancer: balancerIndex(action.Balancer),
		Request:  uint64(action.ID),
		Server:   server,
	}
}

// newAttempt adds and counts an attempt of a request to a server, and draws the network delay and the work.
func (w *World) newAttempt(
	requestID uint64,
	request *requestState,
	server serverIndex,
) (attemptID uint64, attempt *attemptState) {
	balancer := &w.balancers[request.balancer]
	client := w.clientOf(request)
	w.lastAttempt++
	attemptID = w.lastAttempt
	attemptNumber := int(request.attempts)
	request.attemptIDs[attemptNumber] = attemptID
	request.attempts++
	request.inflight++
	attempt = w.attempts.Put(attemptID)
	*attempt = attemptState{
		request:   requestID,
		randomKey: mix(mix(client.randomKey+uint64(request.retry)) + uint64(attemptNumber) + saltAttempt),
		balancer:  request.balancer,
		server:    server,
		epoch:     balancer.epoch,
		number:    int8(attemptNumber),
		sentAt:    w.now,
	}
	zone := w.servers[server].spec.Zone
	attempt.delay = w.networkDelay(w.realization.Delay[balancer.zone][zone], attempt.randomKey, concernDelay)
	attempt.work = client.work
	if cv := w.realization.Classes[client.class].AttemptCV; cv > 0 {
		sigma := math.Sqrt(math.Log1p(cv * cv))
		attempt.work *= math.Exp(sigma*w.randFor(attempt.randomKey, concernWork).NormFloat64() - sigma*sigma/2)
	}
	w.counters.attemptStarted(attemptNumber, balancer.zone != zone)
	return attemptID, attempt
}

// clientOf returns the clientRequest of a request, or departedClient if the client has already finished.
func (w *World) clientOf(request *requestState) *clientRequest {
	if client := w.clientRequests.Get(request.client); client != nil {
		return client
	}
	return &departedClient
}

// attemptNotSent counts an attempt that was not sent and notifies its balancer; request is nil if unknown.
func (w *World) attemptNotSent(action *Action, request *requestState) {
	attemptNumber := 0
	if request != nil {
		attemptNumber = int(request.attempts)
	}
	w.counters.Outcomes[piernotch.NotSent]++
	w.notify(balancerIndex(action.Balancer), Event{Kind: EventAttemptCompleted, Outcome: piernotch.Outcome{
		ID:          action.ID,
		Attempt:     attemptNumber,
		Server:      action.Server,
		Status:      piernotch.NotSent,
		RequestDone: request == nil || request.responded,
	}})
}

// attemptArrives hands an attempt to its server, unless the attempt was completed on the way.
func (w *World) attemptArrives(attemptID uint64) {
	attempt := w.attempts.Get(attemptID)
	if attempt == nil {
		return
	}
	attempt.inTransit = false
	if attempt.completed { // timed out or cancelled on the way, or the balancer was killed
		w.releaseAttempt(attemptID, attempt)
		return
	}
	request := w.requests.Get(attempt.request)
	if request == nil {
		return
	}
	w.admitAttempt(attemptID, attempt, w.arriveAtServer(attemptID, attempt, request))
}

// arriveAtServer hands an attempt to the model of its server, after the handshake of a new connection. A server
// that collapses drops its jobs and connections.
func (w *World) arriveAtServer(attemptID uint64, attempt *attemptState, request *requestState) servermodel.Admission {
	server := &w.servers[attempt.server]
	if attempt.newConnection {
		server.Charge(w.now, server.spec.Kind.Conn.Handshake)
	}
	slowStart := server.InSlowStart(w.now)
	if slowStart {
		w.checker.SlowStartWork(invariants.SlowStartArrival{
			At:        w.now,
			Balancer:  attempt.balancer,
			Server:    attempt.server,
			StartedAt: server.Started(),
			Work:      attempt.work,
		})
	}
	admission, lost := server.Arrive(w.now, servermodel.Job{
		ID:        attemptID,
		Work:      attempt.work,
		Key:       w.clientOf(request).key,
		Expires:   request.deadline,
		ErrorDraw: w.randFor(attempt.randomKey, concernError).Float64(),
	})
	if server.State() == servermodel.Collapsed && slowStart {
		w.checker.ServerCollapsed(w.now, attempt.server)
		w.counters.Collapses++
		w.serverCompleted(attempt.server, lost)
		w.dropConnections(attempt.server)
	}
	return admission
}

// admitAttempt processes a server's admission decision. If the server does not respond, an attempt on a new
// connection fails at the dial timeout; other attempts wait for their own timeout.
func (w *World) admitAttempt(attemptID uint64, attempt *attemptState, admission servermodel.Admission) {
	switch admission {
	case servermodel.Accepted:
		attempt.atServer = true
		w.counters.enter(w)
		attempt.arrivesAt = w.now
		w.checker.AttemptAccepted(attempt.request, int(attempt.number))
		w.scheduleServer(attempt.server)
	case servermodel.Rejected:
		w.counters.RejectedByServer++
		attempt.load, attempt.hasLoad = w.servers[attempt.server].Report(w.now, w.reportDelay)
		w.scheduleOutcome(attemptID, attempt, piernotch.Full, w.now+attempt.delay)
	case servermodel.Refused:
		status := piernotch.ConnectFailed
		if !attempt.newConnection { // written to a connection that the server has closed
			status = piernotch.Reset
		}
		w.scheduleOutcome(attemptID, attempt, status, w.now+attempt.delay)
	case servermodel.NoResponse:
		if attempt.newConnection {
			w.scheduleOutcome(
				attemptID,
				attempt,
				piernotch.ConnectFailed,
				max(attempt.sentAt+w.realization.Rules.DialTimeout, w.now),
			)
		}
	}
}

// scheduleOutcome schedules the arrival of an attempt's outcome at the balancer, unless the attempt already has
// an outcome.
func (w *World) scheduleOutcome(attemptID uint64, attempt *attemptState, status piernotch.Status, at time.Duration) {
	if attempt.outcomeSent || attempt.completed {
		return
	}
	attempt.outcomeSent = true
	attempt.status = status
	w.events.schedule(at, eventOutcomeArrives, attemptID)
}

// outcomeArrives completes an attempt with the outcome that has reached its balancer.
func (w *World) outcomeArrives(attemptID uint64) {
	attempt := w.attempts.Get(attemptID)
	if attempt == nil {
		return
	}
	attempt.outcomeSent = false
	if attempt.completed { // the outcome is too late
		w.releaseAttempt(attemptID, attempt)
		return
	}
	w.completeAttempt(attemptID, attempt, attempt.status)
}

// attemptTimesOut completes an attempt at its timeout: as ConnectFailed while connecting, otherwise as Timeout.
func (w *World) attemptTimesOut(attemptID uint64) {
	attempt := w.attempts.Get(attemptID)
	if attempt == nil || attempt.completed {
		return
	}
	status := piernotch.Timeout
	connecting := attempt.newConnection && w.now < attempt.arrivesAt-attempt.delay
	if connecting {
		status = piernotch.ConnectFailed
	}
	w.completeAttempt(attemptID, attempt, status)
}

// cancelAttempt completes an open attempt that its balancer cancels.
func (w *World) cancelAttempt(action *Action) {
	request := w.requests.Get(uint64(action.ID))
	if request == nil || action.Attempt < 0 || action.Attempt >= int(request.attempts) {
		return
	}
	attemptID := request.attemptIDs[action.Attempt]
	if attempt := w.attempts.Get(attemptID); attempt != nil && !attempt.completed {
		w.completeAttempt(attemptID, attempt, piernotch.Cancelled)
	}
}

// completeAttempt ends an attempt for its balancer: it counts the outcome, returns or closes the connection,
// responds to the client after a success, and notifies the balancer. After a timeout or a cancellation it also
// notifies the server.
func (w *World) completeAttempt(attemptID uint64, attempt *attemptState, status piernotch.Status) {
	attempt.completed = true
	attempt.status = status
	w.returnConnection(&w.balancers[attempt.balancer], attempt, status)
	w.checker.AttemptCompleted(attempt.request, int(attempt.number), invariants.NeverExecuted(status.NeverExecuted()))
	if request := w.requests.Get(attempt.request); request != nil {
		request.inflight--
		if status == piernotch.OK && !request.responded {
			w.counters.ServedWork += attempt.workDone
			w.respondToClient(attempt.request, request, invariants.Served)
		}
		w.notifyOutcome(attempt, request, status)
		w.releaseRequest(attempt.request)
	}
	w.counters.Outcomes[status]++
	if status == piernotch.Timeout || status == piernotch.Cancelled {
		w.events.schedule(w.now+attempt.delay, eventCancelArrives, attemptID)
		return
	}
	w.releaseAttempt(attemptID, attempt)
}

// notifyOutcome notifies a balancer of an attempt's outcome, if the process that sent the attempt still runs.
func (w *World) notifyOutcome(attempt *attemptState, request *requestState, status piernotch.Status) {
	balancer := &w.balancers[attempt.balancer]
	if !balancer.up || attempt.epoch != balancer.epoch {
		return
	}
	event := Event{Kind: EventAttemptCompleted, Outcome: piernotch.Outcome{
		ID:          piernotch.RequestID(attempt.request),
		Attempt:     int(attempt.number),
		Server:      w.servers[attempt.server].id,
		Status:      status,
		Latency:     w.now - attempt.sentAt,
		RequestDone: request.responded,
	}}
	if responded(status) {
		event.Load, event.HasLoad = attempt.load, attempt.hasLoad
	}
	w.notify(attempt.balancer, event)
}

func (w *World) cancelArrives(attemptID uint64) {
	attempt := w.attempts.Get(attemptID)
	if attempt == nil {
		return
	}
	if attempt.atServer {
		removed, begun, workDone := w.servers[attempt.server].Cancel(w.now, attemptID)
		if begun {
			w.checker.AttemptExecuted(w.now, attempt.request, int(attempt.number))
		}
		if removed {
			w.counters.exit(w, attempt)
			attempt.atServer = false
			attempt.workDone = workDone
		}
		w.scheduleServer(attempt.server)
	}
	w.releaseAttempt(attemptID, attempt)
}

// releaseAttempt deletes a completed attempt that is neither at its server nor on the way there or back.
func (w *World) releaseAttempt(attemptID uint64, attempt *attemptState) {
	if attempt.completed && !attempt.atServer && !attempt.outcomeSent && !attempt.inTransit {
		w.attempts.Delete(attemptID)
	}
}
