package invariants

import (
	"fmt"
	"time"

	"piernotch"
)

// arrivedWork is work that arrived at a server in slow start.
type arrivedWork struct {
	at       time.Duration
	balancer BalancerIndex
	notified bool    // whether the balancer was notified of this start of the server
	work     float64 // ms
}

// NotifiedEndpoint is the notification of one balancer about the state of one server.
type NotifiedEndpoint struct {
	At        time.Duration
	Balancer  BalancerIndex
	Server    ServerIndex
	State     piernotch.State
	StartedAt time.Duration // when the server's process started; 0: before the run
}

// EndpointNotified records that a balancer was notified of a server's state. Limits.Grace
// counts from the first notification of Draining or Gone after the last one of Ready.
func (c *Checker) EndpointNotified(notified NotifiedEndpoint) {
	key := balancerServer{notified.Balancer, notified.Server}
	if notified.State == piernotch.Ready {
		delete(c.unavailableSince, key)
		if notified.StartedAt > 0 {
			c.startedAt[key] = notified.StartedAt
		}
		return
	}
	if _, ok := c.unavailableSince[key]; !ok {
		c.unavailableSince[key] = notified.At
	}
}

// BalancerRestarted records that a balancer's new process has no state: earlier notifications no longer count.
func (c *Checker) BalancerRestarted(balancer BalancerIndex) {
	for key := range c.unavailableSince {
		if key.balancer == balancer {
			delete(c.unavailableSince, key)
		}
	}
	for key := range c.startedAt {
		if key.balancer == balancer {
			delete(c.startedAt, key)
		}
	}
}

// SlowStartArrival is work that arrived from a balancer at a server in slow start.
type SlowStartArrival struct {
	At        time.Duration
	Balancer  BalancerIndex
	Server    ServerIndex
	StartedAt time.Duration // when the server's process started
	Work      float64       // ms
}

// SlowStartWork records work that arrived at a server in slow start, and forgets the server's work that is older
// than CollapseWindow.
func (c *Checker) SlowStartWork(arrival SlowStartArrival) {
	recent := c.slowStartWork[arrival.Server]
	for len(recent) > 0 && recent[0].at <= arrival.At-c.limits.CollapseWindow {
		recent = recent[1:]
	}
	notifiedStart := c.startedAt[balancerServer{arrival.Balancer, arrival.Server}]
	c.slowStartWork[arrival.Server] = append(recent, arrivedWork{
		at:       arrival.At,
		balancer: arrival.Balancer,
		notified: notifiedStart == arrival.StartedAt,
		work:     arrival.Work,
	})
}

// ServerCollapsed records that a server collapsed in slow start. This violates SlowStart if at least two
// thirds of the work in CollapseWindow came from balancers that were notified of the server's start.
func (c *Checker) ServerCollapsed(at time.Duration, server ServerIndex) {
	arrivals := c.slowStartWork[server]
	total, notified := 0.0, 0.0
	balancers := map[BalancerIndex]bool{}
	last := unknownBalancer
	for i := range arrivals {
		arrival := &arrivals[i]
		total += arrival.work
		balancers[arrival.balancer] = true
		last = arrival.balancer
		if arrival.notified {
			notified += arrival.work
		}
	}
	// If over a third of the work came from balancers that could not know of the start, these may have caused the
	// collapse.
	mostlyNotified := notified >= total*2/3
	if total == 0 || !mostlyNotified {
		return
	}
	var steps []string
	for i := range arrivals {
		steps = append(steps, arrivals[i].describe())
	}
	c.report(Violation{
		Rule:     SlowStart,
		At:       at,
		Balancer: last,
		Server:   server,
		Steps:    steps,
		Message: fmt.Sprintf(
			"collapsed under %.0f ms of work within %v, from %d balancers",
			total,
			c.limits.CollapseWindow,
			len(balancers),
		),
	})
}

func (w *arrivedWork) describe() string {
	line := fmt.Sprintf("%.6f s: %.1f ms of work from balancer %d", w.at.Seconds(), w.work, w.balancer)
	if w.notified {
		line += ", notified of its start"
	}
	return line
}
