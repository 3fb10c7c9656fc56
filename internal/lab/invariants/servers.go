package invariants

import (
	"fmt"
	"time"

	"piernotch"
)

// arrivedWork is work that arrived at a server in slow start.
type arrivedWork struct {
	at       time.Duration
	balancer int32
	notified bool    // the balancer was notified of this start of the server
	work     float64 // ms
}

// EndpointNotified records that a balancer was notified of a server's state by the endpoint list.
// startedAt is when the server's process started; 0: long ago.
func (c *Checker) EndpointNotified(at time.Duration, balancer, server int, state piernotch.State, startedAt time.Duration) {
	key := balancerServer{int32(balancer), int32(server)}
	if state == piernotch.Ready {
		delete(c.unavailableSince, key)
		if startedAt > 0 {
			c.startedAt[key] = startedAt
		}
		return
	}
	if _, ok := c.unavailableSince[key]; !ok {
		c.unavailableSince[key] = at
	}
}

// BalancerRestarted records that a balancer starts with nothing: what its predecessor was notified of
// does not count.
func (c *Checker) BalancerRestarted(balancer int) {
	for key := range c.unavailableSince {
		if key.balancer == int32(balancer) {
			delete(c.unavailableSince, key)
		}
	}
	for key := range c.startedAt {
		if key.balancer == int32(balancer) {
			delete(c.startedAt, key)
		}
	}
}

// SlowStartWork records that work, ms, from a balancer arrived at a server in slow start, whose
// process started at startedAt.
func (c *Checker) SlowStartWork(at time.Duration, balancer, server int, startedAt time.Duration, work float64) {
	list := c.slowStartWork[int32(server)]
	for len(list) > 0 && list[0].at <= at-c.limits.CollapseWindow {
		list = list[1:]
	}
	notified := c.startedAt[balancerServer{int32(balancer), int32(server)}] == startedAt
	c.slowStartWork[int32(server)] = append(list, arrivedWork{at, int32(balancer), notified, work})
}

// ServerCollapsed records that a server collapsed in slow start. It breaks the rule if two thirds of
// the work that it got came from balancers that were notified of its start.
func (c *Checker) ServerCollapsed(at time.Duration, server int) {
	list := c.slowStartWork[int32(server)]
	total, notified := 0.0, 0.0
	balancers := map[int32]bool{}
	last := -1
	for _, w := range list {
		total += w.work
		balancers[w.balancer] = true
		last = int(w.balancer)
		if w.notified {
			notified += w.work
		}
	}
	if total == 0 || notified < total*2/3 {
		return
	}
	var steps []string
	for _, w := range list {
		steps = append(steps, w.describe())
	}
	c.report(Violation{
		Rule: SlowStart, At: at, Balancer: last, Server: server, Steps: steps,
		Message: fmt.Sprintf("pushed over by %.0f ms of work within %v, from %d balancers", total, c.limits.CollapseWindow, len(balancers)),
	})
}

// describe returns the arrival in one line.
func (w *arrivedWork) describe() string {
	line := fmt.Sprintf("%.6f s: %.1f ms of work from balancer %d", w.at.Seconds(), w.work, w.balancer)
	if w.notified {
		line += ", which knew of its start"
	}
	return line
}
