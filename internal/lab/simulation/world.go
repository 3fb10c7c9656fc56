package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"piernotch"
	"piernotch/internal/lab/idtable"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// never is the time of a turn that is not planned.
const never = time.Duration(math.MaxInt64)

// drainAfter bounds how long a World runs on after its last arrival.
const drainAfter = 60 * time.Second

// World plays one drawn scenario. It is for one goroutine and one call of Run.
type World struct {
	realization *scenario.Realization
	tier        Tier
	events      eventQueue
	now         time.Duration
	stop        bool
	err         error // ends the run

	clientRequests    idtable.Table[clientRequest]
	requests          idtable.Table[request]
	attempts          idtable.Table[attempt]
	healthChecks      idtable.Table[healthCheck]
	lastClientRequest uint64 // the IDs given out last
	lastRequest       uint64
	lastAttempt       uint64
	lastHealthCheck   uint64

	balancers      []balancerState
	admittedByZone [][]int // instances that clients are sent to
	servers        []serverState
	serverByID     map[piernotch.ServerID]int32
	discovery      discovery
	traffic        traffic

	script       []func()      // steps of faults and starts, by eventScript
	reportDelay  time.Duration // by which faults delay load reports further
	corruptShare float64       // share of answers that a fault corrupts

	pending      []int // instances with events for the next turn
	batch        []Event
	nextTurn     time.Duration // never: none is planned
	lastTurn     time.Duration
	previousTurn time.Duration // the one before lastTurn

	pcg        rand.PCG
	hashedRand *rand.Rand // see randFor
	checker    *invariants.Checker
	counters   counters
}

// New returns the World of a drawn scenario, with all of its servers and faults. The caller closes
// the tier. The error is of a kind of machine that cannot be, or of a trace that cannot be read.
func New(realization *scenario.Realization, tier Tier) (*World, error) {
	w := &World{realization: realization, tier: tier, serverByID: map[piernotch.ServerID]int32{}, nextTurn: never, lastTurn: -1}
	w.hashedRand = rand.New(&w.pcg)
	for i := range realization.Servers {
		if _, err := w.addServer(realization.Servers[i]); err != nil {
			return nil, err
		}
	}
	w.checker = invariants.New(w.limits())
	w.counters.init(realization)
	w.balancers = make([]balancerState, len(realization.Balancers))
	w.admittedByZone = make([][]int, len(realization.Zones))
	for i, b := range realization.Balancers {
		w.balancers[i].zone = b.Zone
	}
	w.discovery.init(w)
	if err := w.traffic.init(w); err != nil {
		return nil, err
	}
	w.scheduleFaults()
	for i, b := range realization.Balancers {
		w.schedule(b.Start, func() { w.startBalancer(i, true) })
	}
	w.traffic.planNext(w)
	w.events.plan(time.Second, prioritySample, eventEachSecond, 0, 0)
	return w, nil
}

// limits is what the invariants are measured by. An answer may be late by a tick more than on
// sockets, since balancers decide at ticks only.
func (w *World) limits() invariants.Limits {
	rules, limits := &w.realization.Rules, &w.realization.Settings.Limits
	out := invariants.Limits{
		Slack:          rules.ResponseSlack + w.realization.Tick,
		Grace:          rules.DrainGrace,
		CollapseWindow: rules.Collapse.For,
		MaxAttempts:    limits.MaxAttempts,
		HedgedRequests: limits.HedgedRequests,
		Zone:           func(i int) int { return w.servers[i].spec.Zone },
		Cell:           func(i int) int { return w.servers[i].spec.Cell },
	}
	for _, c := range w.realization.Classes {
		out.Classes = append(out.Classes, c.Class)
	}
	return out
}

// schedule adds a step to the script.
func (w *World) schedule(t time.Duration, step func()) {
	w.script = append(w.script, step)
	w.events.plan(t, priorityFault, eventScript, uint64(len(w.script)-1), 0)
}

// addServer adds a server and returns its index.
func (w *World) addServer(spec scenario.Server) (int, error) {
	n := len(w.servers)
	s, err := servermodel.New(spec.Kind, mix(w.realization.Seed^mix(uint64(n)+0x5e)), 0)
	if err != nil {
		return 0, err
	}
	id := w.newServerID(n)
	w.serverByID[id] = int32(n)
	w.servers = append(w.servers, serverState{Server: s, spec: spec, id: id, nextAdvance: servermodel.Never, slowFactor: 1})
	return n, nil
}

// newServerID returns the ID of server n: one that reveals nothing, and is the same at every
// balancer.
func (w *World) newServerID(n int) piernotch.ServerID {
	id := piernotch.ServerID(mix(w.realization.Seed ^ mix(uint64(n)+0x1d)))
	for {
		if _, taken := w.serverByID[id]; !taken && id != 0 {
			return id
		}
		id++
	}
}

// Run plays the scenario to its end: until all is answered after the last arrival. An error names
// the seed and the time; it is of the tier, or of an action that is impossible.
func (w *World) Run() (*Result, error) {
	began := time.Now()
	for !w.stop {
		e, ok := w.events.pop()
		if !ok {
			break
		}
		w.now = e.at
		w.counters.Events++
		w.handle(&e)
		if w.err != nil {
			return nil, fmt.Errorf("seed %d, %.3f s: %w", w.realization.Seed, w.now.Seconds(), w.err)
		}
	}
	w.checker.CheckOverdue(w.now + time.Second)
	return w.result(time.Since(began)), nil
}

// handle dispatches one planned event.
func (w *World) handle(e *plannedEvent) {
	switch e.kind {
	case eventScript:
		w.script[e.id]()
	case eventServerAdvance:
		w.advanceServer(int(e.index), e.at)
	case eventAttemptArrives:
		w.attemptArrives(e.id)
	case eventOutcomeArrives:
		w.outcomeArrives(e.id)
	case eventCancelArrives:
		w.cancelArrives(e.id)
	case eventAttemptTimeout:
		w.attemptTimesOut(e.id)
	case eventHealthCheckArrives:
		w.healthCheckArrives(e.id)
	case eventHealthCheckCompletes:
		w.healthCheckCompletes(e.id)
	case eventRequestArrives:
		w.requestArrives(e.id)
	case eventAnswerArrives:
		w.answerArrives(e.id)
	case eventUnreachable:
		w.unreachable(e.id)
	case eventRequestDeadline:
		w.requestExpires(e.id)
	case eventAnswerOverdue:
		w.answerOverdue(e.id)
	case eventClientLeaves:
		w.clientLeaves(e.id)
	case eventClientRetry:
		w.sendRequest(e.id)
	case eventNextClient:
		w.traffic.clientArrives(w)
	case eventListArrives:
		w.discovery.deliver(w, int(e.index), e.id)
	case eventDiscoveryNotice:
		w.discovery.learn(w, int(e.id))
	case eventDiscoveryPublish:
		w.discovery.publish(w)
	case eventTimer:
		w.timerFires(int(e.index), e.id)
	case eventTurn:
		w.turn()
	case eventEachSecond:
		w.eachSecond()
	}
}

// eachSecond checks for overdue answers, takes samples and ends the run when all is over.
func (w *World) eachSecond() {
	w.checker.CheckOverdue(w.now)
	w.discovery.notifyImplied(w)
	w.counters.sample(w)
	idle := w.clientRequests.Len() == 0
	if w.now >= w.realization.Length && (idle || w.now > w.realization.Length+drainAfter) {
		w.stop = true
		return
	}
	w.events.plan(w.now+time.Second, prioritySample, eventEachSecond, 0, 0)
}
