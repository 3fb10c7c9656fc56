package simulation

import (
	"math"
	"time"

	"piernotch"
	"piernotch/internal/lab/goodput"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/scenario"
)

// responseGrace is how long after the deadline a balancer that has not responded is notified that the client is
// gone. By then the checker has counted a violation, unless the response slack is longer.
const responseGrace = time.Second

// reachedBalancer tells whether a balancer may have received a request. If not, a retry is safe.
type reachedBalancer bool

const (
	balancerReached   reachedBalancer = true
	balancerUnreached reachedBalancer = false
)

// sendRequest sends a client's request, for the first time or as a retry, and schedules the deadline and a
// possible early disconnect.
func (w *World) sendRequest(clientID uint64) {
	client := w.clientRequests.Get(clientID)
	if client == nil {
		return
	}
	w.lastRequest++
	requestID := w.lastRequest
	retry := client.attemptsSent
	client.attemptsSent++
	class := &w.realization.Classes[client.class]
	wait := time.Duration(float64(class.Deadline) * w.realization.Clients.AttemptTimeoutShare).Round(time.Microsecond)
	key := mix(client.randomKey + uint64(retry))
	request := w.requests.Put(requestID)
	*request = requestState{client: clientID, retry: int8(min(retry, 100)), deadline: min(w.now+wait, client.deadline)}
	w.counters.Requests++
	balancer := w.chooseBalancer(client.zone, key)
	delay := w.networkDelay(w.realization.ClientDelay, key, concernClientDelay)
	request.balancer = balancer
	if balancer == noBalancer {
		w.events.schedule(w.now+2*delay, eventUnreachable, requestID)
		return
	}
	w.events.schedule(w.now+delay, eventRequestArrives, requestID)
	w.events.schedule(request.deadline, eventRequestDeadline, requestID)
	if client.disconnectDraw < w.realization.Clients.EarlyDisconnectShare {
		part := w.randFor(key, concernDisconnect).Float64()
		disconnectsAt := w.now + time.Duration(part*float64(request.deadline-w.now))
		w.events.schedule(disconnectsAt, eventClientDisconnects, requestID)
	}
}

// chooseBalancer models the load balancing in front of the balancers. It picks at random among the admitted
// balancers of the zone, or of all zones if the zone has none. noBalancer means that none is admitted.
func (w *World) chooseBalancer(zone int, key uint64) balancerIndex {
	admittedInZone := w.admittedByZone[zone]
	draw := w.randFor(key, concernBalancer).Float64()
	if len(admittedInZone) > 0 {
		return admittedInZone[int(draw*float64(len(admittedInZone)))]
	}
	total := 0
	for _, admitted := range w.admittedByZone {
		total += len(admitted)
	}
	if total == 0 {
		return noBalancer
	}
	position := int(draw * float64(total))
	for _, admitted := range w.admittedByZone {
		if position < len(admitted) {
			return admitted[position]
		}
		position -= len(admitted)
	}
	return noBalancer // unreachable: position < total
}

// requestArrives delivers a request to its balancer. If the balancer is down or the client has finished, the
// request is unreachable.
func (w *World) requestArrives(id uint64) {
	request := w.requests.Get(id)
	if request == nil {
		return
	}
	client := w.clientRequests.Get(request.client)
	if !w.balancers[request.balancer].up || client == nil {
		w.events.schedule(w.now+w.realization.ClientDelay, eventUnreachable, id)
		return
	}
	request.received = true
	w.checker.RequestReceived(invariants.ReceivedRequest{
		At: w.now, Balancer: request.balancer, ID: id, Class: client.class, Deadline: request.deadline,
	})
	w.notify(request.balancer, Event{
		Kind:  EventRequest,
		Retry: request.retry > 0 && w.realization.Clients.MarksRetry,
		Request: piernotch.Request{
			ID:       piernotch.RequestID(id),
			Class:    client.class,
			Key:      client.key,
			Deadline: request.deadline,
			CostHint: client.costHint,
		},
	})
}

// finalResponse sends a balancer's rejection or failure to the client, unless the request is over or belongs to
// another balancer.
func (w *World) finalResponse(action *Action, result invariants.Result) {
	request := w.requests.Get(uint64(action.ID))
	if request == nil || request.responded || request.balancer != balancerIndex(action.Balancer) {
		return
	}
	request.retryAfter = action.Delay
	request.respondedByBalancer = true
	w.respondToClient(uint64(action.ID), request, result)
}

// respondToClient records the final response of a request and schedules its arrival at the client.
func (w *World) respondToClient(id uint64, request *requestState, result invariants.Result) {
	w.checker.ResponseSent(w.now, id, result)
	request.responded = true
	request.respondedAt = w.now
	request.result = result
	delay := w.networkDelay(w.realization.ClientDelay, mix(id), concernClientDelay)
	w.events.schedule(w.now+delay, eventResponseArrives, id)
}

// responseArrives hands a final response to the client, if the client still waits.
func (w *World) responseArrives(id uint64) {
	request := w.requests.Get(id)
	if request == nil || request.clientDone {
		return
	}
	request.clientDone = true
	w.clientDecides(request, request.result, reachedBalancer(!request.balancerKilled))
	w.releaseRequest(id)
}

// unreachable fails a request that no balancer has received, so a retry is safe.
func (w *World) unreachable(id uint64) {
	request := w.requests.Get(id)
	if request == nil || request.clientDone {
		return
	}
	request.responded = true
	request.respondedAt = w.now
	request.clientDone = true
	request.expired = request.expired || request.balancer == noBalancer
	w.counters.Unreachable++
	w.clientDecides(request, invariants.Failed, balancerUnreached)
	w.releaseRequest(id)
}

// requestExpires ends a client's wait for a request at the deadline, and schedules responseOverdue if the
// balancer has not responded.
func (w *World) requestExpires(id uint64) {
	request := w.requests.Get(id)
	if request == nil {
		return
	}
	request.expired = true
	if request.received && !request.responded {
		w.events.schedule(w.now+responseGrace, eventResponseOverdue, id)
	}
	if !request.clientDone {
		request.clientDone = true
		w.counters.TimedOut++
		w.clientDecides(request, invariants.Failed, balancerReached)
	}
	w.releaseRequest(id)
}

// responseOverdue ends a request that has no response, and notifies the balancer that the client is gone.
func (w *World) responseOverdue(id uint64) {
	request := w.requests.Get(id)
	if request == nil || request.responded {
		return
	}
	w.checker.CheckOverdue(w.now)
	request.responded = true
	request.respondedAt = w.now
	w.notify(request.balancer, Event{Kind: EventClientGone, ID: piernotch.RequestID(id)})
	w.releaseRequest(id)
}

// clientDisconnects closes a client's connection before the deadline. The balancer is notified, and the client
// does not retry.
func (w *World) clientDisconnects(id uint64) {
	request := w.requests.Get(id)
	if request == nil || request.clientDone || request.responded || !request.received {
		return
	}
	request.clientDone = true
	request.responded = true
	request.respondedAt = w.now
	w.counters.Disconnected++
	w.checker.RequestExcused(w.now, id)
	w.notify(request.balancer, Event{Kind: EventClientGone, ID: piernotch.RequestID(id)})
	w.clientGivesUp(request.client)
	w.releaseRequest(id)
}

// clientDecides finishes a client request after the result of one send, or schedules a retry.
func (w *World) clientDecides(request *requestState, result invariants.Result, reached reachedBalancer) {
	clientID := request.client
	client := w.clientRequests.Get(clientID)
	if client == nil {
		return
	}
	if result == invariants.Served {
		w.clientServed(clientID)
		return
	}
	if result == invariants.Rejected {
		w.counters.goodput.AttemptRejected(client.firstSent)
	} else {
		w.counters.goodput.AttemptFailed(client.firstSent)
	}
	neverExecuted := result == invariants.Rejected || reached == balancerUnreached
	retryable := neverExecuted || w.mayRepeat(client, &w.realization.Classes[client.class])
	if !retryable || client.attemptsSent > client.maxRetries {
		w.clientGivesUp(clientID)
		return
	}
	backoff := w.backoff(client, request.retryAfter)
	if w.now+backoff >= client.deadline {
		w.clientGivesUp(clientID)
		return
	}
	w.events.schedule(w.now+backoff, eventClientRetry, clientID)
}

// mayRepeat reports whether a client may retry a request that may have been executed.
func (w *World) mayRepeat(client *clientRequest, class *scenario.DrawnClass) bool {
	switch class.RetrySafety {
	case piernotch.Idempotent:
		return true
	case piernotch.IdempotencyKey:
		return class.DedupScope == piernotch.DedupEverywhere && w.now < client.firstSent+class.DedupWindow
	}
	return false
}

// backoff returns how long a client waits before its next retry, in whole microseconds: exponential backoff
// with jitter. A client that honours Retry-After waits at least that long, or MaxRetryAfter if that is shorter.
func (w *World) backoff(client *clientRequest, retryAfter time.Duration) time.Duration {
	random := w.randFor(mix(client.randomKey+uint64(client.attemptsSent)), concernBackoff)
	wait := time.Duration(
		float64(w.realization.Clients.Backoff) * math.Exp2(float64(client.attemptsSent-1)) * (0.5 + random.Float64()),
	)
	advised := retryAfter > 0 && w.realization.Settings.Limits.RetryAfter
	if advised && random.Float64() < w.realization.Clients.RetryAfterShare {
		wait = max(wait, min(retryAfter, w.realization.Settings.Limits.MaxRetryAfter))
	}
	return wait / time.Microsecond * time.Microsecond
}

// clientServed finishes a client request as served, unless already finished.
func (w *World) clientServed(id uint64) { w.finishClientRequest(id, goodput.Served) }

// clientGivesUp finishes a client request as unserved, unless already finished.
func (w *World) clientGivesUp(id uint64) { w.finishClientRequest(id, goodput.Unserved) }

func (w *World) finishClientRequest(id uint64, end goodput.End) {
	if client := w.clientRequests.Get(id); client != nil {
		w.counters.finish(w, client, end)
		w.clientRequests.Delete(id)
	}
}

// releaseRequest deletes a request that is over for client and balancer, past its deadline and without attempts
// in flight.
func (w *World) releaseRequest(id uint64) {
	request := w.requests.Get(id)
	if request != nil && request.clientDone && request.responded && request.expired && request.inflight == 0 {
		w.requests.Delete(id)
	}
}
