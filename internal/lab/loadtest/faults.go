package loadtest

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"piernotch"
	"piernotch/internal/lab/chaos"
	"piernotch/internal/lab/faultproxy"
)

// resumePause is how long after a pause a balancer may still answer late: what waited is answered first.
const resumePause = time.Second

// linkName is the name of the link from a balancer to a server or to discovery.
func linkName(balancer, target int) string {
	if target == chaos.Discovery {
		return fmt.Sprintf("n%d>roster", balancer)
	}
	return fmt.Sprintf("n%d>s%d", balancer, target)
}

// serverLinkPrefix is how the names of a balancer's links to servers begin.
func serverLinkPrefix(balancer int) string { return fmt.Sprintf("n%d>s", balancer) }

// routeThroughProxy returns where a balancer reaches an address: the address itself, or that of the proxy
// before it.
func (e *environment) routeThroughProxy(balancer, target int, address string) string {
	if e.proxies == nil {
		return address
	}
	l, err := e.proxies.Link(linkName(balancer, target), address)
	if err != nil {
		if !e.stopped.Load() {
			e.recordError(fmt.Errorf("link %s: %w", linkName(balancer, target), err))
		}
		return address
	}
	return l.Address()
}

// endpointNotified passes on that discovery has written a server's state to a balancer, once it has
// arrived: a link that is cut holds it back.
func (e *environment) endpointNotified(balancer, server int, state piernotch.State, startedAt time.Duration) {
	if e.sharedWatch != nil {
		e.sharedWatch.endpointNotified(e, notification{balancer, server, state, startedAt})
		return
	}
	if e.proxies == nil {
		e.observer.EndpointNotified(balancer, server, state, startedAt)
		return
	}
	l, err := e.proxies.Link(linkName(balancer, chaos.Discovery), e.fleet.Discovery().Address(balancer))
	if err != nil {
		return
	}
	go func() { // ends when the link heals, is reset or is closed
		if l.Delivered(faultproxy.FromTarget) {
			e.observer.EndpointNotified(balancer, server, state, startedAt)
		}
	}()
}

// scheduleFaults plays the schedule of faults between processes. Its goroutines end with the faults, and
// are waited for as background.
func (e *environment) scheduleFaults(ctx context.Context) {
	for _, s := range e.opts.Faults {
		e.background.Go(func() {
			sleep(ctx, s.At-e.clock())
			if ctx.Err() == nil {
				e.playFault(ctx, s)
			}
		})
	}
}

// playFault plays one step of a schedule, from now until its end.
func (e *environment) playFault(ctx context.Context, s chaos.Step) {
	p := e.balancers[s.Balancer]
	awaitEnd := func() { sleep(ctx, s.End()-e.clock()) }
	switch s.Action {
	case chaos.PauseBalancer:
		paused := p.current()
		e.observer.BalancerPaused(s.Balancer)
		_ = paused.cmd.Process.Signal(syscall.SIGSTOP)
		awaitEnd()
		_ = paused.cmd.Process.Signal(syscall.SIGCONT)
		sleep(ctx, resumePause)
		e.observer.BalancerRecovered(s.Balancer)
	case chaos.KillBalancer:
		e.observer.BalancerKilled(s.Balancer)
		<-p.signal(syscall.SIGKILL)
		awaitEnd()
		e.relaunch(ctx, p)
	case chaos.FlapLink:
		for faulty := true; e.clock() < s.End() && ctx.Err() == nil; faulty = !faulty {
			e.setLinkFault(s, faulty)
			sleep(ctx, min(chaos.FlapInterval, s.End()-e.clock()))
		}
		e.setLinkFault(s, false)
	default:
		e.setLinkFault(s, true)
		awaitEnd()
		e.setLinkFault(s, false)
	}
}

// setLinkFault puts a step's fault on its links, or heals them.
func (e *environment) setLinkFault(s chaos.Step, faulty bool) {
	selects := func(name string) bool { return name == linkName(s.Balancer, s.Target) }
	if s.Target == chaos.AllServers {
		selects = func(name string) bool { return strings.HasPrefix(name, serverLinkPrefix(s.Balancer)) }
	}
	e.proxies.Each(selects, func(l *faultproxy.Link) {
		for _, d := range []faultproxy.Direction{faultproxy.ToTarget, faultproxy.FromTarget} {
			fault := faultproxy.Fault{}
			if faulty && s.Directions.Includes(d) {
				fault = s.Fault
			}
			l.SetFault(d, fault)
		}
	})
}
