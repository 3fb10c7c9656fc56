package core

import (
	"log/slog"
	"time"

	"piernotch/internal/serve/overrides"
)

// The override of a server that was included again is kept until the server's slow start is long over:
// for pruneSlowStarts times the duration of slow start, and pruneMargin more.
const (
	pruneSlowStarts = 2
	pruneMargin     = time.Minute
)

// DrainingClients reports whether clients are being sent to other balancers.
func (c *Core) DrainingClients() bool { return c.overrides.Drain.Active }

// Overrides returns a copy of the operators' overrides.
func (c *Core) Overrides() overrides.Overrides { return c.overrides.Clone() }

// PruneOverrides removes the entries of servers that were included again long ago. It must not be
// called while another process of this balancer is alive: that process may still hold the exclusion,
// and a merge would restore it.
func (c *Core) PruneOverrides() {
	c.overrides.Prune(c.now - pruneSlowStarts*c.settings.Rules.SlowStartDuration - pruneMargin)
}

// handleAdminCommand applies an operator's command. The overrides are persisted before the result is
// reported.
func (c *Core) handleAdminCommand(event AdminCommand) {
	changed, err := c.overrides.Apply(overrides.Command{
		At: c.now, Process: c.processID, Action: event.Action,
		Server: event.Server, Listed: c.serversByName[event.Server] != nil,
	})
	if changed {
		slog.Info("admin command", "action", event.Action, "server", event.Server)
		if event.Action.ConcernsServer() {
			c.applyOverride(event.Server)
		} else {
			c.emit(DrainClients{c.overrides.Drain.Active})
		}
		c.emit(PersistOverrides{})
	}
	c.emit(AdminResult{event.Call, err})
}

func (c *Core) handlePeerOverrides(event PeerOverrides) {
	servers, drainChanged := c.overrides.Merge(event.Overrides)
	for _, name := range servers {
		slog.Info("peer override applied", "server", name, "excluded", c.overrides.Excluded(name))
		c.applyOverride(name)
	}
	if drainChanged {
		slog.Info("peer override applied", "drain", c.overrides.Drain.Active)
		c.emit(DrainClients{c.overrides.Drain.Active})
	}
	if drainChanged || len(servers) > 0 {
		c.emit(PersistOverrides{})
	}
}

// applyOverride passes the override of a server to the module, and closes the idle connections to a
// server that is now excluded. It does nothing for a server that is not listed: addServer applies the
// exclusion when the server is listed again.
func (c *Core) applyOverride(name string) {
	server := c.serversByName[name]
	if server == nil {
		return
	}
	override := c.overrides.Servers[name]
	server.excluded = override.Active
	if server.excluded {
		c.emit(CloseIdle{server.endpoint()})
		c.balancer.Exclude(c.now, server.id)
	} else {
		c.balancer.Include(c.now, server.id, override.SetAt)
	}
}
