package loadtest

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"piernotch"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/storednames"
)

// Times of handovers.
const (
	reloadPause  = 100 * time.Millisecond  // after SIGHUP to both processes
	crashPause   = 1200 * time.Millisecond // until clients no longer use connections to a killed process
	drainPause   = time.Second             // from the check of a drain to the rejoin
	healthPause  = 150 * time.Millisecond  // from a drain or rejoin until the health check must show it
	minStopLimit = 3 * time.Second         // least time that the platform gives a process to exit
)

// scheduleHandovers plays each handover at its time, in a goroutine of e.background. It records errors.
func (e *environment) scheduleHandovers(ctx context.Context) {
	for _, handover := range e.opts.Handovers {
		e.background.Go(func() {
			sleep(ctx, handover.At-e.clock())
			if err := e.playHandover(ctx, e.balancers[handover.Balancer], handover); err != nil && ctx.Err() == nil {
				e.recordError(err)
			}
		})
	}
}

// playHandover waits for the end of the balancer's previous handover, then plays one unless the context is done.
func (e *environment) playHandover(ctx context.Context, target *balancer, played Handover) error {
	target.handover.Lock() // one handover at a time
	defer target.handover.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	old := target.current()
	next, err := target.spawn()
	if err != nil {
		return err
	}
	switch played.Kind {
	case HandoverCrashBeforeReady:
		_ = next.cmd.Process.Kill()
		<-next.exited
		e.finishHandover(played, target, old)
		return nil
	case HandoverStopBeforeReady:
		target.handTo(next, old)
	}
	spawned := time.Now()
	if err := next.awaitReady(ctx, readyTimeout); err != nil {
		return target.error(
			fmt.Sprintf(
				"handover %s at %v",
				storednames.Display(storednames.HandoverKinds, string(played.Kind)),
				played.At,
			),
			err,
		)
	}
	e.handovers.addReady(time.Since(spawned))
	if played.Kind == HandoverCrashAfterReady {
		e.crashNext(ctx, target, next, played)
		e.finishHandover(played, target, old)
		return nil
	}
	both := handoverProcesses{balancer: target, old: old, next: next}
	next, err = e.disturbHandover(ctx, played, both)
	if err != nil {
		return err
	}
	target.handTo(next, old)
	e.awaitExit(old)
	e.finishHandover(played, target, next)
	return nil
}

// handoverProcesses is a balancer with its old and new process during a handover.
type handoverProcesses struct {
	balancer *balancer
	old      *process
	next     *process
}

// disturbHandover plays the steps specific to a kind of handover, while both processes run. It returns the process that
// takes over.
func (e *environment) disturbHandover(ctx context.Context, played Handover, both handoverProcesses) (*process, error) {
	switch played.Kind {
	case HandoverLateStop:
		sleep(ctx, played.StopDelay)
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

// crashNext kills the new process StopDelay/3 after it became ready, and the requests in flight at it with it. It
// therefore excuses the balancer's open requests, and failures of later ones until crashPause after the exit.
func (e *environment) crashNext(ctx context.Context, target *balancer, next *process, played Handover) {
	sleep(ctx, played.StopDelay/3)
	e.observer.BalancerKilled(target.number)
	_ = next.cmd.Process.Kill()
	<-next.exited
	sleep(ctx, crashPause)
	e.observer.BalancerRecovered(target.number)
}

// handToThird hands over from the new process to a third one while the old one still runs. It waits for the
// new process's exit and returns the third.
func (e *environment) handToThird(ctx context.Context, target *balancer, next *process) (*process, error) {
	third, err := target.spawn()
	if err != nil {
		return nil, err
	}
	if err := third.awaitReady(ctx, readyTimeout); err != nil {
		return nil, target.error("third process", err)
	}
	target.handTo(third, next)
	e.awaitExit(next)
	return third, nil
}

// finishHandover makes the remaining process the balancer's current one and counts the handover as done.
func (e *environment) finishHandover(played Handover, target *balancer, left *process) {
	target.mu.Lock()
	target.process = left
	target.mu.Unlock()
	e.handovers.addDone(played.Kind)
}

// awaitExit waits as long as the platform does for a process to exit after SIGTERM, then kills it. It counts the
// outcome.
func (e *environment) awaitExit(old *process) {
	limit := minStopLimit
	for _, class := range e.realization.Classes {
		limit = max(limit, class.Deadline)
	}
	select {
	case <-old.exited:
		e.handovers.addExited()
	case <-time.After(limit + killGrace):
		e.handovers.addKilled()
		_ = old.cmd.Process.Kill()
		<-old.exited
	}
}

// excludeServer excludes a ready server, if there is one, at both processes, and includes it again at the new one, a
// second after the drain grace. Until then, the invariant on draining treats the server as draining for this balancer.
// The new process must also reject an unknown server's name.
func (e *environment) excludeServer(ctx context.Context, both handoverProcesses) {
	server, name, ok := e.fleet.Discovery().ReadyServer()
	if !ok {
		return
	}
	exclude := adminCall{method: http.MethodPost, path: "/api/exclude", server: name}
	e.expectStatus(ctx, both.old, exclude, http.StatusOK)
	notified := notification{
		balancer: invariants.BalancerIndex(both.balancer.number),
		server:   invariants.ServerIndex(server),
		state:    piernotch.Draining,
	}
	e.observer.EndpointNotified(notified)
	e.expectStatus(ctx, both.next, exclude, http.StatusOK)
	e.expectStatus(
		ctx,
		both.next,
		adminCall{method: http.MethodPost, path: "/api/exclude", server: "s-nobody"},
		http.StatusNotFound,
	)
	sleep(ctx, e.realization.Rules.DrainGrace+time.Second)
	notified.state = piernotch.Ready
	e.observer.EndpointNotified(notified)
	e.expectStatus(
		ctx,
		both.next,
		adminCall{method: http.MethodPost, path: "/api/include", server: name},
		http.StatusOK,
	)
}

// drainBalancer drains the balancer at its old process and has it rejoin at the new one. The health check must show the
// drain and the rejoin.
func (e *environment) drainBalancer(ctx context.Context, both handoverProcesses) {
	e.expectStatus(ctx, both.old, adminCall{method: http.MethodPost, path: "/api/evacuate"}, http.StatusOK)
	sleep(ctx, healthPause)
	if status := healthStatus(both.balancer.address); status == http.StatusOK {
		e.handovers.addProblem("/_health is still 200 %v after a drain", healthPause)
	}
	sleep(ctx, drainPause)
	e.expectStatus(ctx, both.next, adminCall{method: http.MethodPost, path: "/api/rejoin"}, http.StatusOK)
	sleep(ctx, healthPause)
	if status := healthStatus(both.balancer.address); status != http.StatusOK {
		e.handovers.addProblem("/_health is %d %v after a drain ended", status, healthPause)
	}
}
