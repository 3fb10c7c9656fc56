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

// linkName is the name of the link from a balancer to a server or to the roster.
func linkName(balancer, to int) string {
	if to == chaos.Discovery {
		return fmt.Sprintf("n%d>roster", balancer)
	}
	return fmt.Sprintf("n%d>s%d", balancer, to)
}

// routeThroughProxy is where a balancer reaches an address: at the address itself, or at the relay before it.
func (r *environment) routeThroughProxy(balancer, to int, address string) string {
	if r.proxies == nil {
		return address
	}
	l, err := r.proxies.Link(linkName(balancer, to), address)
	if err != nil {
		if !r.stopped.Load() {
			r.recordError(fmt.Errorf("link %s: %w", linkName(balancer, to), err))
		}
		return address
	}
	return l.Address()
}

// endpointNotified passes on what the roster told a balancer, once it has arrived: a cut link holds it back.
func (r *environment) endpointNotified(balancer, server int, state piernotch.State, born time.Duration) {
	if r.sharedWatch != nil {
		r.sharedWatch.endpointNotified(r, balancer, server, state, born)
		return
	}
	if r.proxies == nil {
		r.observer.EndpointNotified(balancer, server, state, born)
		return
	}
	l, err := r.proxies.Link(linkName(balancer, chaos.Discovery), r.fleet.Discovery().Address(balancer))
	if err != nil {
		return
	}
	go func() {
		if l.Delivered(faultproxy.Back) {
			r.observer.EndpointNotified(balancer, server, state, born)
		}
	}()
}

// scheduleFaults plays a schedule of faults between processes.
func (r *environment) scheduleFaults(ctx context.Context, steps []chaos.Step) {
	for _, s := range steps {
		r.background.Go(func() {
			if sleep(ctx, s.At-r.clock()); ctx.Err() == nil {
				r.playFault(ctx, s)
			}
		})
	}
}

func (r *environment) playFault(ctx context.Context, s chaos.Step) {
	p := r.balancers[s.Balancer]
	rest := func() { sleep(ctx, s.End()-r.clock()) }
	switch s.Action {
	case chaos.PauseBalancer:
		u := p.current()
		r.observer.BalancerPaused(s.Balancer)
		_ = u.cmd.Process.Signal(syscall.SIGSTOP)
		rest()
		_ = u.cmd.Process.Signal(syscall.SIGCONT)
		sleep(ctx, time.Second) // what waited has been answered late
		r.observer.BalancerRecovered(s.Balancer)
	case chaos.KillBalancer:
		r.observer.BalancerKilled(s.Balancer)
		<-p.signal(syscall.SIGKILL)
		rest()
		if err := r.launch(ctx, p); err != nil && ctx.Err() == nil {
			r.recordError(err)
		}
	case chaos.FlapLink:
		for on := true; r.clock() < s.End() && ctx.Err() == nil; on = !on {
			r.setLinkFault(s, on)
			sleep(ctx, min(chaos.FlapInterval, s.End()-r.clock()))
		}
		r.setLinkFault(s, false)
	default:
		r.setLinkFault(s, true)
		rest()
		r.setLinkFault(s, false)
	}
}

// setLinkFault has the links of a step fail, or be whole again.
func (r *environment) setLinkFault(s chaos.Step, fails bool) {
	which := func(name string) bool { return name == linkName(s.Balancer, s.Target) }
	if s.Target == chaos.AllServers {
		which = func(name string) bool { return strings.HasPrefix(name, fmt.Sprintf("n%d>s", s.Balancer)) }
	}
	r.proxies.Each(which, func(l *faultproxy.Link) {
		for _, d := range []faultproxy.Direction{faultproxy.There, faultproxy.Back} {
			f := faultproxy.Fault{}
			if fails && s.Directions.Includes(d) {
				f = s.Fault
			}
			l.Set(d, f)
		}
	})
}
