package loadtest

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"piernotch/internal/lab/chaos"
	"piernotch/internal/lab/emulator"
	"piernotch/internal/lab/faultproxy"
	"piernotch/internal/lab/invariants"
)

// resumePause is how long after a pause a balancer may still respond late to requests that queued up meanwhile.
const resumePause = time.Second

// linkName returns the name of the link from a balancer to a server or to discovery. The name seeds the link's jitter:
// other names would change the runs of a seed.
func linkName(balancer int, target chaos.Target) string {
	if target == chaos.Discovery {
		return fmt.Sprintf("n%d>roster", balancer)
	}
	return fmt.Sprintf("n%d>s%d", balancer, target)
}

// serverLinkPrefix returns the common prefix of the names of a balancer's links to servers.
func serverLinkPrefix(balancer int) string { return fmt.Sprintf("n%d>s", balancer) }

// routeThroughProxy returns the address at which a balancer reaches a target: that of a proxy if one is needed and can
// be opened, else the target's own. It records a failure to open a proxy during the run.
func (e *environment) routeThroughProxy(balancer int, target chaos.Target, address string) string {
	if e.proxies == nil || target != chaos.Discovery && !e.opts.needsServerProxies() {
		return address
	}
	name := linkName(balancer, target)
	link, err := e.proxies.Link(name, address)
	if err != nil {
		if !e.stopped.Load() {
			e.recordError(fmt.Errorf("link %s: %w", name, err))
		}
		return address
	}
	return link.Address()
}

// endpointNotified tells discovery and the observer that a balancer was notified of a server's state: behind a proxy,
// once the update has arrived, which a cut link delays. An overdue update is one that the balancer has not received
// although it had time to ask for it. It counts as notified: only the observer is told, at once. With a shared watch,
// overdue updates are ignored and sharedWatch handles the others.
func (e *environment) endpointNotified(sent emulator.Notification) {
	received := notification{
		balancer:  invariants.BalancerIndex(sent.Balancer),
		server:    invariants.ServerIndex(sent.Server),
		state:     sent.State,
		startedAt: sent.StartedAt,
	}
	discovery := e.fleet.Discovery()
	switch {
	case sent.Overdue():
		if e.sharedWatch == nil { // else the group notifies balancers that do not watch discovery
			e.observer.EndpointNotified(received)
		}
	case e.sharedWatch != nil:
		e.sharedWatch.endpointNotified(e, received)
	case e.proxies == nil:
		discovery.Received(sent.Balancer, sent.Generation)
		e.observer.EndpointNotified(received)
	case !e.arrives(sent):
	default:
		e.notifyThroughProxy(sent, received)
	}
}

// arrives reports whether the connection that an endpoint list was written to still carries data.
func (e *environment) arrives(sent emulator.Notification) bool {
	arrives := false
	name := linkName(sent.Balancer, chaos.Discovery)
	e.proxies.Each(func(other string) bool { return other == name }, func(link *faultproxy.Link) {
		arrives = link.Carries(sent.Connection)
	})
	return arrives
}

// notifyThroughProxy tells discovery and the observer of an update once the link has delivered it, if ever.
func (e *environment) notifyThroughProxy(sent emulator.Notification, received notification) {
	discovery := e.fleet.Discovery()
	link, err := e.proxies.Link(linkName(sent.Balancer, chaos.Discovery), discovery.Address(sent.Balancer))
	if err != nil {
		return
	}
	go func() { // ends once the update is delivered, or the link is reset or closed
		if link.Delivered(faultproxy.FromTarget) {
			discovery.Received(sent.Balancer, sent.Generation)
			e.observer.EndpointNotified(received)
		}
	}()
}

// scheduleLinkAndProcessFaults plays each step of Options.Faults at its time, in a goroutine of e.background.
func (e *environment) scheduleLinkAndProcessFaults(ctx context.Context) {
	for _, step := range e.opts.Faults {
		e.background.Go(func() {
			sleep(ctx, step.At-e.clock())
			if ctx.Err() == nil {
				e.playFault(ctx, step)
			}
		})
	}
}

// playFault plays one step of a schedule. At the step's end it heals links or brings the balancer back, but connections
// that FreezeLink froze stay frozen.
func (e *environment) playFault(ctx context.Context, step chaos.Step) {
	faulted := e.balancers[step.Balancer]
	awaitEnd := func() { sleep(ctx, step.End()-e.clock()) }
	switch step.Action {
	case chaos.PauseBalancer:
		paused := faulted.current()
		e.observer.BalancerPaused(step.Balancer)
		e.fleet.Discovery().SetReachable(step.Balancer, false)
		_ = paused.cmd.Process.Signal(syscall.SIGSTOP)
		awaitEnd()
		_ = paused.cmd.Process.Signal(syscall.SIGCONT)
		e.fleet.Discovery().SetReachable(step.Balancer, true)
		sleep(ctx, resumePause)
		e.observer.BalancerRecovered(step.Balancer)
	case chaos.KillBalancer:
		e.observer.BalancerKilled(step.Balancer)
		<-faulted.signal(syscall.SIGKILL)
		awaitEnd()
		e.relaunch(ctx, faulted)
	case chaos.TerminateBalancer:
		e.terminate(ctx, step)
	case chaos.ReloadBalancer:
		for e.clock() < step.End() && ctx.Err() == nil {
			faulted.signal(syscall.SIGHUP)
			sleep(ctx, chaos.ReloadInterval)
		}
	case chaos.FreezeLink:
		e.eachLink(step, (*faultproxy.Link).Freeze)
	case chaos.FlapLink:
		e.flapLinks(ctx, step)
	default:
		e.setLinkFault(step)
		awaitEnd()
		e.healLinks(step)
	}
}

// Times of a shutdown by the platform.
const (
	// shutdownGrace is the time that a balancer gets to finish its last requests and exit, on top of the longest
	// deadline of a class, capped by maxShutdownDeadline.
	shutdownGrace = 700 * time.Millisecond
	// maxShutdownDeadline caps the class deadline that the platform waits for in a shutdown.
	maxShutdownDeadline = 3 * time.Second
	// signalPause is the time between two signals of a series.
	signalPause = 60 * time.Millisecond
)

// killDelay returns the shortest time from SIGTERM to SIGKILL that the platform may leave.
func (e *environment) killDelay() time.Duration {
	longest := time.Duration(0)
	for _, class := range e.realization.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxShutdownDeadline) + shutdownGrace
}

// terminate sends SIGTERM to a balancer (with SignalSeries, then SIGHUP and SIGTERM again), kills it after killDelay if
// it still runs, and relaunches it at the step's end at the earliest, unless the context is done. From unrouteDelay
// after the last of these signals, clients use only open connections, and after the exit none. Of the requests open at
// the kill, BalancerKilledAtLimit excuses only recent ones.
func (e *environment) terminate(ctx context.Context, step chaos.Step) {
	target := e.balancers[step.Balancer]
	kill := time.After(e.killDelay())
	exited := target.signal(syscall.SIGTERM)
	if step.SignalSeries {
		for _, next := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			sleep(ctx, signalPause)
			target.signal(next)
		}
	}
	onlyOpen := time.AfterFunc(unrouteDelay, func() { target.route(openConnectionsOnly) })
	defer onlyOpen.Stop()
	select {
	case <-exited:
	case <-kill:
		e.observer.BalancerKilledAtLimit(step.Balancer)
		<-target.signal(syscall.SIGKILL)
	}
	onlyOpen.Stop()
	target.route(notRouted)
	sleep(ctx, step.End()-e.clock())
	if ctx.Err() == nil {
		e.relaunch(ctx, target)
	}
}

// setReachable tells discovery whether the balancer can reach it, if the step's target is discovery.
func (e *environment) setReachable(step chaos.Step, reachable bool) {
	if step.Target == chaos.Discovery {
		e.fleet.Discovery().SetReachable(step.Balancer, reachable)
	}
}

// flapLinks sets and heals the step's fault in turn, every chaos.FlapInterval until the step's end, and leaves the
// links healed.
func (e *environment) flapLinks(ctx context.Context, step chaos.Step) {
	faulty := false
	for e.clock() < step.End() && ctx.Err() == nil {
		faulty = !faulty
		if faulty {
			e.setLinkFault(step)
		} else {
			e.healLinks(step)
		}
		sleep(ctx, min(chaos.FlapInterval, step.End()-e.clock()))
	}
	if faulty {
		e.healLinks(step)
	}
}

// setLinkFault sets a step's fault on its links, clears faults of a direction that the step leaves out, and marks
// discovery as unreachable if it is the target.
func (e *environment) setLinkFault(step chaos.Step) {
	e.setReachable(step, false)
	e.eachLink(step, func(link *faultproxy.Link) {
		for _, direction := range []faultproxy.Direction{faultproxy.ToTarget, faultproxy.FromTarget} {
			fault := faultproxy.Fault{}
			if step.Directions.Includes(direction) {
				fault = step.Fault
			}
			link.SetFault(direction, fault)
		}
	})
}

// healLinks clears all faults of a step's links, and marks discovery as reachable if it is the target.
func (e *environment) healLinks(step chaos.Step) {
	e.eachLink(step, (*faultproxy.Link).Heal)
	e.setReachable(step, true)
}

// eachLink calls visit for each link that a step affects.
func (e *environment) eachLink(step chaos.Step, visit func(*faultproxy.Link)) {
	selects := func(name string) bool { return name == linkName(step.Balancer, step.Target) }
	if step.Target == chaos.AllServers {
		selects = func(name string) bool { return strings.HasPrefix(name, serverLinkPrefix(step.Balancer)) }
	}
	e.proxies.Each(selects, visit)
}
