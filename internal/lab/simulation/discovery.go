package simulation

import (
	"time"

	"piernotch"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// discovery models service discovery: it learns of changes late, publishes them at intervals, and handles calls
// one at a time.
type discovery struct {
	entries     []listEntry
	notices     []notice
	unpublished []int         // indexes of notices that have arrived but are not published
	version     uint64        // of the list
	busyUntil   time.Duration // when all accepted calls are handled
	outages     int           // number in progress
	outageEnded time.Duration // end of the latest outage
	noticeDelay time.Duration // additional delay of notices by faults
	phase       time.Duration // offset of the publishing times within the interval
}

type listEntry struct {
	present   bool
	state     piernotch.State
	startedAt time.Duration
	changedIn uint64 // version of the list in which the entry last changed
	changedAt time.Duration
}

// lateStartDivisor divides the delay that faults add to the notices of starts. Other notices get the full
// delay.
const lateStartDivisor = 2

// notice is a change of a server's state that discovery learns of late.
type notice struct {
	server    serverIndex
	number    int // sequence number among the notices of this server, from 1
	state     piernotch.State
	startedAt time.Duration
}

// Kinds of deliveries to a balancer: responses to calls, and pushes of changes. The ID of a scheduled event
// holds the epoch of the balancer's process from bit 8 on and the kind below.
const (
	pushChanges uint64 = iota
	watchResponse
	fetchResponse
	callFailed
)

// init lists all servers as ready and draws the phase of publishing.
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

// serverChanged schedules the notice of a server's new state, after the given delay plus the delay by faults (for
// starts, a part of it).
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

// learn queues a notice for the next publishing time.
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

// publish makes a new version of the list from the queued notices and pushes changes, if any, to watching
// balancers unless discovery is down.
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

// listWrongly models a mistake of discovery: it lists the given servers as gone, or as ready again, and pushes
// the change. Servers that are not up keep their entries.
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

// supersededByStart reports whether the list already has a later start of the server than the notice.
func (d *discovery) supersededByStart(change notice) bool {
	entry := &d.entries[change.server]
	return entry.state == piernotch.Ready && entry.startedAt > change.startedAt
}

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

func (d *discovery) changedSince(version uint64) []serverIndex {
	var servers []serverIndex
	for index := range d.entries {
		if d.entries[index].changedIn > version {
			servers = append(servers, serverIndex(index))
		}
	}
	return servers
}

// presentServers returns the listed servers, in order of index.
func (d *discovery) presentServers() []serverIndex {
	var servers []serverIndex
	for index := range d.entries {
		if d.entries[index].present {
			servers = append(servers, serverIndex(index))
		}
	}
	return servers
}

// beginOutage begins an outage; several may overlap. Calls fail and pushes stop. Watches end, unless the
// scenario sets Push.
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

func (d *discovery) endOutage(world *World) {
	d.outages--
	d.outageEnded = world.now
}
