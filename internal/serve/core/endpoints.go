package core

import (
	"cmp"
	"hash/fnv"
	"log/slog"
	"slices"
	"time"

	"piernotch"
)

// server is an entry of the endpoint table.
type server struct {
	id        piernotch.ServerID
	name      string
	address   string
	state     piernotch.State
	startedAt time.Duration
	excluded  bool               // by operators
	listed    DiscoveredEndpoint // as discovery listed it last
}

func (b *server) endpoint() Endpoint { return Endpoint{b.id, b.address} }

// EndpointsKnown reports whether a usable endpoint list has been received.
func (c *Core) EndpointsKnown() bool { return c.endpointsKnown }

// Endpoints returns all endpoints as discovery listed them last, sorted by name.
func (c *Core) Endpoints() []DiscoveredEndpoint {
	list := make([]DiscoveredEndpoint, 0, len(c.serversByName))
	for _, b := range c.serversByName {
		list = append(list, b.listed)
	}
	slices.SortFunc(list, func(a, b DiscoveredEndpoint) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// handleEndpointUpdate applies an update from discovery to the endpoint table and to the module.
func (c *Core) handleEndpointUpdate(ev EndpointUpdate) {
	if ev.Kind == piernotch.UpdateFailed {
		c.balancer.UpdateEndpoints(c.now, ev.Kind, nil)
		return
	}
	c.endpointsKnown = true
	entries := make([]piernotch.Endpoint, 0, len(ev.Endpoints))
	listed := make(map[string]bool, len(ev.Endpoints))
	for _, e := range ev.Endpoints {
		listed[e.Name] = true
		entries = append(entries, c.updateServer(e))
	}
	if ev.Kind != piernotch.UpdateDelta {
		c.markUnlistedGone(listed)
	}
	gone := c.removeGone()
	c.balancer.UpdateEndpoints(c.now, ev.Kind, entries)
	// The module forgets that these were excluded. The overrides remain, as they apply to the name,
	// should it be listed again.
	for _, b := range gone {
		if b.excluded {
			c.balancer.Include(c.now, b.id, 0)
		}
	}
}

// updateServer enters a listed endpoint into the table and returns it as the module takes it.
func (c *Core) updateServer(e DiscoveredEndpoint) piernotch.Endpoint {
	b := c.serversByName[e.Name]
	if b == nil {
		b = c.addServer(e.Name)
	}
	// Of a server that has moved, has restarted or is draining, idle connections are of no use, and
	// a machine that vanished never closes its own.
	replaced := b.address != e.Address || b.startedAt != e.Endpoint.StartedAt
	if b.address != "" && (replaced || e.Endpoint.State != piernotch.Ready) {
		c.emit(CloseIdle{b.endpoint()})
	}
	b.listed = e
	b.address = e.Address
	b.state = e.Endpoint.State
	b.startedAt = e.Endpoint.StartedAt
	entry := e.Endpoint
	entry.ID = b.id
	return entry
}

// addServer adds a server to the table, excluded if operators have excluded its name.
func (c *Core) addServer(name string) *server {
	b := &server{id: c.newServerID(name), name: name}
	c.serversByName[name] = b
	c.servers[b.id] = b
	b.excluded = c.overrides.Excluded(name)
	if b.excluded {
		c.balancer.Exclude(c.now, b.id)
	}
	return b
}

// newServerID derives an ID from the name alone, so that all balancers arrive at the same.
func (c *Core) newServerID(name string) piernotch.ServerID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	id := piernotch.ServerID(h.Sum32())
	for c.servers[id] != nil {
		id++
	}
	return id
}

// markUnlistedGone marks the servers that a complete list does not contain as gone.
func (c *Core) markUnlistedGone(listed map[string]bool) {
	for name, b := range c.serversByName {
		if !listed[name] && b.state != piernotch.Gone {
			b.state = piernotch.Gone
			c.emit(CloseIdle{b.endpoint()})
		}
	}
}

// removeGone removes the servers that are gone from the table and returns them. Attempts in flight
// keep their reference.
func (c *Core) removeGone() []*server {
	var gone []*server
	for name, b := range c.serversByName {
		if b.state == piernotch.Gone {
			delete(c.serversByName, name)
			delete(c.servers, b.id)
			gone = append(gone, b)
		}
	}
	return gone
}

// HealthCheckTimeout is how long a server may take to answer a health check.
const HealthCheckTimeout = 500 * time.Millisecond

// startHealthCheck checks a server, unless a check of it is running.
func (c *Core) startHealthCheck(b *server) {
	if c.healthChecks[b.id] != nil {
		return
	}
	id := b.id
	c.healthChecks[id] = c.timers.At(c.now+HealthCheckTimeout+2*TickInterval, func() {
		delete(c.healthChecks, id)
		c.balancer.HealthCheckCompleted(c.now, id, piernotch.Timeout)
	})
	c.emit(HealthCheck{b.endpoint()})
}

func (c *Core) handleHealthCheckCompleted(ev HealthCheckCompleted) {
	timer := c.healthChecks[ev.Server]
	if timer == nil {
		return
	}
	timer.Stop()
	delete(c.healthChecks, ev.Server)
	c.balancer.HealthCheckCompleted(c.now, ev.Server, ev.Status)
}

func (c *Core) handleLoadReported(ev LoadReported) {
	if b := c.servers[ev.Server]; c.debug && b != nil {
		slog.Debug("load report", "server", b.name, "inflight", ev.Load.Inflight,
			"completed_per_s", ev.Load.CompletedPerSecond)
	}
	c.balancer.LoadReported(c.now, ev.Server, ev.Load)
}
