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
	id       piernotch.ServerID
	name     string
	address  string
	state    piernotch.State
	start    serverStart
	excluded bool               // by operators
	listed   DiscoveredEndpoint // as discovery last listed it
}

func (s *server) endpoint() Endpoint { return Endpoint{s.id, s.address} }

// serverProcess tells one process of a server from the next.
type serverProcess struct {
	address   string
	startedAt time.Duration // Unix time, as discovery lists it
}

// process returns the server's process as discovery last listed it.
func (s *server) process() serverProcess { return serverProcess{s.address, s.start.listed} }

// EndpointsKnown reports whether an endpoint update other than UpdateFailed has been received.
func (c *Core) EndpointsKnown() bool { return c.endpointsKnown }

// EndpointCount returns the number of endpoints that discovery lists.
func (c *Core) EndpointCount() int { return len(c.serversByName) }

// Endpoints returns all endpoints as discovery last listed them, sorted by name.
func (c *Core) Endpoints() []DiscoveredEndpoint {
	list := make([]DiscoveredEndpoint, 0, len(c.serversByName))
	for _, server := range c.serversByName {
		list = append(list, server.listed)
	}
	slices.SortFunc(list, func(a, b DiscoveredEndpoint) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (c *Core) handleEndpointUpdate(event EndpointUpdate) {
	if event.Kind == piernotch.UpdateFailed {
		c.balancer.UpdateEndpoints(c.now, event.Kind, nil)
		return
	}
	c.endpointsKnown = true
	entries := make([]piernotch.Endpoint, 0, len(event.Endpoints))
	listed := make(map[string]bool, len(event.Endpoints))
	for _, endpoint := range event.Endpoints {
		listed[endpoint.Name] = true
		entries = append(entries, c.updateServer(endpoint, event.Since))
	}
	if event.Kind != piernotch.UpdateDelta {
		c.markUnlistedGone(listed)
	}
	gone := c.removeGone()
	c.starts.forgetUnlisted(func(name string) bool { return c.serversByName[name] != nil })
	c.balancer.UpdateEndpoints(c.now, event.Kind, entries)
	// The module can forget that a server is excluded once the server is gone. The operators' override
	// remains, since it applies to the name, which may be listed again.
	for _, server := range gone {
		if server.excluded {
			c.balancer.Include(c.now, server.id, 0)
		}
	}
}

// updateServer enters a listed endpoint into the table, and closes idle connections that must not be
// used again. It returns the endpoint with the ID and the start time for the module. absentAt is a time
// at which the list did not yet hold this entry; 0: unknown.
func (c *Core) updateServer(listed DiscoveredEndpoint, absentAt time.Duration) piernotch.Endpoint {
	server := c.serversByName[listed.Name]
	if server == nil {
		server = c.addServer(listed.Name)
	}
	// Idle connections to a server that has moved, restarted or left the ready state must not be used
	// again. The server might not have closed them: a machine that fails leaves them half-open.
	isNew := server.address == ""
	replaced := server.process() != serverProcess{listed.Address, listed.Endpoint.StartedAt}
	if !isNew && (replaced || listed.Endpoint.State != piernotch.Ready) {
		c.emit(CloseIdle{server.endpoint()})
	}
	server.listed = listed
	server.address = listed.Address
	server.state = listed.Endpoint.State
	server.start = c.starts.convert(listed.Name, listed.Endpoint.StartedAt, c.now, absentAt)
	entry := listed.Endpoint
	entry.ID = server.id
	entry.StartedAt = server.start.at
	return entry
}

// addServer adds a server to the table, excluded if operators have excluded its name.
func (c *Core) addServer(name string) *server {
	server := &server{id: c.newServerID(name), name: name}
	c.serversByName[name] = server
	c.servers[server.id] = server
	server.excluded = c.overrides.Excluded(name)
	if server.excluded {
		c.balancer.Exclude(c.now, server.id)
	}
	return server
}

// newServerID derives an ID from the name, so that all balancers use the same ID for a server, unless
// the IDs of two names collide.
func (c *Core) newServerID(name string) piernotch.ServerID {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	id := piernotch.ServerID(hash.Sum32())
	for c.servers[id] != nil {
		id++
	}
	return id
}

// markUnlistedGone marks as gone the servers that a complete list does not contain, and closes the idle
// connections to them.
func (c *Core) markUnlistedGone(listed map[string]bool) {
	for name, server := range c.serversByName {
		if !listed[name] && server.state != piernotch.Gone {
			server.state = piernotch.Gone
			c.emit(CloseIdle{server.endpoint()})
		}
	}
}

// removeGone removes from the table the servers that are gone, and returns them. Attempts in flight
// keep their pointers to these servers.
func (c *Core) removeGone() []*server {
	var gone []*server
	for name, server := range c.serversByName {
		if server.state == piernotch.Gone {
			delete(c.serversByName, name)
			delete(c.servers, server.id)
			gone = append(gone, server)
		}
	}
	return gone
}

const (
	// HealthCheckTimeout is how long a server may take to respond to a health check.
	HealthCheckTimeout = 500 * time.Millisecond
	// healthCheckMargin is how long after HealthCheckTimeout the core counts a health check as timed
	// out: two ticks, so that a response at the last moment still counts.
	healthCheckMargin = 2 * TickInterval
)

// startHealthCheck starts a health check of a server, unless a check of it is running.
func (c *Core) startHealthCheck(server *server) {
	if c.healthChecks[server.id] != nil {
		return
	}
	id := server.id
	c.healthChecks[id] = c.timers.At(c.now+HealthCheckTimeout+healthCheckMargin, func() {
		delete(c.healthChecks, id)
		c.balancer.HealthCheckCompleted(c.now, id, piernotch.Timeout)
	})
	c.emit(HealthCheck{server.endpoint()})
}

func (c *Core) handleHealthCheckCompleted(event HealthCheckCompleted) {
	timer := c.healthChecks[event.Server]
	if timer == nil {
		return
	}
	timer.Stop()
	delete(c.healthChecks, event.Server)
	c.balancer.HealthCheckCompleted(c.now, event.Server, event.Status)
}

func (c *Core) handleLoadReported(event LoadReported) {
	if server := c.servers[event.Server]; c.debug && server != nil {
		slog.Debug("load report", "server", server.name, "inflight", event.Load.Inflight,
			"completed_per_s", event.Load.CompletedPerSecond)
	}
	c.balancer.LoadReported(c.now, event.Server, event.Load)
}
