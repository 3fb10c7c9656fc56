package simulation

import (
	"time"

	"piernotch"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// discovery is the service that knows the endpoint list: it learns of changes late, publishes them
// periodically, and responds to calls one after the other.
type discovery struct {
	entries     []listEntry
	notices     []notice
	unpublished []int         // notices that are learned of and not published yet
	version     uint64        // of the list
	busyUntil   time.Duration // with the calls taken so far
	outages     int           // that go on
	outageEnded time.Duration // the last one
	noticeDelay time.Duration // by which faults delay notices further
	phase       time.Duration // of the interval of publishing
}

// listEntry is one server as listed.
type listEntry struct {
	present   bool
	state     piernotch.State
	startedAt time.Duration
	changedIn uint64 // version of the list that changed it last
	changedAt time.Duration
}

// lateStartDivisor is by what faults delay the notices of starts less than those of ends and drains.
const lateStartDivisor = 2

// notice is a change of a server that discovery learns of after a while.
type notice struct {
	server    serverIndex
	number    int // among the notices of this server, from 1
	state     piernotch.State
	startedAt time.Duration
}

// Kinds of deliveries to a balancer: responses to calls, and pushes of changes. In the ID of a
// scheduled event, the epoch of the balancer's process stands above the kind, from bit 8 on.
const (
	pushChanges uint64 = iota
	watchResponse
	fetchResponse
	callFailed
)

// init lists all servers as ready.
func (d *discovery) init(world *World) {
	d.entries = make([]listEntry, len(world.servers))
	for i := range d.entries {
		d.entries[i] = listEntry{present: true, state: piernotch.Ready}
	}
	d.version = 1
	d.phase = time.Duration(
		scenario.Stream(world.realization.Seed, "discovery").Float64() *
			float64(world.realization.Discovery.PublishInterval),
	)
}

// serverChanged notes a server's new state; discovery learns of it after a while.
func (d *discovery) serverChanged(world *World, index serverIndex, state piernotch.State, after time.Duration) {
	server := &world.servers[index]
	server.noticeCount++
	change := notice{server: index, number: server.noticeCount, state: state, startedAt: server.Started()}
	if state == piernotch.Ready {
		after += d.noticeDelay / lateStartDivisor
	} else {
		after += d.noticeDelay
	}
	d.notices = append(d.notices, change)
	world.events.schedule(world.now+after, eventDiscoveryNotice, uint64(len(d.notices)-1))
}

// learn has discovery learn of a change; it is published at the next period.
func (d *discovery) learn(world *World, noticeNumber int) {
	d.unpublished = append(d.unpublished, noticeNumber)
	if len(d.unpublished) > 1 {
		return
	}
	at := world.now
	if interval := world.realization.Discovery.PublishInterval; interval > 0 {
		at = (world.now-d.phase+interval-1)/interval*interval + d.phase
	}
	world.events.schedule(max(at, world.now), eventDiscoveryPublish, 0)
}

// publish makes a new version of the list and pushes it to the watchers.
func (d *discovery) publish(world *World) {
	d.version++
	changed := false
	for _, noticeNumber := range d.unpublished {
		change := d.notices[noticeNumber]
		outdated := change.number < world.servers[change.server].noticeCount && change.state != piernotch.Ready
		if outdated && d.supersededByStart(change) {
			continue
		}
		entry := &d.entries[change.server]
		previous := *entry
		entry.present = change.state != piernotch.Gone
		entry.state = change.state
		entry.startedAt = change.startedAt
		unchanged := previous.present == entry.present && previous.state == entry.state &&
			previous.startedAt == entry.startedAt
		if unchanged {
			continue
		}
		entry.changedIn, entry.changedAt = d.version, world.now
		changed = true
	}
	d.unpublished = d.unpublished[:0]
	if !changed || d.outages > 0 {
		return
	}
	d.push(world)
}

// listWrongly lists servers as gone that are not, or as ready again. Servers that have ended or
// drain stay as they are listed.
func (d *discovery) listWrongly(world *World, servers []int, state piernotch.State) {
	d.version++
	for _, index := range servers {
		if server := &world.servers[index]; server.State() != servermodel.Up {
			continue
		}
		entry := &d.entries[index]
		entry.present = state != piernotch.Gone
		entry.state = state
		entry.changedIn, entry.changedAt = d.version, world.now
	}
	d.push(world)
}

// supersededByStart reports whether a later start of the server is listed than the notice is of.
func (d *discovery) supersededByStart(change notice) bool {
	entry := &d.entries[change.server]
	return entry.state == piernotch.Ready && entry.startedAt > change.startedAt
}

// endpoint is a server as it is listed.
func (d *discovery) endpoint(world *World, index serverIndex) piernotch.Endpoint {
	entry, server := &d.entries[index], &world.servers[index]
	return piernotch.Endpoint{
		ID:        server.id,
		Zone:      server.spec.Zone,
		Cell:      server.spec.Cell,
		State:     entry.state,
		Size:      server.spec.Size,
		StartedAt: entry.startedAt,
	}
}

// changedSince lists the servers that changed after a version of the list.
func (d *discovery) changedSince(version uint64) []serverIndex {
	var servers []serverIndex
	for index := range d.entries {
		if d.entries[index].changedIn > version {
			servers = append(servers, serverIndex(index))
		}
	}
	return servers
}

// presentServers lists every server that is on the list.
func (d *discovery) presentServers() []serverIndex {
	var servers []serverIndex
	for index := range d.entries {
		if d.entries[index].present {
			servers = append(servers, serverIndex(index))
		}
	}
	return servers
}

// beginOutage begins an outage; several may overlap. It ends all watches, and calls fail.
func (d *discovery) beginOutage(world *World) {
	d.outages++
	for i := range world.balancers {
		balancer := &world.balancers[i]
		watches := balancer.up && balancer.watching
		if watches && !world.realization.Discovery.Push {
			balancer.watching = false
			d.scheduleDelivery(world, balancerIndex(i), world.now+callFailureDelay, callFailed)
		}
	}
}

// endOutage ends one outage.
func (d *discovery) endOutage(world *World) {
	d.outages--
	d.outageEnded = world.now
}
