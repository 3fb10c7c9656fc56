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

// link is the name of the link from a balancer to a server or to the roster.
func link(balancer, to int) string {
	if to == chaos.Discovery {
		return fmt.Sprintf("n%d>roster", balancer)
	}
	return fmt.Sprintf("n%d>s%d", balancer, to)
}

// through is where a balancer reaches an address: at the address itself, or at the relay before it.
func (r *rig) through(balancer, to int, address string) string {
	if r.net == nil {
		return address
	}
	l, err := r.net.Link(link(balancer, to), address)
	if err != nil {
		if !r.ended.Load() {
			r.failed(fmt.Errorf("link %s: %w", link(balancer, to), err))
		}
		return address
	}
	return l.Address()
}

// told passes on what the roster told a balancer, once it has arrived: a cut link holds it back.
func (r *rig) told(balancer, server int, state piernotch.State, born time.Duration) {
	if r.shared != nil {
		r.shared.told(r, balancer, server, state, born)
		return
	}
	if r.net == nil {
		r.judge.Told(balancer, server, state, born)
		return
	}
	l, err := r.net.Link(link(balancer, chaos.Discovery), r.fleet.Roster().Address(balancer))
	if err != nil {
		return
	}
	go func() {
		if l.Delivered(faultproxy.Back) {
			r.judge.Told(balancer, server, state, born)
		}
	}()
}

// faults plays a schedule of faults between processes.
func (r *rig) faults(ctx context.Context, steps []chaos.Step) {
	for _, s := range steps {
		r.over.Go(func() {
			if sleep(ctx, s.At-r.clock()); ctx.Err() == nil {
				r.fault(ctx, s)
			}
		})
	}
}

func (r *rig) fault(ctx context.Context, s chaos.Step) {
	p := r.procs[s.Balancer]
	rest := func() { sleep(ctx, s.End()-r.clock()) }
	switch s.Action {
	case chaos.PauseBalancer:
		u := p.current()
		r.judge.Paused(s.Balancer)
		_ = u.cmd.Process.Signal(syscall.SIGSTOP)
		rest()
		_ = u.cmd.Process.Signal(syscall.SIGCONT)
		sleep(ctx, time.Second) // what waited has been answered late
		r.judge.Revived(s.Balancer)
	case chaos.KillBalancer:
		r.judge.Killed(s.Balancer)
		<-p.signal(syscall.SIGKILL)
		rest()
		if err := r.launch(ctx, p); err != nil && ctx.Err() == nil {
			r.failed(err)
		}
	case chaos.FlapLink:
		for on := true; r.clock() < s.End() && ctx.Err() == nil; on = !on {
			r.set(s, on)
			sleep(ctx, min(chaos.FlapInterval, s.End()-r.clock()))
		}
		r.set(s, false)
	default:
		r.set(s, true)
		rest()
		r.set(s, false)
	}
}

// set has the links of a step fail, or be whole again.
func (r *rig) set(s chaos.Step, fails bool) {
	which := func(name string) bool { return name == link(s.Balancer, s.Target) }
	if s.Target == chaos.AllServers {
		which = func(name string) bool { return strings.HasPrefix(name, fmt.Sprintf("n%d>s", s.Balancer)) }
	}
	r.net.Each(which, func(l *faultproxy.Link) {
		for _, d := range []faultproxy.Direction{faultproxy.There, faultproxy.Back} {
			f := faultproxy.Fault{}
			if fails && s.Directions.Includes(d) {
				f = s.Fault
			}
			l.Set(d, f)
		}
	})
}
