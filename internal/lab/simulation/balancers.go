package simulation

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"piernotch/internal/lab/invariants"
)

// errUnknownServer is the error of an action for a server that no endpoint list named.
var errUnknownServer = errors.New("names a server that was in none of its lists")

// notify puts an event into an instance's inbox; it is taken at the next tick.
func (w *World) notify(i int, e Event) {
	balancer := &w.balancers[i]
	e.Balancer = i
	balancer.inbox = append(balancer.inbox, e)
	if balancer.queued {
		return
	}
	balancer.queued = true
	w.pending = append(w.pending, i)
	tick := w.realization.Tick
	at := (w.now + tick - 1) / tick * tick
	if at <= w.lastTurn {
		at += tick
	}
	if at < w.nextTurn {
		w.nextTurn = at
		w.events.plan(at, priorityTurn, eventTurn, 0, 0)
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

// collectInboxes moves the events of all pending instances into the batch, in order of instances.
func (w *World) collectInboxes() {
	slices.Sort(w.pending)
	w.batch = w.batch[:0]
	for _, i := range w.pending {
		balancer := &w.balancers[i]
		w.batch = append(w.batch, balancer.inbox...)
		balancer.inbox = balancer.inbox[:0]
		balancer.queued = false
	}
	w.pending = w.pending[:0]
}

// perform does what a balancer asks for.
func (w *World) perform(a *Action) {
	if a.Balancer < 0 || a.Balancer >= len(w.balancers) || !w.balancers[a.Balancer].up {
		w.err = fmt.Errorf("balancer %d acts, but does not run", a.Balancer)
		return
	}
	switch a.Kind {
	case ActionStartAttempt:
		w.startAttempt(a)
	case ActionCancelAttempt:
		w.cancelAttempt(a)
	case ActionReject:
		w.finalAnswer(a, invariants.Rejected)
	case ActionFail:
		w.finalAnswer(a, invariants.Failed)
	case ActionHealthCheck:
		w.startHealthCheck(a)
	case ActionWatchEndpoints, ActionFetchEndpoints:
		w.discovery.call(w, a.Balancer, a.Kind == ActionWatchEndpoints)
	case ActionSetTimer:
		w.setTimer(a)
	case ActionCloseIdle:
		w.closeIdle(a)
	}
}

func (w *World) setTimer(a *Action) {
	if a.Delay < 0 {
		w.err = fmt.Errorf("balancer %d: a timer of %v", a.Balancer, a.Delay)
		return
	}
	// It fires at a later tick, never in the turn that is being taken.
	at := max(w.now+a.Delay, w.now+1)
	epoch := w.balancers[a.Balancer].epoch
	w.events.plan(at, priorityTimer, eventTimer, uint64(epoch)<<32|uint64(a.Token), int32(a.Balancer))
}

// timerFires notifies an instance of a timer, unless the process that set it has ended. The ID is
// the epoch of the process and the token.
func (w *World) timerFires(i int, id uint64) {
	balancer := &w.balancers[i]
	if balancer.up && uint32(id>>32) == balancer.epoch {
		w.notify(i, Event{Kind: EventTimer, Token: uint32(id)})
	}
}

// startBalancer starts a balancer's process. The first one knows the full endpoint list, a later one
// the list that its predecessor had.
func (w *World) startBalancer(i int, first bool) {
	balancer := &w.balancers[i]
	balancer.up = true
	balancer.watching = w.realization.Discovery.Push
	balancer.pollFailed = false
	balancer.lastPoll = w.now
	balancer.epoch++
	settings := w.realization.Settings
	settings.Zone = balancer.zone
	seed := mix(w.realization.Seed ^ mix(uint64(i)<<20^uint64(balancer.epoch)+concernStart))
	w.notify(i, Event{Kind: EventStart, Seed: seed, Settings: &settings})
	if first {
		w.discovery.setFullList(w, i)
	}
	w.checker.BalancerRestarted(i)
	w.discovery.sendCached(w, i)
	w.admit(i, true)
}

// admit has clients sent to an instance, or no longer.
func (w *World) admit(i int, admitted bool) {
	balancer := &w.balancers[i]
	if balancer.admitted == admitted {
		return
	}
	balancer.admitted = admitted
	list := &w.admittedByZone[balancer.zone]
	if admitted {
		*list = append(*list, i)
		slices.SortFunc(*list, cmp.Compare[int])
	} else {
		*list = slices.DeleteFunc(*list, func(j int) bool { return j == i })
	}
}

// killBalancer ends a balancer's process at once: what it holds is lost to it, and its clients find
// their connections broken.
func (w *World) killBalancer(i int) {
	balancer := &w.balancers[i]
	if !balancer.up {
		return
	}
	balancer.up = false
	balancer.watching = false
	balancer.inbox = balancer.inbox[:0]
	w.notify(i, Event{Kind: EventStop})
	for _, id := range w.requestsOf(i) {
		w.loseRequest(id)
	}
	for s := range balancer.pools {
		w.closeConnections(s, int(balancer.pools[s].open))
	}
	balancer.pools = nil
	balancer.epoch++
}

// requestsOf lists the requests that an instance has received, in order.
func (w *World) requestsOf(i int) []uint64 {
	var ids []uint64
	w.requests.Each(func(id uint64, r *request) {
		if int(r.balancer) == i && r.received {
			ids = append(ids, id)
		}
	})
	slices.Sort(ids)
	return ids
}

// loseRequest ends a request whose balancer was killed: servers learn that nobody waits for its
// attempts, and its client that the connection broke.
func (w *World) loseRequest(id uint64) {
	r := w.requests.Get(id)
	for n := range int(r.attempts) {
		attemptID := r.attemptIDs[n]
		if a := w.attempts.Get(attemptID); a != nil && !a.completed {
			a.completed = true
			r.inflight--
			w.checker.AttemptCompleted(id, n, false)
			w.events.plan(w.now+a.delay, priorityMessage, eventCancelArrives, attemptID, 0)
		}
	}
	if !r.answered {
		w.checker.RequestExcused(w.now, id)
		r.answered, r.answeredAt = true, w.now
		r.answer = invariants.Failed
		r.balancerKilled = true
		w.events.plan(w.now+w.realization.ClientDelay, priorityMessage, eventAnswerArrives, id, 0)
	}
	w.releaseRequest(id)
}
