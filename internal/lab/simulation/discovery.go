package simulation

import (
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
	seq       int // among the notices of this server
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

// init lists all servers as ready.
func (d *discovery) init(w *World) {
	d.entries = make([]listEntry, len(w.servers))
	for i := range d.entries {
		d.entries[i] = listEntry{present: true, state: piernotch.Ready}
	}
	d.version = 1
	d.phase = time.Duration(scenario.Stream(w.realization.Seed, "discovery").Float64() * float64(w.realization.Discovery.PublishInterval))
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
	if p := w.realization.Discovery.PublishInterval; p > 0 {
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
		entry.present = n.state != piernotch.Gone
		entry.state = n.state
		entry.startedAt = n.startedAt
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

// listWrongly lists servers as gone that are not, or as ready again. Servers that have ended or
// drain stay as they are listed.
func (d *discovery) listWrongly(w *World, servers []int, state piernotch.State) {
	d.version++
	for _, s := range servers {
		if server := &w.servers[s]; server.State() != servermodel.Up {
			continue
		}
		entry := &d.entries[s]
		entry.present = state != piernotch.Gone
		entry.state = state
		entry.changedIn, entry.changedAt = d.version, w.now
	}
	d.push(w)
}

// supersededByStart reports whether a later start of the server is listed than the notice is of.
func (d *discovery) supersededByStart(n notice) bool {
	entry := &d.entries[n.server]
	return entry.state == piernotch.Ready && entry.startedAt > n.startedAt
}

// endpoint is a server as it is listed.
func (d *discovery) endpoint(w *World, s int) piernotch.Endpoint {
	entry, server := &d.entries[s], &w.servers[s]
	return piernotch.Endpoint{
		ID: server.id, Zone: server.spec.Zone, Cell: server.spec.Cell, State: entry.state, Size: server.spec.Size, StartedAt: entry.startedAt,
	}
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

// outage begins or ends an outage; several may overlap. It ends all watches, and calls fail.
func (d *discovery) outage(w *World, begins bool) {
	if !begins {
		d.outages--
		return
	}
	d.outages++
	for i := range w.balancers {
		if balancer := &w.balancers[i]; balancer.up && balancer.watching && !w.realization.Discovery.Push {
			balancer.watching = false
			d.planDelivery(w, i, w.now+time.Millisecond, answerFailed)
		}
	}
}
