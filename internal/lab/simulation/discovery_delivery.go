package simulation

import (
	"slices"
	"time"

	"piernotch"
	"piernotch/internal/lab/invariants"
)

// callFailureDelay is how long after the round trip a call during an outage fails, and how long after the start
// of an outage a watch fails.
const callFailureDelay = time.Millisecond

// notifyLimit is how long a change must be listed, and outages must be over, until a balancer counts as notified
// even if its calls failed (protocol page, "Figures").
const notifyLimit = 6 * time.Second

// pollIntervalsAfterFailure is how many poll intervals a balancer may go without a call after a failed call.
const pollIntervalsAfterFailure = 4

type callKind uint8

const (
	fetchList    callKind = iota // the full list
	watchChanges                 // the changes since the balancer's version, and pushes of later changes
)

// push schedules the delivery of changes to all watching balancers, unless discovery is down.
func (d *discovery) push(world *World) {
	for i := range world.balancers {
		index := balancerIndex(i)
		if balancer := &world.balancers[index]; balancer.up && balancer.watching && d.outages == 0 {
			d.scheduleDelivery(world, index, world.now+d.pushDelay(world, index), pushChanges)
		}
	}
}

// pushDelay returns the random delay of a push to a balancer, in whole microseconds.
func (d *discovery) pushDelay(world *World, index balancerIndex) time.Duration {
	draw := world.randFor(mix(d.version<<20^uint64(index)), concernPush).Float64()
	delay := time.Duration(draw * float64(world.realization.Discovery.DeliverySpread))
	return delay / time.Microsecond * time.Microsecond
}

// scheduleDelivery schedules a delivery, which is dropped if the balancer's process has ended by then.
func (d *discovery) scheduleDelivery(world *World, index balancerIndex, at time.Duration, kind uint64) {
	world.events.scheduleFor(at, eventListArrives, uint64(world.balancers[index].epoch)<<8|kind, int32(index))
}

// call handles a balancer's call. Calls are served in order, one at a time. A call fails during an outage, or
// if the response would take longer than the timeout.
func (d *discovery) call(world *World, index balancerIndex, kind callKind) {
	balancer := &world.balancers[index]
	balancer.lastPoll = world.now
	roundTrip := 2 * world.realization.Delay[balancer.zone][0]
	if d.outages > 0 {
		d.scheduleDelivery(world, index, world.now+roundTrip+callFailureDelay, callFailed)
		return
	}
	settings := &world.realization.Discovery
	callsWorth := 1 + float64(d.responseSize(balancer, kind))/settings.LinesPerCall
	cost := time.Duration(callsWorth / settings.CallsPerSec * float64(time.Second))
	done := max(d.busyUntil, world.now) + cost
	if done-world.now > settings.CallTimeout {
		d.scheduleDelivery(world, index, world.now+settings.CallTimeout, callFailed)
		world.counters.ListFailed++
		return
	}
	d.busyUntil = done
	response := fetchResponse
	if kind == watchChanges {
		response = watchResponse
	}
	d.scheduleDelivery(world, index, done+roundTrip, response)
}

// responseSize returns how many entries of the list a response is charged for.
func (d *discovery) responseSize(balancer *balancerState, kind callKind) int {
	count := 0
	for i := range d.entries {
		entry := &d.entries[i]
		inFullList := entry.present && kind == fetchList
		if inFullList || entry.changedIn > balancer.listVersion {
			count++
		}
	}
	return count
}

// deliver hands a balancer a list, changes or the failure of a call. The ID holds the epoch of the process and
// the kind of delivery. Changes during an outage are dropped.
func (d *discovery) deliver(world *World, index balancerIndex, id uint64) {
	balancer := &world.balancers[index]
	sameProcess := uint32(id>>8) == balancer.epoch
	if !balancer.up || !sameProcess {
		return
	}
	kind := id & 0xff
	switch kind {
	case callFailed:
		balancer.watching, balancer.pollFailed = world.realization.Discovery.Push, true
		world.notify(
			index,
			Event{Kind: EventEndpointList, ListKind: piernotch.UpdateFailed, Version: balancer.listVersion},
		)
		return
	case fetchResponse:
		balancer.pollFailed = false
		d.setFullList(world, index)
		d.send(world, index, piernotch.UpdateFull, d.presentServers())
		return
	case watchResponse:
		balancer.watching, balancer.pollFailed = true, false
	}
	if d.outages > 0 {
		return
	}
	servers := d.changedSince(balancer.listVersion)
	if len(servers) == 0 && kind == pushChanges {
		return
	}
	balancer.listVersion = d.version
	for _, server := range servers {
		d.remember(world, balancer, server)
	}
	d.send(world, index, piernotch.UpdateDelta, servers)
}

// remember updates a server's entry in the list that is cached for the balancer's next process.
func (d *discovery) remember(world *World, balancer *balancerState, server serverIndex) {
	if balancer.entries == nil {
		balancer.entries = map[serverIndex]piernotch.Endpoint{}
	}
	if !d.entries[server].present {
		delete(balancer.entries, server)
		return
	}
	balancer.entries[server] = d.endpoint(world, server)
}

// setFullList replaces a balancer's cached list with the current one.
func (d *discovery) setFullList(world *World, index balancerIndex) {
	balancer := &world.balancers[index]
	balancer.listVersion = d.version
	clear(balancer.entries)
	for i := range d.entries {
		if d.entries[i].present {
			d.remember(world, balancer, serverIndex(i))
		}
	}
}

// send notifies a balancer of the current entries of servers. A full list also counts as notice that all other
// servers are gone.
func (d *discovery) send(world *World, balancer balancerIndex, kind piernotch.UpdateKind, servers []serverIndex) {
	event := Event{Kind: EventEndpointList, ListKind: kind, Version: d.version}
	for _, server := range servers {
		world.addEntry(&event, balancer, server, d.endpoint(world, server))
	}
	if kind == piernotch.UpdateFull {
		d.notifyAbsent(world, balancer)
	}
	world.notify(balancer, event)
}

// addEntry adds a server's entry to an event for a balancer and reports the notification to the checker.
func (w *World) addEntry(event *Event, balancer balancerIndex, server serverIndex, entry piernotch.Endpoint) {
	event.Entries = append(event.Entries, entry)
	event.ServerKinds = append(event.ServerKinds, w.servers[server].spec.KindIndex)
	w.checker.EndpointNotified(invariants.NotifiedEndpoint{
		At: w.now, Balancer: balancer, Server: server, State: entry.State, StartedAt: entry.StartedAt,
	})
}

// notifyAbsent reports to the checker that a full list notified a balancer of the servers that are gone.
func (d *discovery) notifyAbsent(world *World, balancer balancerIndex) {
	for i := range d.entries {
		if !d.entries[i].present {
			world.checker.EndpointNotified(invariants.NotifiedEndpoint{
				At: world.now, Balancer: balancer, Server: serverIndex(i), State: piernotch.Gone,
			})
		}
	}
}

// sendCached sends a balancer's new process the endpoint list that is cached in balancerState.entries.
func (d *discovery) sendCached(world *World, index balancerIndex) {
	balancer := &world.balancers[index]
	event := Event{Kind: EventEndpointList, ListKind: piernotch.UpdateCached, Version: balancer.listVersion}
	servers := make([]serverIndex, 0, len(balancer.entries))
	for server := range balancer.entries {
		servers = append(servers, server)
	}
	slices.Sort(servers)
	for _, server := range servers {
		world.addEntry(&event, index, server, balancer.entries[server])
	}
	world.notify(index, event)
}

// notifyImplied reports to the checker what a balancer that does not watch must know by now. If the balancer has
// not called for longer than the poll interval (pollIntervalsAfterFailure intervals after a failed call), these are
// the changes listed for at least that long. After a failed call, if the last outage ended at least notifyLimit
// ago, they are also the changes listed for at least notifyLimit.
func (d *discovery) notifyImplied(world *World) {
	couldBeAsked := d.outages == 0 && world.now-d.outageEnded >= notifyLimit
	for i := range world.balancers {
		if balancer := &world.balancers[i]; couldBeAsked && balancer.up && balancer.pollFailed && !balancer.watching {
			d.notifyUnpolled(world, balancerIndex(i), world.now-notifyLimit)
		}
		balancer := &world.balancers[i]
		limit := world.realization.Rules.PollInterval
		if balancer.pollFailed {
			limit *= pollIntervalsAfterFailure
		}
		polledLately := world.now-balancer.lastPoll <= limit
		if !balancer.up || balancer.watching || polledLately {
			continue
		}
		d.notifyUnpolled(world, balancerIndex(i), world.now-limit)
	}
}

// notifyUnpolled reports to the checker that a balancer was notified of each entry that is newer than the
// balancer's list, is not ready and was listed by the given time.
func (d *discovery) notifyUnpolled(world *World, index balancerIndex, since time.Duration) {
	balancer := &world.balancers[index]
	for i := range d.entries {
		entry := &d.entries[i]
		unknown := entry.state != piernotch.Ready && entry.changedIn > balancer.listVersion
		if unknown && entry.changedAt <= since {
			world.checker.EndpointNotified(invariants.NotifiedEndpoint{
				At: world.now, Balancer: index, Server: serverIndex(i), State: entry.state,
			})
		}
	}
}
