package emulator

import "time"

// notifyLimit is the time after which a balancer counts as notified of a listed change, if the balancer could
// reach discovery all that time. It does not matter whether the balancer called, or how its calls ended (protocol
// page, "Figures").
const notifyLimit = 6 * time.Second

// notifyState is what one balancer was notified of, and since when it can reach discovery.
type notifyState struct {
	received       uint64        // the latest generation that the balancer has received
	overdue        uint64        // generation of the latest change that was reported as overdue
	faults         int           // ongoing faults that keep the balancer from reaching discovery, not counting outages
	reachableSince time.Duration // time of the run; valid while no fault or outage is ongoing
}

// Received records that a balancer has received a list of a generation, and updates SlowestNotification.
func (d *Discovery) Received(balancer int, generation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slowest = max(d.slowest, d.delayLocked(balancer))
	state := &d.limits[balancer]
	state.received = max(state.received, generation)
}

// SlowestNotification returns the longest time for which a balancer that could reach discovery did not receive
// a listed change, including changes not received yet.
func (d *Discovery) SlowestNotification() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	slowest := d.slowest
	for balancer := range d.limits {
		slowest = max(slowest, d.delayLocked(balancer))
	}
	return slowest
}

// delayLocked returns for how long a balancer could have received the oldest listed change that it lacks. The
// delay is 0 if the balancer lacks none or cannot reach discovery. The caller holds the lock.
func (d *Discovery) delayLocked(balancer int) time.Duration {
	state := &d.limits[balancer]
	if d.outages > 0 || state.faults > 0 {
		return 0
	}
	delay := time.Duration(0)
	for _, listed := range d.endpoints {
		if listed.generation > state.received {
			delay = max(delay, d.fleet.clock()-max(listed.listedAt, state.reachableSince))
		}
	}
	return delay
}

// SetReachable records that a fault which keeps a balancer from reaching discovery begins (false) or ends
// (true). Such faults may overlap; each must be ended.
func (d *Discovery) SetReachable(balancer int, reachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !reachable {
		d.limits[balancer].faults++
		return
	}
	d.limits[balancer].faults--
	d.reachableLocked(balancer)
}

// reachableLocked records the end of a fault or outage: unless another one is ongoing, the balancer can reach
// discovery from now on. It schedules notifyOverdue. The caller holds the lock.
func (d *Discovery) reachableLocked(balancer int) {
	d.limits[balancer].reachableSince = d.fleet.clock()
	d.timers = append(d.timers, time.AfterFunc(notifyLimit, d.notifyOverdue))
}

// notifyOverdue reports to EndpointNotified the changes that balancers newly count as notified of, after
// notifyLimit. During an outage it does nothing.
func (d *Discovery) notifyOverdue() {
	if d.notified == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.outages > 0 {
		return
	}
	for balancer := range d.limits {
		for _, overdue := range d.overdueLocked(balancer) {
			d.notified(overdue)
		}
	}
}

// overdueLocked returns the changes that a balancer newly counts as notified of, and records them: each is
// returned once. The caller holds the lock.
func (d *Discovery) overdueLocked(balancer int) []Notification {
	state := &d.limits[balancer]
	due := d.fleet.clock() - notifyLimit
	if state.faults > 0 || state.reachableSince > due {
		return nil
	}
	var notifications []Notification
	from := max(state.received, state.overdue)
	for server, listed := range d.endpoints {
		if listed.generation <= from || listed.listedAt > due {
			continue
		}
		state.overdue = max(state.overdue, listed.generation)
		notifications = append(notifications, Notification{
			Balancer: balancer, Server: server, State: listed.state, StartedAt: listed.startedAt,
			Generation: listed.generation,
		})
	}
	return notifications
}
