package simulation

import (
	"slices"
	"time"

	"piernotch"
	"piernotch/internal/lab/invariants"
)

// callFailureDelay is how much longer than the round trip a balancer waits for a call that fails in an
// outage.
const callFailureDelay = time.Millisecond

// notifyLimit is how long after a change is listed, and discovery can be reached, a balancer counts as notified
// of it, whatever became of its calls (protocol page, "Figures").
const notifyLimit = 6 * time.Second

// pollIntervalsAfterFailure is for how many poll intervals a balancer whose last call failed may go
// without another one.
const pollIntervalsAfterFailure = 4

// callKind is what a balancer asks discovery for.
type callKind uint8

const (
	fetchList    callKind = iota // the full list
	watchChanges                 // changes of the list, as they come
)

// push schedules the delivery of changes to all balancers that watch.
func (d *discovery) push(world *World) {
	for i := range world.balancers {
		index := balancerIndex(i)
		if balancer := &world.balancers[index]; balancer.up && balancer.watching && d.outages == 0 {
			d.scheduleDelivery(world, index, world.now+d.pushDelay(world, index), pushChanges)
		}
	}
}

// pushDelay is how long after a change of the list a balancer gets the push.
func (d *discovery) pushDelay(world *World, index balancerIndex) time.Duration {
	draw := world.randFor(mix(d.version<<20^uint64(index)), concernPush).Float64()
	delay := time.Duration(draw * float64(world.realization.Discovery.DeliverySpread))
	return delay / time.Microsecond * time.Microsecond
}

// scheduleDelivery schedules a delivery to a balancer; one to a process that has ended by then is
// dropped.
func (d *discovery) scheduleDelivery(world *World, index balancerIndex, at time.Duration, kind uint64) {
	world.events.scheduleFor(at, eventListArrives, uint64(world.balancers[index].epoch)<<8|kind, int32(index))
}

// call takes a balancer's call. Calls get their responses one after the other.
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

// responseSize is how many entries the response to a call holds.
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

// deliver brings a list to a balancer. The ID is the epoch of its process and the kind of delivery.
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

// remember caches an entry for the balancer's next process.
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

// setFullList makes a balancer's cached list the present one.
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

// send notifies a balancer of servers as they are listed now.
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

// addEntry adds the entry of a server to an event for a balancer.
func (w *World) addEntry(event *Event, balancer balancerIndex, server serverIndex, entry piernotch.Endpoint) {
	event.Entries = append(event.Entries, entry)
	event.ServerKinds = append(event.ServerKinds, w.servers[server].spec.KindIndex)
	w.checker.EndpointNotified(invariants.NotifiedEndpoint{
		At: w.now, Balancer: balancer, Server: server, State: entry.State, StartedAt: entry.StartedAt,
	})
}

// notifyAbsent counts the servers that a full list leaves out as notified to be gone.
func (d *discovery) notifyAbsent(world *World, balancer balancerIndex) {
	for i := range d.entries {
		if !d.entries[i].present {
			world.checker.EndpointNotified(invariants.NotifiedEndpoint{
				At: world.now, Balancer: balancer, Server: serverIndex(i), State: piernotch.Gone,
			})
		}
	}
}

// sendCached notifies a balancer's process that starts of the list that its predecessor had last.
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

// notifyImplied counts balancers that neither watch nor poll as notified of what has been listed for
// longer than they may go without polling, and of what discovery has had for notifyLimit since its last outage.
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

// notifyUnpolled counts a balancer as notified of each server that is not ready, and has been listed so
// since a time at the latest.
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
