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

// Balancers and servers have the same numbers as in package invariants.
type (
	balancerIndex = invariants.BalancerIndex
	serverIndex   = invariants.ServerIndex
)

// noBalancer is the index for a request without a balancer.
const noBalancer balancerIndex = -1

// never is later than any time in a run.
const never = time.Duration(math.MaxInt64)

// drainAfter bounds how long after the scenario's length a World waits for unfinished client requests.
const drainAfter = 60 * time.Second

// World simulates one realization of a scenario. A World must be used from one goroutine, and Run called once.
type World struct {
	realization *scenario.Realization
	tier        Tier
	events      eventQueue
	now         time.Duration
	stop        bool
	err         error // if not nil, it ends the run

	clientRequests    idtable.Table[clientRequest]
	requests          idtable.Table[requestState]
	attempts          idtable.Table[attemptState]
	healthChecks      idtable.Table[healthCheckState]
	lastClientRequest uint64 // this and the next three fields: last ID assigned
	lastRequest       uint64
	lastAttempt       uint64
	lastHealthCheck   uint64

	balancers      []balancerState
	admittedByZone [][]balancerIndex // balancers that clients are sent to, by zone
	servers        []serverState
	serverByID     map[piernotch.ServerID]serverIndex
	discovery      discovery
	traffic        traffic

	script       []func()      // steps of faults and process starts, indexed by the ID of an eventScript
	reportDelay  time.Duration // additional delay of load reports by faults
	corruptShare float64       // share of responses that a fault corrupts

	pending      []balancerIndex // balancers with events for the next turn
	batch        []Event
	nextTurn     time.Duration // never: none is scheduled
	lastTurn     time.Duration
	previousTurn time.Duration // turn before lastTurn

	pcg        rand.PCG
	hashedRand *rand.Rand // draws from pcg; see randFor
	checker    *invariants.Checker
	counters   counters
}

// New returns a World for a realization, with all of its servers and faults. The caller closes the tier. New
// fails if a kind of server is invalid or the traffic recording cannot be used.
func New(realization *scenario.Realization, tier Tier) (*World, error) {
	world := &World{
		realization: realization,
		tier:        tier,
		serverByID:  map[piernotch.ServerID]serverIndex{},
		nextTurn:    never,
		lastTurn:    -1, // before a turn at time 0
	}
	world.hashedRand = rand.New(&world.pcg)
	for i := range realization.Servers {
		if _, err := world.addServer(realization.Servers[i]); err != nil {
			return nil, err
		}
	}
	world.checker = invariants.New(world.limits())
	world.counters.init(realization)
	world.balancers = make([]balancerState, len(realization.Balancers))
	world.admittedByZone = make([][]balancerIndex, len(realization.Zones))
	for i, balancer := range realization.Balancers {
		world.balancers[i].zone = balancer.Zone
	}
	world.discovery.init(world)
	if err := world.traffic.init(world); err != nil {
		return nil, err
	}
	world.scheduleFaults()
	for i, balancer := range realization.Balancers {
		world.schedule(balancer.Start, func() { world.startFirstProcess(balancerIndex(i)) })
	}
	world.traffic.scheduleNext(world)
	world.events.schedule(time.Second, eventEachSecond, 0)
	return world, nil
}

// limits returns the limits of the invariants. A response may be late by one tick more than on sockets, because
// balancers decide only at ticks.
func (w *World) limits() invariants.Limits {
	rules, limits := &w.realization.Rules, &w.realization.Settings.Limits
	measured := invariants.Limits{
		Slack:          rules.ResponseSlack + w.realization.Tick,
		Grace:          rules.DrainGrace,
		CollapseWindow: rules.Collapse.For,
		MaxAttempts:    limits.MaxAttempts,
		HedgedRequests: limits.HedgedRequests,
		Zone:           func(server serverIndex) int { return w.servers[server].spec.Zone },
		Cell:           func(server serverIndex) int { return w.servers[server].spec.Cell },
	}
	for _, class := range w.realization.Classes {
		measured.Classes = append(measured.Classes, class.Class)
	}
	return measured
}

// schedule adds a step to the script, to be run at the given time.
func (w *World) schedule(at time.Duration, step func()) {
	w.script = append(w.script, step)
	w.events.schedule(at, eventScript, uint64(len(w.script)-1))
}

// addServer adds a server and returns its index. It fails if the kind of server is invalid.
func (w *World) addServer(spec scenario.Server) (serverIndex, error) {
	index := serverIndex(len(w.servers))
	model, err := servermodel.New(spec.Kind, mix(w.realization.Seed^mix(uint64(index)+saltServerModel)), 0)
	if err != nil {
		return 0, err
	}
	id := w.newServerID(index)
	w.serverByID[id] = index
	w.servers = append(
		w.servers,
		serverState{Server: model, spec: spec, id: id, nextAdvance: servermodel.Never, slowFactor: 1},
	)
	return index, nil
}

// newServerID returns an unused ID for a server, the same for every balancer. The ID does not reveal the index.
func (w *World) newServerID(index serverIndex) piernotch.ServerID {
	id := piernotch.ServerID(mix(w.realization.Seed ^ mix(uint64(index)+saltServerID)))
	for {
		if _, taken := w.serverByID[id]; !taken && id != 0 {
			return id
		}
		id++
	}
}

// Run simulates the scenario until its length has passed and all client requests are finished, but for at most
// about drainAfter longer than the length. An error names the seed and the simulated time; the cause is the tier
// or an impossible action.
func (w *World) Run() (*Result, error) {
	began := time.Now()
	for !w.stop {
		event, ok := w.events.pop()
		if !ok {
			break
		}
		w.now = event.at
		w.counters.Events++
		w.handle(&event)
		if w.err != nil {
			return nil, fmt.Errorf("seed %d, %.3f s: %w", w.realization.Seed, w.now.Seconds(), w.err)
		}
	}
	w.checker.CheckOverdue(w.now + time.Second)
	return w.result(time.Since(began)), nil
}

func (w *World) handle(event *scheduledEvent) {
	switch event.kind {
	case eventScript:
		w.script[event.id]()
	case eventServerAdvance:
		w.advanceServer(serverIndex(event.index), event.at)
	case eventAttemptArrives:
		w.attemptArrives(event.id)
	case eventOutcomeArrives:
		w.outcomeArrives(event.id)
	case eventCancelArrives:
		w.cancelArrives(event.id)
	case eventAttemptTimeout:
		w.attemptTimesOut(event.id)
	case eventHealthCheckArrives:
		w.healthCheckArrives(event.id)
	case eventHealthCheckCompletes:
		w.healthCheckCompletes(event.id)
	case eventRequestArrives:
		w.requestArrives(event.id)
	case eventResponseArrives:
		w.responseArrives(event.id)
	case eventUnreachable:
		w.unreachable(event.id)
	case eventRequestDeadline:
		w.requestExpires(event.id)
	case eventResponseOverdue:
		w.responseOverdue(event.id)
	case eventClientDisconnects:
		w.clientDisconnects(event.id)
	case eventClientRetry:
		w.sendRequest(event.id)
	case eventNextClient:
		w.traffic.clientArrives(w)
	case eventListArrives:
		w.discovery.deliver(w, balancerIndex(event.index), event.id)
	case eventDiscoveryNotice:
		w.discovery.learn(w, int(event.id))
	case eventDiscoveryPublish:
		w.discovery.publish(w)
	case eventTimer:
		w.timerFires(balancerIndex(event.index), event.id)
	case eventTurn:
		w.turn()
	case eventEachSecond:
		w.onEachSecond()
	}
}

// onEachSecond checks for overdue responses, runs notifyImplied, takes samples, and ends a complete run.
func (w *World) onEachSecond() {
	w.checker.CheckOverdue(w.now)
	w.discovery.notifyImplied(w)
	w.counters.sample(w)
	idle := w.clientRequests.Len() == 0
	if w.now >= w.realization.Length && (idle || w.now > w.realization.Length+drainAfter) {
		w.stop = true
		return
	}
	w.events.schedule(w.now+time.Second, eventEachSecond, 0)
}
