package loadtest

import (
	"context"
	"syscall"
	"time"

	"piernotch/internal/lab/scenario"
)

// Times of a restart.
const (
	// unrouteDelay is how long after a SIGTERM clients still go to the balancer.
	unrouteDelay = 300 * time.Millisecond
	// restartTimeout is how long a balancer may take to end before it is killed.
	restartTimeout = 10 * time.Second
)

// scheduleIncidents plays those of the day's incidents that concern balancers, their discovery's address
// and malformed requests. The emulator plays the others.
func (e *environment) scheduleIncidents(ctx context.Context) {
	e.malformed.Pick = e.pickBalancer
	for i := range e.realization.Faults {
		incident := &e.realization.Faults[i]
		switch incident.Kind {
		case "rude":
			e.at(ctx, incident.At, func() {
				ctx, stop := context.WithTimeout(ctx, incident.For)
				defer stop()
				e.malformed.Run(ctx, incident.Size, e.realization.Seed+uint64(i))
			})
		case "roster_move":
			for _, p := range e.balancers {
				e.at(ctx, incident.At, func() { e.moveDiscovery(p) })
			}
		case "balancer_crash":
			for _, balancer := range incident.Balancers {
				e.scheduleCrash(ctx, incident, e.balancers[balancer])
			}
		case "balancer_restart":
			for n, balancer := range incident.Balancers {
				p := e.balancers[balancer]
				e.at(ctx, incident.At+incident.Every*time.Duration(n), func() { e.restart(ctx, incident, p) })
			}
		}
	}
}

// at calls do at a time of the day, on a goroutine of its own, unless the day or the context has ended by
// then.
func (e *environment) at(ctx context.Context, t time.Duration, do func()) {
	time.AfterFunc(max(t-e.clock(), 0), func() {
		if ctx.Err() == nil && e.clock() < e.realization.Length {
			do()
		}
	})
}

// scheduleCrash kills a balancer, has clients avoid it when the front has noticed, and launches it again.
func (e *environment) scheduleCrash(ctx context.Context, incident *scenario.Fault, p *process) {
	e.at(ctx, incident.At, func() {
		e.observer.BalancerKilled(p.number)
		<-p.signal(syscall.SIGKILL)
	})
	e.at(ctx, incident.At+e.realization.FailoverDelay, func() {
		if p.isStopping() { // it is not back yet
			p.setRouted(false)
		}
	})
	e.at(ctx, incident.End(), func() { e.relaunch(ctx, p) })
}

// restart shuts a balancer down gracefully and launches it again.
func (e *environment) restart(ctx context.Context, incident *scenario.Fault, p *process) {
	exited := p.signal(syscall.SIGTERM)
	time.AfterFunc(unrouteDelay, func() { p.setRouted(false) })
	select {
	case <-exited:
	case <-time.After(restartTimeout):
		e.observer.BalancerKilled(p.number)
		<-p.signal(syscall.SIGKILL)
	}
	time.Sleep(incident.For)
	if ctx.Err() == nil {
		e.relaunch(ctx, p)
	}
}

func (e *environment) relaunch(ctx context.Context, p *process) {
	if err := e.launch(ctx, p); err != nil && ctx.Err() == nil {
		e.recordError(err)
	}
}

// moveDiscovery moves a balancer's discovery to another address, and has the balancer reload its
// configuration.
func (e *environment) moveDiscovery(p *process) {
	err := e.fleet.Discovery().Move(p.number)
	if err == nil {
		err = e.configure(p)
	}
	if err != nil {
		e.recordError(err)
		return
	}
	if !p.isStopping() {
		p.signal(syscall.SIGHUP)
	}
}
