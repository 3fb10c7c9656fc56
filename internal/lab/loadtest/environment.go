package loadtest

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"piernotch/internal/lab/chaos"
	"piernotch/internal/lab/emulator"
	"piernotch/internal/lab/faultproxy"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/load"
	"piernotch/internal/lab/scenario"
)

// stopTimeout is how long after SIGTERM a balancer is killed at the end of the run.
const stopTimeout = 3 * time.Second

// environment holds the processes, emulated parts and state of one run.
type environment struct {
	realization *scenario.Realization
	opts        Options
	started     atomic.Pointer[time.Time] // when the run began; nil: not yet
	observer    *observer
	fleet       *emulator.Fleet
	balancers   []*balancer // indexed by balancer number
	malformed   load.MalformedClients
	handovers   *HandoverReport
	background  sync.WaitGroup      // plays handovers, and faults of links and processes
	proxies     *faultproxy.Network // nil: the run has no proxies
	sharedWatch *sharedWatch        // nil: each balancer watches discovery itself
	stopped     atomic.Bool         // set when the run is over
	mu          sync.Mutex
	err         error // the first error; guarded by mu
}

func newEnvironment(realization *scenario.Realization, opts Options) *environment {
	e := &environment{realization: realization, opts: opts, handovers: &HandoverReport{Done: map[HandoverKind]int{}}}
	zone := func(server invariants.ServerIndex) int { return e.fleet.Spec(int(server)).Zone }
	cell := func(server invariants.ServerIndex) int { return e.fleet.Spec(int(server)).Cell }
	e.observer = newObserver(realization, e.clock, zone, cell)
	return e
}

// open starts emulated servers and discovery and, if Options ask for them, voters or proxies. It fails if Options
// ask for both. The caller calls close even if open fails.
func (e *environment) open() error {
	var err error
	balancers := len(e.realization.Balancers)
	e.fleet, err = emulator.New(e.realization, emulator.Options{
		Balancers: balancers, Clock: e.clock, Observer: e.observer, Notified: e.endpointNotified,
	})
	if err != nil {
		return err
	}
	if e.opts.VoterProgram != "" {
		e.sharedWatch, err = startSharedWatch(e.opts, balancers)
		if err != nil {
			return err
		}
	}
	if e.opts.needsProxies() {
		if e.sharedWatch != nil {
			return ErrLinkFaultsWithSharedWatch
		}
		e.proxies = faultproxy.New(e.realization.Seed)
		if e.opts.needsServerProxies() {
			e.observer.crossingTime = crossingTimeWithProxies
		}
		e.fleet.Discovery().ServerAddress = func(balancer, server int, address string) string {
			return e.routeThroughProxy(balancer, chaos.Target(server), address)
		}
	}
	return nil
}

// close closes the inherited sockets, marks the run as over, and stops balancers, proxies, voters, and the emulated
// servers and discovery.
func (e *environment) close() {
	for _, balancer := range e.balancers {
		if balancer.listener != nil {
			_ = balancer.listener.file.Close()
		}
	}
	e.stopped.Store(true)
	e.stopBalancers()
	if e.proxies != nil {
		e.proxies.Close()
	}
	if e.sharedWatch != nil {
		e.sharedWatch.stop()
	}
	if e.fleet != nil {
		e.fleet.Close()
	}
}

// clock returns the time since the run began; 0 before. The run begins once all balancers are ready.
func (e *environment) clock() time.Duration {
	if started := e.started.Load(); started != nil {
		return time.Since(*started)
	}
	return 0
}

// recordError keeps the first error of a run.
func (e *environment) recordError(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err == nil {
		e.err = err
	}
}

func (e *environment) firstError() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.err
}

// addBalancer creates a balancer of the realization and launches it. The balancer joins the group of a shared watch.
// Its listening socket is opened here if handovers are planned.
func (e *environment) addBalancer(ctx context.Context, number int) error {
	added, err := newBalancer(e.opts, number, e.realization)
	if err != nil {
		return err
	}
	e.balancers = append(e.balancers, added)
	if e.sharedWatch != nil {
		added.args = []string{"serve", "--group", e.sharedWatch.groupFiles[number]}
	}
	if len(e.opts.Handovers) > 0 {
		if err := added.openListener(); err != nil {
			return err
		}
	}
	return e.launch(ctx, added)
}

// launch configures a balancer, tells the observer of its restart, starts a process, and routes clients to the balancer
// once the process is ready. If another fault stops the process before, that fault launches the next one.
func (e *environment) launch(ctx context.Context, target *balancer) error {
	if err := e.configure(target); err != nil {
		return err
	}
	e.observer.BalancerRestarted(target.number)
	err := target.start(ctx)
	if errors.Is(err, errStoppedInStart) {
		return nil
	}
	if err != nil {
		return err
	}
	target.route(routed)
	return nil
}

// configure writes a balancer's configuration with the current address of discovery or its proxy, and
// with the endpoint list.
func (e *environment) configure(target *balancer) error {
	discovery := e.fleet.Discovery()
	address := e.routeThroughProxy(target.number, chaos.Discovery, discovery.Address(target.number))
	limits := limits{Cores: 1, MemoryMB: e.opts.MemoryMB, Sockets: e.opts.Sockets}
	return target.configure(e.realization, address, discovery.EndpointList(target.number), limits)
}

// pickBalancer picks a balancer of the zone at random, or of all zones if none in the zone takes new connections. It
// reports false if clients can use no balancer. It implements load.PickBalancer.
func (e *environment) pickBalancer(zone int, rng *rand.Rand) (picked load.Picked, ok bool) {
	var sameZone, all []load.Picked
	for _, candidate := range e.balancers {
		routing := candidate.currentRouting()
		if routing == notRouted {
			continue
		}
		choice := load.Picked{
			Balancer: candidate.number, Address: candidate.address, OnlyOpen: routing == openConnectionsOnly,
		}
		all = append(all, choice)
		if candidate.zone == zone {
			sameZone = append(sameZone, choice)
		}
	}
	candidates := sameZone
	if !slices.ContainsFunc(candidates, func(choice load.Picked) bool { return !choice.OnlyOpen }) {
		candidates = all
	}
	if len(candidates) == 0 {
		return load.Picked{}, false
	}
	return candidates[rng.IntN(len(candidates))], true
}

// stopBalancers excuses open requests, then stops each balancer in turn with SIGTERM and, after stopTimeout, SIGKILL.
func (e *environment) stopBalancers() {
	for _, balancer := range e.balancers {
		e.observer.BalancerKilled(balancer.number)
	}
	for _, balancer := range e.balancers {
		exited := balancer.signal(syscall.SIGTERM)
		select {
		case <-exited:
		case <-time.After(stopTimeout):
			<-balancer.signal(syscall.SIGKILL)
		}
	}
}

// sleep waits for the duration, or until the context is done.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
