package simulation

import (
	"slices"
	"time"

	"piernotch"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// discovery is the service that knows the endpoint list: it learns of changes late, publishes them
// periodically, and answers calls one after the other.
type discovery struct {
	entries     []listEntry
	notices     []notice
	unpublished []int         // notices that are learned of and not published yet
	version     uint64        // of the list
	busyUntil   time.Duration // with the calls taken so far
	outages     int           // in force
	noticeDelay time.Duration // by which faults delay notices further
	phase       time.Duration // of the period of publishing
}

// listEntry is one server as listed.
type listEntry struct {
	present   bool
	state     piernotch.State
	startedAt time.Duration
	changedIn uint64 // version of the list that changed it last
	changedAt time.Duration
}

// notice is a change of a server that discovery learns of after a while.
type notice struct {
	server    int
	seq       int
	state     piernotch.State
	startedAt time.Duration
}

// Kinds of deliveries to an instance: answers to calls and pushes of changes. In the ID of a
// planned event, the instance's epoch stands above the kind, from bit 8 on.
const (
	pushChanges uint64 = iota
	answerWatch
	answerFetch
	answerFailed
)

func (d *discovery) init(w *World) {
	d.entries = make([]listEntry, len(w.servers))
	for i := range d.entries {
		d.entries[i] = listEntry{present: true, state: piernotch.Ready}
	}
	d.version = 1
	d.phase = time.Duration(scenario.Stream(w.day.Seed, "discovery").Float64() * float64(w.day.Discovery.Period))
}

// serverChanged notes a server's new state; discovery learns of it after a while.
func (d *discovery) serverChanged(w *World, s int, state piernotch.State, after time.Duration) {
	server := &w.servers[s]
	server.noticeCount++
	n := notice{server: s, seq: server.noticeCount, state: state, startedAt: server.Started()}
	if state == piernotch.Ready {
		after += d.noticeDelay / 2
	} else {
		after += d.noticeDelay
	}
	d.notices = append(d.notices, n)
	w.events.plan(w.now+after, priorityFault, eventDiscoveryNotice, uint64(len(d.notices)-1), 0)
}

// learn has discovery learn of a change; it is published at the next period.
func (d *discovery) learn(w *World, i int) {
	d.unpublished = append(d.unpublished, i)
	if len(d.unpublished) > 1 {
		return
	}
	at := w.now
	if p := w.day.Discovery.Period; p > 0 {
		at = (w.now-d.phase+p-1)/p*p + d.phase
	}
	w.events.plan(max(at, w.now), priorityFault, eventDiscoveryPublish, 0, 0)
}

// publish makes a new version of the list and pushes it to the watchers.
func (d *discovery) publish(w *World) {
	d.version++
	changed := false
	for _, i := range d.unpublished {
		n := d.notices[i]
		outdated := n.seq < w.servers[n.server].noticeCount && n.state != piernotch.Ready
		if outdated && d.supersededByStart(n) {
			continue
		}
		entry := &d.entries[n.server]
		was := *entry
		entry.present, entry.state, entry.startedAt = n.state != piernotch.Gone, n.state, n.startedAt
		if was.present == entry.present && was.state == entry.state && was.startedAt == entry.startedAt {
			continue
		}
		entry.changedIn, entry.changedAt = d.version, w.now
		changed = true
	}
	d.unpublished = d.unpublished[:0]
	if !changed || d.outages > 0 {
		return
	}
	d.push(w)
}

// push plans the delivery of changes to all watchers.
func (d *discovery) push(w *World) {
	for i := range w.instances {
		if instance := &w.instances[i]; instance.up && instance.watching && d.outages == 0 {
			d.planDelivery(w, i, w.now+d.pushDelay(w, i), pushChanges)
		}
	}
}

// listWrongly lists servers as gone that are not, or as ready again. Servers that have ended or
// drain stay as they are listed.
func (d *discovery) listWrongly(w *World, servers []int, state piernotch.State) {
	d.version++
	for _, s := range servers {
		if server := &w.servers[s]; server.State() != servermodel.Up {
			continue
		}
		entry := &d.entries[s]
		entry.present, entry.state, entry.changedIn, entry.changedAt = state != piernotch.Gone, state, d.version, w.now
	}
	d.push(w)
}

// supersededByStart reports whether a later start of the server is listed than the notice is of.
func (d *discovery) supersededByStart(n notice) bool {
	entry := &d.entries[n.server]
	return entry.state == piernotch.Ready && entry.startedAt > n.startedAt
}

// pushDelay is when an instance gets a push, after the list changed.
func (d *discovery) pushDelay(w *World, i int) time.Duration {
	u := w.randFor(mix(d.version<<20^uint64(i)), concernPush).Float64()
	return time.Duration(u*float64(w.day.Discovery.Spread)) / time.Microsecond * time.Microsecond
}

// planDelivery plans a delivery to an instance; one to a process that has ended is dropped.
func (d *discovery) planDelivery(w *World, i int, at time.Duration, kind uint64) {
	w.events.plan(at, priorityEndpointList, eventListArrives, uint64(w.instances[i].epoch)<<8|kind, int32(i))
}

// call takes an instance's call: a watch of changes, or a fetch of the full list.
func (d *discovery) call(w *World, i int, watch bool) {
	instance := &w.instances[i]
	instance.lastPoll = w.now
	roundTrip := 2 * w.day.Delay[instance.zone][0]
	if d.outages > 0 {
		d.planDelivery(w, i, w.now+roundTrip+time.Millisecond, answerFailed)
		return
	}
	settings := &w.day.Discovery
	cost := time.Duration((1 + float64(d.answerSize(instance, watch))/settings.CallLines) / settings.CallsPerSec * float64(time.Second))
	done := max(d.busyUntil, w.now) + cost
	if done-w.now > settings.Patience {
		d.planDelivery(w, i, w.now+settings.Patience, answerFailed)
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
func (d *discovery) answerSize(instance *balancerInstance, watch bool) int {
	n := 0
	for s := range d.entries {
		entry := &d.entries[s]
		inFullList := entry.present && !watch
		if inFullList || entry.changedIn > instance.listVersion {
			n++
		}
	}
	return n
}

// deliver brings a list to an instance.
func (d *discovery) deliver(w *World, i int, id uint64) {
	instance := &w.instances[i]
	if !instance.up || uint32(id>>8) != instance.epoch {
		return
	}
	kind := id & 0xff
	switch kind {
	case answerFailed:
		instance.watching, instance.pollFailed = w.day.Discovery.Push, true
		w.notify(i, Event{Kind: EventEndpointList, ListKind: piernotch.UpdateFailed, Version: instance.listVersion})
		return
	case answerFetch:
		instance.pollFailed = false
		d.setFullList(w, i)
		d.send(w, i, piernotch.UpdateFull, d.presentServers())
		return
	case answerWatch:
		instance.watching, instance.pollFailed = true, false
	}
	if d.outages > 0 {
		return
	}
	servers := d.changedSince(instance.listVersion)
	if len(servers) == 0 && kind == pushChanges {
		return
	}
	instance.listVersion = d.version
	for _, s := range servers {
		d.remember(w, instance, s)
	}
	d.send(w, i, piernotch.UpdateDelta, servers)
}

// changedSince lists the servers that changed after a version of the list.
func (d *discovery) changedSince(version uint64) []int {
	var servers []int
	for s := range d.entries {
		if d.entries[s].changedIn > version {
			servers = append(servers, s)
		}
	}
	return servers
}

// presentServers lists every server that is on the list.
func (d *discovery) presentServers() []int {
	var servers []int
	for s := range d.entries {
		if d.entries[s].present {
			servers = append(servers, s)
		}
	}
	return servers
}

// endpoint is a server as it is listed.
func (d *discovery) endpoint(w *World, s int) piernotch.Endpoint {
	entry, server := &d.entries[s], &w.servers[s]
	return piernotch.Endpoint{ID: server.id, Zone: server.spec.Zone, Cell: server.spec.Cell, State: entry.state, Size: server.spec.Size, StartedAt: entry.startedAt}
}

// remember caches an entry for the instance's next process.
func (d *discovery) remember(w *World, instance *balancerInstance, s int) {
	if instance.entries == nil {
		instance.entries = map[int32]piernotch.Endpoint{}
	}
	if !d.entries[s].present {
		delete(instance.entries, int32(s))
		return
	}
	instance.entries[int32(s)] = d.endpoint(w, s)
}

// setFullList makes an instance's cached list the present one.
func (d *discovery) setFullList(w *World, i int) {
	instance := &w.instances[i]
	instance.listVersion = d.version
	clear(instance.entries)
	for s := range d.entries {
		if d.entries[s].present {
			d.remember(w, instance, s)
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
	instance := &w.instances[i]
	e := Event{Kind: EventEndpointList, ListKind: piernotch.UpdateCached, Version: instance.listVersion}
	servers := make([]int, 0, len(instance.entries))
	for s := range instance.entries {
		servers = append(servers, int(s))
	}
	slices.Sort(servers)
	for _, s := range servers {
		w.addEntry(&e, i, s, instance.entries[int32(s)])
	}
	w.notify(i, e)
}

// notifyImplied counts instances that neither watch nor poll as notified of what has been listed for
// longer than they may go without polling.
func (d *discovery) notifyImplied(w *World) {
	for i := range w.instances {
		instance := &w.instances[i]
		limit := w.day.Rules.AskWithin
		if instance.pollFailed {
			limit *= 4
		}
		if !instance.up || instance.watching || w.now-instance.lastPoll <= limit {
			continue
		}
		for s := range d.entries {
			if entry := &d.entries[s]; entry.state != piernotch.Ready && entry.changedIn > instance.listVersion && entry.changedAt <= w.now-limit {
				w.checker.EndpointNotified(w.now, i, s, entry.state, 0)
			}
		}
	}
}

// outage begins or ends an outage; several may overlap. It ends all watches, and calls fail.
func (d *discovery) outage(w *World, begins bool) {
	if !begins {
		d.outages--
		return
	}
	d.outages++
	for i := range w.instances {
		if instance := &w.instances[i]; instance.up && instance.watching && !w.day.Discovery.Push {
			instance.watching = false
			d.planDelivery(w, i, w.now+time.Millisecond, answerFailed)
		}
	}
}
