package loadtest

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"piernotch"
)

// Pauses of handovers.
const (
	reloadPause  = 100 * time.Millisecond  // after a reload of both processes
	crashPause   = 1200 * time.Millisecond // until clients have no connection to a killed process
	drainPause   = time.Second             // between a drain and its end
	healthPause  = 150 * time.Millisecond  // until the health check has to show a drain or its end
	minStopLimit = 3 * time.Second         // that the platform gives a process to end, at least
)

// scheduleHandovers plays the day's handovers. Its goroutines end with them, and are waited for as
// background.
func (e *environment) scheduleHandovers(ctx context.Context) {
	for _, h := range e.opts.Handovers {
		e.background.Go(func() {
			sleep(ctx, h.At-e.clock())
			if err := e.playHandover(ctx, e.balancers[h.Balancer], h); err != nil && ctx.Err() == nil {
				e.recordError(err)
			}
		})
	}
}

// playHandover plays one handover of a balancer.
func (e *environment) playHandover(ctx context.Context, p *process, h Handover) error {
	p.handover.Lock() // one after the other
	defer p.handover.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	old := p.current()
	next, err := p.spawn()
	if err != nil {
		return err
	}
	switch h.Kind {
	case HandoverCrashBeforeReady:
		_ = next.cmd.Process.Kill()
		<-next.exited
		e.finishHandover(h, p, old)
		return nil
	case HandoverStopBeforeReady:
		p.handTo(next, old)
	}
	spawned := time.Now()
	if err := next.awaitReady(ctx, readyTimeout); err != nil {
		return p.error(fmt.Sprintf("hand-over %s at %v", h.Kind, h.At), err)
	}
	e.handovers.addReady(time.Since(spawned))
	if h.Kind == HandoverCrashAfterReady {
		e.crashNext(ctx, p, next, h)
		e.finishHandover(h, p, old)
		return nil
	}
	both := instances{balancer: p, old: old, next: next}
	next, err = e.disturbHandover(ctx, h, both)
	if err != nil {
		return err
	}
	p.handTo(next, old)
	e.awaitExit(old)
	e.finishHandover(h, p, next)
	return nil
}

// instances are the two instances of a balancer during a handover.
type instances struct {
	balancer *process
	old      *instance
	next     *instance
}

// disturbHandover does what makes a handover special while both instances run. It returns the instance
// that takes over.
func (e *environment) disturbHandover(ctx context.Context, h Handover, both instances) (*instance, error) {
	switch h.Kind {
	case HandoverLateStop:
		sleep(ctx, h.StopDelay)
	case HandoverBothReload:
		_ = both.old.cmd.Process.Signal(syscall.SIGHUP)
		_ = both.next.cmd.Process.Signal(syscall.SIGHUP)
		sleep(ctx, reloadPause)
	case HandoverThirdProcess:
		return e.handToThird(ctx, both.balancer, both.next)
	case HandoverExclude:
		e.excludeServer(ctx, both)
	case HandoverDrain:
		e.drainBalancer(ctx, both)
	}
	return both.next, nil
}

// crashNext kills the new instance, and what it holds with it.
func (e *environment) crashNext(ctx context.Context, p *process, next *instance, h Handover) {
	sleep(ctx, h.StopDelay/3)
	e.observer.BalancerKilled(p.number)
	_ = next.cmd.Process.Kill()
	<-next.exited
	sleep(ctx, crashPause)
	e.observer.BalancerRecovered(p.number)
}

// handToThird hands over from the new instance to a third one while the old one still runs.
func (e *environment) handToThird(ctx context.Context, p *process, next *instance) (*instance, error) {
	third, err := p.spawn()
	if err != nil {
		return nil, err
	}
	if err := third.awaitReady(ctx, readyTimeout); err != nil {
		return nil, p.error("third process", err)
	}
	p.handTo(third, next)
	e.awaitExit(next)
	return third, nil
}

// finishHandover notes that a handover has come to its end, with one instance left.
func (e *environment) finishHandover(h Handover, p *process, left *instance) {
	p.mu.Lock()
	p.instance = left
	p.mu.Unlock()
	e.handovers.addDone(h.Kind)
}

// awaitExit waits for an instance that was told to end, as long as the platform does, and kills it then.
func (e *environment) awaitExit(old *instance) {
	limit := minStopLimit
	for _, class := range e.realization.Classes {
		limit = max(limit, class.Deadline)
	}
	select {
	case <-old.exited:
		e.handovers.addExit(false)
	case <-time.After(limit + killGrace):
		e.handovers.addExit(true)
		_ = old.cmd.Process.Kill()
		<-old.exited
	}
}

// excludeServer excludes a server at one instance and includes it again at the other. The balancer is
// held to the rule on drains meanwhile, and has to reject the name of no server.
func (e *environment) excludeServer(ctx context.Context, both instances) {
	server, name, ok := e.fleet.Discovery().ReadyServer()
	if !ok {
		return
	}
	exclude := adminCall{http.MethodPost, "/api/exclude", name}
	e.expectStatus(ctx, both.old, exclude, http.StatusOK)
	e.observer.EndpointNotified(both.balancer.number, server, piernotch.Draining, 0)
	e.expectStatus(ctx, both.next, exclude, http.StatusOK)
	e.expectStatus(ctx, both.next, adminCall{http.MethodPost, "/api/exclude", "s-nobody"}, http.StatusNotFound)
	sleep(ctx, e.realization.Rules.DrainGrace+time.Second)
	e.observer.EndpointNotified(both.balancer.number, server, piernotch.Ready, 0)
	e.expectStatus(ctx, both.next, adminCall{http.MethodPost, "/api/include", name}, http.StatusOK)
}

// drainBalancer drains the balancer at one instance and has it rejoin at the other.
func (e *environment) drainBalancer(ctx context.Context, both instances) {
	e.expectStatus(ctx, both.old, adminCall{method: http.MethodPost, path: "/api/evacuate"}, http.StatusOK)
	sleep(ctx, healthPause)
	if status := healthStatus(both.balancer.address); status == http.StatusOK {
		e.handovers.addProblem("/_health says yes 150 ms after a drain")
	}
	sleep(ctx, drainPause)
	e.expectStatus(ctx, both.next, adminCall{method: http.MethodPost, path: "/api/rejoin"}, http.StatusOK)
	sleep(ctx, healthPause)
	if status := healthStatus(both.balancer.address); status != http.StatusOK {
		e.handovers.addProblem("/_health says %d 150 ms after a drain ended", status)
	}
}
