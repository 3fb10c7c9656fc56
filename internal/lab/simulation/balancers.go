package simulation

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"piernotch/internal/lab/invariants"
)

// errUnknownServer is the error of an action for a server that no endpoint list named.
var errUnknownServer = errors.New("names a server that was in none of its lists")

// notify puts an event into a balancer's inbox; it is taken at the next tick.
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

// turn lets all balancers with events decide, and performs their actions.
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

// collectInboxes moves the events of all pending balancers into the batch, in order of balancers.
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

// perform does what a balancer asks for.
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
		w.err = fmt.Errorf("balancer %d: a timer of %v", action.Balancer, action.Delay)
		return
	}
	// It fires at a later tick, never in the turn that is being taken.
	at := max(w.now+action.Delay, w.now+1)
	epoch := w.balancers[action.Balancer].epoch
	w.events.scheduleFor(at, eventTimer, uint64(epoch)<<32|uint64(action.Token), int32(action.Balancer))
}

// timerFires notifies a balancer of a timer, unless the process that set it has ended. The ID is
// the epoch of the process and the token.
func (w *World) timerFires(index balancerIndex, id uint64) {
	balancer := &w.balancers[index]
	if balancer.up && uint32(id>>32) == balancer.epoch {
		w.notify(index, Event{Kind: EventTimer, Token: uint32(id)})
	}
}

// startFirstProcess starts the first process of a balancer, which knows the full endpoint list.
func (w *World) startFirstProcess(index balancerIndex) {
	w.startProcess(index)
	w.discovery.setFullList(w, index)
	w.beginService(index)
}

// startNextProcess starts a process of a balancer after another one has ended. It knows the endpoint
// list that its predecessor had last.
func (w *World) startNextProcess(index balancerIndex) {
	w.startProcess(index)
	w.beginService(index)
}

// startProcess starts a process of a balancer, which has no endpoint list yet.
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

// beginService hands the cached endpoint list to a new process and has clients sent to it.
func (w *World) beginService(index balancerIndex) {
	w.checker.BalancerRestarted(index)
	w.discovery.sendCached(w, index)
	w.admit(index)
}

// admit has clients sent to a balancer.
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

// stopAdmitting has no more clients sent to a balancer.
func (w *World) stopAdmitting(index balancerIndex) {
	balancer := &w.balancers[index]
	if !balancer.admitted {
		return
	}
	balancer.admitted = false
	admitted := &w.admittedByZone[balancer.zone]
	*admitted = slices.DeleteFunc(*admitted, func(other balancerIndex) bool { return other == index })
}

// killBalancer ends a balancer's process at once: what it has in flight is lost to it, and its clients
// find their connections broken.
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

// requestsOf lists the requests that a balancer has received, in order.
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

// loseRequest ends a request whose balancer was killed: servers learn that nobody waits for its
// attempts, and its client that the connection broke.
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
