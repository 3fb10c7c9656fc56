package simulation

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"piernotch/internal/lab/invariants"
)

var errUnknownServer = errors.New("names a server that was in none of its lists")

// notify adds an event to a balancer's inbox and schedules a turn at the next tick.
func (w *World) notify(index balancerIndex, event Event) {
	balancer := &w.balancers[index]
	event.Balancer = int(index)
	balancer.inbox = append(balancer.inbox, event)
	if balancer.queued {
		return
	}
	balancer.queued = true
	w.pending = append(w.pending, index)
	tick := w.realization.Tick
	at := (w.now + tick - 1) / tick * tick
	if at <= w.lastTurn {
		at += tick
	}
	if at < w.nextTurn {
		w.nextTurn = at
		w.events.schedule(at, eventTurn, 0)
	}
}

// turn passes the pending events to the tier and performs the returned actions. A turn that was replaced by an
// earlier turn is ignored.
func (w *World) turn() {
	if w.now != w.nextTurn {
		return
	}
	w.nextTurn = never
	w.previousTurn = w.lastTurn
	w.lastTurn = w.now
	w.collectInboxes()
	began := time.Now()
	actions, err := w.tier.Turn(w.now, w.batch)
	w.counters.ModuleTime += time.Since(began)
	if err != nil {
		w.err = err
		return
	}
	for i := range actions {
		w.perform(&actions[i])
		if w.err != nil {
			return
		}
	}
}

// collectInboxes moves the events of all pending balancers into the batch, in order of balancer index.
func (w *World) collectInboxes() {
	slices.Sort(w.pending)
	w.batch = w.batch[:0]
	for _, index := range w.pending {
		balancer := &w.balancers[index]
		w.batch = append(w.batch, balancer.inbox...)
		balancer.inbox = balancer.inbox[:0]
		balancer.queued = false
	}
	w.pending = w.pending[:0]
}

// perform executes an action. An action of a balancer that is not running is an error.
func (w *World) perform(action *Action) {
	if action.Balancer < 0 || action.Balancer >= len(w.balancers) || !w.balancers[action.Balancer].up {
		w.err = fmt.Errorf("balancer %d acts, but does not run", action.Balancer)
		return
	}
	switch action.Kind {
	case ActionStartAttempt:
		w.startAttempt(action)
	case ActionCancelAttempt:
		w.cancelAttempt(action)
	case ActionReject:
		w.finalResponse(action, invariants.Rejected)
	case ActionFail:
		w.finalResponse(action, invariants.Failed)
	case ActionHealthCheck:
		w.startHealthCheck(action)
	case ActionWatchEndpoints:
		w.discovery.call(w, balancerIndex(action.Balancer), watchChanges)
	case ActionFetchEndpoints:
		w.discovery.call(w, balancerIndex(action.Balancer), fetchList)
	case ActionSetTimer:
		w.setTimer(action)
	case ActionCloseIdle:
		w.closeIdle(action)
	}
}

func (w *World) setTimer(action *Action) {
	if action.Delay < 0 {
		w.err = fmt.Errorf("balancer %d: negative timer delay %v", action.Balancer, action.Delay)
		return
	}
	// Without a delay, the timer still fires after the current turn.
	at := max(w.now+action.Delay, w.now+1)
	epoch := w.balancers[action.Balancer].epoch
	w.events.scheduleFor(at, eventTimer, uint64(epoch)<<32|uint64(action.Token), int32(action.Balancer))
}

// timerFires notifies a balancer of a timer, unless the process that set the timer has ended. The ID holds the
// epoch of the process in the upper 32 bits and the token in the lower 32.
func (w *World) timerFires(index balancerIndex, id uint64) {
	balancer := &w.balancers[index]
	if balancer.up && uint32(id>>32) == balancer.epoch {
		w.notify(index, Event{Kind: EventTimer, Token: uint32(id)})
	}
}

// startFirstProcess starts the first process of a balancer, with the full endpoint list.
func (w *World) startFirstProcess(index balancerIndex) {
	w.startProcess(index)
	w.discovery.setFullList(w, index)
	w.beginService(index)
}

// startNextProcess starts a process of a balancer, with the endpoint list that the previous process had last.
func (w *World) startNextProcess(index balancerIndex) {
	w.startProcess(index)
	w.beginService(index)
}

// startProcess starts a process of a balancer, without an endpoint list.
func (w *World) startProcess(index balancerIndex) {
	balancer := &w.balancers[index]
	balancer.up = true
	balancer.watching = w.realization.Discovery.Push
	balancer.pollFailed = false
	balancer.lastPoll = w.now
	balancer.epoch++
	settings := w.realization.Settings
	settings.Zone = balancer.zone
	seed := mix(w.realization.Seed ^ mix(uint64(index)<<20^uint64(balancer.epoch)+concernStart))
	w.notify(index, Event{Kind: EventStart, Seed: seed, Settings: &settings})
}

// beginService reports a new process to the checker, sends the process the cached endpoint list and admits
// clients.
func (w *World) beginService(index balancerIndex) {
	w.checker.BalancerRestarted(index)
	w.discovery.sendCached(w, index)
	w.admit(index)
}

// admit adds a balancer to those that clients are sent to.
func (w *World) admit(index balancerIndex) {
	balancer := &w.balancers[index]
	if balancer.admitted {
		return
	}
	balancer.admitted = true
	admitted := &w.admittedByZone[balancer.zone]
	*admitted = append(*admitted, index)
	slices.Sort(*admitted)
}

// stopAdmitting removes a balancer from those that clients are sent to.
func (w *World) stopAdmitting(index balancerIndex) {
	balancer := &w.balancers[index]
	if !balancer.admitted {
		return
	}
	balancer.admitted = false
	admitted := &w.admittedByZone[balancer.zone]
	*admitted = slices.DeleteFunc(*admitted, func(other balancerIndex) bool { return other == index })
}

// killBalancer ends a balancer's process at once: its requests and connections are lost, and its clients find
// their connections broken.
func (w *World) killBalancer(index balancerIndex) {
	balancer := &w.balancers[index]
	if !balancer.up {
		return
	}
	balancer.up = false
	balancer.watching = false
	balancer.inbox = balancer.inbox[:0]
	w.notify(index, Event{Kind: EventStop})
	for _, id := range w.requestsOf(index) {
		w.loseRequest(id)
	}
	for server := range balancer.pools {
		w.closeConnections(serverIndex(server), int(balancer.pools[server].open))
	}
	balancer.pools = nil
	balancer.epoch++
}

// requestsOf returns the IDs of the requests that a balancer has received, in ascending order.
func (w *World) requestsOf(index balancerIndex) []uint64 {
	var ids []uint64
	w.requests.Each(func(id uint64, request *requestState) {
		if request.balancer == index && request.received {
			ids = append(ids, id)
		}
	})
	slices.Sort(ids)
	return ids
}

// loseRequest ends a request whose balancer was killed: servers receive cancellations, the checker expects no
// response, and the client finds its connection broken.
func (w *World) loseRequest(id uint64) {
	request := w.requests.Get(id)
	for attemptNumber := range int(request.attempts) {
		attemptID := request.attemptIDs[attemptNumber]
		if attempt := w.attempts.Get(attemptID); attempt != nil && !attempt.completed {
			attempt.completed = true
			request.inflight--
			w.checker.AttemptCompleted(id, attemptNumber, invariants.NeverExecuted(false))
			w.events.schedule(w.now+attempt.delay, eventCancelArrives, attemptID)
		}
	}
	if !request.responded {
		w.checker.RequestExcused(w.now, id)
		request.responded, request.respondedAt = true, w.now
		request.result = invariants.Failed
		request.balancerKilled = true
		w.events.schedule(w.now+w.realization.ClientDelay, eventResponseArrives, id)
	}
	w.releaseRequest(id)
}
