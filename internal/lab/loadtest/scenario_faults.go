package loadtest

import (
	"context"
	"syscall"
	"time"

	"piernotch/internal/lab/scenario"
)

// Times of a balancer's shutdown.
const (
	// unrouteDelay is the time after a balancer's SIGTERM during which clients still use the balancer as before.
	unrouteDelay = 300 * time.Millisecond
	// restartTimeout is how long a balancer may take to exit after SIGTERM before it is killed.
	restartTimeout = 10 * time.Second
)

// Kinds of a scenario's faults that this package plays. The values are those of scenario files.
const (
	faultMalformedClients = "rude"
	faultDiscoveryMove    = "roster_move"
	faultBalancerCrash    = "balancer_crash"
	faultBalancerRestart  = "balancer_restart"
)

// scheduleScenarioFaults schedules the realization's crashes and restarts of balancers, moves of discovery's address,
// and malformed clients. The emulator plays the other faults.
func (e *environment) scheduleScenarioFaults(ctx context.Context) {
	e.malformed.Pick = e.pickBalancer
	for i := range e.realization.Faults {
		fault := &e.realization.Faults[i]
		switch fault.Kind {
		case faultMalformedClients:
			e.at(ctx, fault.At, func() {
				ctx, stop := context.WithTimeout(ctx, fault.For)
				defer stop()
				e.malformed.Run(ctx, fault.Size, e.realization.Seed+uint64(i))
			})
		case faultDiscoveryMove:
			for _, target := range e.balancers {
				e.at(ctx, fault.At, func() { e.moveDiscovery(ctx, target) })
			}
		case faultBalancerCrash:
			for _, number := range fault.Balancers {
				e.scheduleCrash(ctx, fault, e.balancers[number])
			}
		case faultBalancerRestart:
			for position, number := range fault.Balancers {
				target := e.balancers[number]
				e.at(ctx, fault.At+fault.Every*time.Duration(position), func() { e.restart(ctx, fault, target) })
			}
		}
	}
}

// at calls do in a new goroutine at a time of the run, unless the context is done or the realization has ended by then.
func (e *environment) at(ctx context.Context, due time.Duration, do func()) {
	time.AfterFunc(max(due-e.clock(), 0), func() {
		if ctx.Err() == nil && e.clock() < e.realization.Length {
			do()
		}
	})
}

// scheduleCrash schedules a balancer's kill, its relaunch, and its removal from routing if it is still down after
// the failover delay.
func (e *environment) scheduleCrash(ctx context.Context, fault *scenario.Fault, target *balancer) {
	e.at(ctx, fault.At, func() {
		e.observer.BalancerKilled(target.number)
		<-target.signal(syscall.SIGKILL)
	})
	e.at(ctx, fault.At+e.realization.FailoverDelay, func() {
		if target.isStopping() { // not relaunched yet
			target.route(notRouted)
		}
	})
	e.at(ctx, fault.End(), func() { e.relaunch(ctx, target) })
}

// restart stops a balancer with SIGTERM and, after restartTimeout, SIGKILL, and relaunches it fault.For after the exit.
// From unrouteDelay after SIGTERM to the relaunch, clients avoid the balancer.
func (e *environment) restart(ctx context.Context, fault *scenario.Fault, target *balancer) {
	exited := target.signal(syscall.SIGTERM)
	time.AfterFunc(unrouteDelay, func() { target.route(notRouted) })
	select {
	case <-exited:
	case <-time.After(restartTimeout):
		e.observer.BalancerKilled(target.number)
		<-target.signal(syscall.SIGKILL)
	}
	time.Sleep(fault.For)
	if ctx.Err() == nil {
		e.relaunch(ctx, target)
	}
}

func (e *environment) relaunch(ctx context.Context, target *balancer) {
	if err := e.launch(ctx, target); err != nil && ctx.Err() == nil {
		e.recordError(err)
	}
}

// moveDiscovery moves a balancer's discovery to another address and, unless the balancer is stopping, has it reload the
// new configuration.
func (e *environment) moveDiscovery(ctx context.Context, target *balancer) {
	err := e.fleet.Discovery().Move(ctx, target.number)
	if err == nil {
		err = e.configure(target)
	}
	if err != nil {
		e.recordError(err)
		return
	}
	if !target.isStopping() {
		target.signal(syscall.SIGHUP)
	}
}
