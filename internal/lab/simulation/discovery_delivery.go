package simulation

import (
	"slices"
	"time"

	"piernotch"
)

// push plans the delivery of changes to all watchers.
func (d *discovery) push(w *World) {
	for i := range w.balancers {
		if balancer := &w.balancers[i]; balancer.up && balancer.watching && d.outages == 0 {
			d.planDelivery(w, i, w.now+d.pushDelay(w, i), pushChanges)
		}
	}
}

// pushDelay is when an instance gets a push, after the list changed.
func (d *discovery) pushDelay(w *World, i int) time.Duration {
	u := w.randFor(mix(d.version<<20^uint64(i)), concernPush).Float64()
	return time.Duration(u*float64(w.realization.Discovery.DeliverySpread)) / time.Microsecond * time.Microsecond
}

// planDelivery plans a delivery to an instance; one to a process that has ended is dropped.
func (d *discovery) planDelivery(w *World, i int, at time.Duration, kind uint64) {
	w.events.plan(at, priorityEndpointList, eventListArrives, uint64(w.balancers[i].epoch)<<8|kind, int32(i))
}

// call takes an instance's call: a watch of changes, or a fetch of the full list.
func (d *discovery) call(w *World, i int, watch bool) {
	balancer := &w.balancers[i]
	balancer.lastPoll = w.now
	roundTrip := 2 * w.realization.Delay[balancer.zone][0]
	if d.outages > 0 {
		d.planDelivery(w, i, w.now+roundTrip+time.Millisecond, answerFailed)
		return
	}
	settings := &w.realization.Discovery
	cost := time.Duration((1 + float64(d.answerSize(balancer, watch))/settings.LinesPerCall) / settings.CallsPerSec * float64(time.Second))
	done := max(d.busyUntil, w.now) + cost
	if done-w.now > settings.CallTimeout {
		d.planDelivery(w, i, w.now+settings.CallTimeout, answerFailed)
		w.counters.ListFailed++
		return
	}
	d.busyUntil = done
	kind := answerFetch
	if watch {
		kind = answerWatch
	}
	d.planDelivery(w, i, done+roundTrip, kind)
}

// answerSize is how many entries the answer to a call holds.
func (d *discovery) answerSize(balancer *balancerState, watch bool) int {
	n := 0
	for s := range d.entries {
		entry := &d.entries[s]
		inFullList := entry.present && !watch
		if inFullList || entry.changedIn > balancer.listVersion {
			n++
		}
	}
	return n
}

// deliver brings a list to an instance.
func (d *discovery) deliver(w *World, i int, id uint64) {
	balancer := &w.balancers[i]
	if !balancer.up || uint32(id>>8) != balancer.epoch {
		return
	}
	kind := id & 0xff
	switch kind {
	case answerFailed:
		balancer.watching, balancer.pollFailed = w.realization.Discovery.Push, true
		w.notify(i, Event{Kind: EventEndpointList, ListKind: piernotch.UpdateFailed, Version: balancer.listVersion})
		return
	case answerFetch:
		balancer.pollFailed = false
		d.setFullList(w, i)
		d.send(w, i, piernotch.UpdateFull, d.presentServers())
		return
	case answerWatch:
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
	for _, s := range servers {
		d.remember(w, balancer, s)
	}
	d.send(w, i, piernotch.UpdateDelta, servers)
}

// remember caches an entry for the instance's next process.
func (d *discovery) remember(w *World, balancer *balancerState, s int) {
	if balancer.entries == nil {
		balancer.entries = map[int32]piernotch.Endpoint{}
	}
	if !d.entries[s].present {
		delete(balancer.entries, int32(s))
		return
	}
	balancer.entries[int32(s)] = d.endpoint(w, s)
}

// setFullList makes an instance's cached list the present one.
func (d *discovery) setFullList(w *World, i int) {
	balancer := &w.balancers[i]
	balancer.listVersion = d.version
	clear(balancer.entries)
	for s := range d.entries {
		if d.entries[s].present {
			d.remember(w, balancer, s)
		}
	}
}

// send notifies an instance of servers as they are listed now.
func (d *discovery) send(w *World, i int, kind piernotch.UpdateKind, servers []int) {
	e := Event{Kind: EventEndpointList, ListKind: kind, Version: d.version}
	for _, s := range servers {
		w.addEntry(&e, i, s, d.endpoint(w, s))
	}
	if kind == piernotch.UpdateFull {
		d.notifyAbsent(w, i)
	}
	w.notify(i, e)
}

// addEntry adds an entry of server s to an event for instance i.
func (w *World) addEntry(e *Event, i, s int, entry piernotch.Endpoint) {
	e.Entries = append(e.Entries, entry)
	e.MachineKinds = append(e.MachineKinds, w.servers[s].spec.KindIndex)
	w.checker.EndpointNotified(w.now, i, s, entry.State, entry.StartedAt)
}

// notifyAbsent counts the servers that a full list leaves out as notified to be gone.
func (d *discovery) notifyAbsent(w *World, i int) {
	for s := range d.entries {
		if !d.entries[s].present {
			w.checker.EndpointNotified(w.now, i, s, piernotch.Gone, 0)
		}
	}
}

// sendCached notifies a starting instance of the list that its predecessor had last.
func (d *discovery) sendCached(w *World, i int) {
	balancer := &w.balancers[i]
	e := Event{Kind: EventEndpointList, ListKind: piernotch.UpdateCached, Version: balancer.listVersion}
	servers := make([]int, 0, len(balancer.entries))
	for s := range balancer.entries {
		servers = append(servers, int(s))
	}
	slices.Sort(servers)
	for _, s := range servers {
		w.addEntry(&e, i, s, balancer.entries[int32(s)])
	}
	w.notify(i, e)
}

// notifyImplied counts instances that neither watch nor poll as notified of what has been listed for
// longer than they may go without polling.
func (d *discovery) notifyImplied(w *World) {
	for i := range w.balancers {
		balancer := &w.balancers[i]
		limit := w.realization.Rules.PollInterval
		if balancer.pollFailed {
			limit *= 4
		}
		if !balancer.up || balancer.watching || w.now-balancer.lastPoll <= limit {
			continue
		}
		for s := range d.entries {
			entry := &d.entries[s]
			unknown := entry.state != piernotch.Ready && entry.changedIn > balancer.listVersion
			if unknown && entry.changedAt <= w.now-limit {
				w.checker.EndpointNotified(w.now, i, s, entry.state, 0)
			}
		}
	}
}
