package emulator

import "time"

// notifyLimit is how long after a change was listed, and discovery could be reached, a balancer counts as
// notified of it, whether or not it has asked, and whatever became of its calls (protocol page, "Figures").
const notifyLimit = 6 * time.Second

// notifyState is what a balancer knows of the list, and since when it could know more.
type notifyState struct {
	received       uint64        // the last generation that reached it
	overdue        uint64        // up to this generation it counts as notified
	faults         int           // that go on, and keep it from reaching discovery; outages are counted apart
	reachableSince time.Duration // time of the run; valid while there are no faults
}

// Received notes that a list of a generation has reached a balancer.
func (d *Discovery) Received(balancer int, generation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slowest = max(d.slowest, d.delayLocked(balancer))
	state := &d.limits[balancer]
	state.received = max(state.received, generation)
}

// SlowestNotification returns the longest time that a balancer which could reach discovery has been, or was,
// without a change that was listed.
func (d *Discovery) SlowestNotification() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	slowest := d.slowest
	for balancer := range d.limits {
		slowest = max(slowest, d.delayLocked(balancer))
	}
	return slowest
}

// delayLocked returns for how long a balancer could have known the earliest change that did not reach it; 0
// if there is none, or it cannot reach discovery. The lock is held.
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

// SetReachable says that something keeps a balancer from reaching discovery, or that this has ended. Such
// faults may overlap.
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

// reachableLocked notes that a balancer can reach discovery from now on. The lock is held.
func (d *Discovery) reachableLocked(balancer int) {
	d.limits[balancer].reachableSince = d.fleet.clock()
	d.timers = append(d.timers, time.AfterFunc(notifyLimit, d.notifyOverdue))
}

// notifyOverdue counts balancers as notified of what they could know for notifyLimit.
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

// overdueLocked returns what a balancer counts as notified of from now on. The lock is held.
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
