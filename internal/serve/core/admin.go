package core

import (
	"log/slog"
	"time"

	"piernotch/internal/serve/overrides"
)

// An override that was undone is kept until the server that it was about has long had its full
// capacity again: for pruneSlowStarts times the slow start, and pruneMargin more.
const (
	pruneSlowStarts = 2
	pruneMargin     = time.Minute
)

// DrainingClients reports whether clients are being sent to other balancers.
func (c *Core) DrainingClients() bool { return c.overrides.Drain.Active }

// Overrides returns a copy of the operators' overrides.
func (c *Core) Overrides() overrides.Overrides { return c.overrides.Clone() }

// PruneOverrides removes old overrides that have no effect any more. It must not be called while
// another process of this balancer is alive, which could still hold what they replaced.
func (c *Core) PruneOverrides() {
	c.overrides.Prune(c.now - pruneSlowStarts*c.settings.Rules.SlowStartDuration - pruneMargin)
}

// handleAdminCommand applies an operator's command. The overrides are persisted before the result
// is reported.
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

// handlePeerOverrides merges the overrides of another process of this balancer.
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

// applyOverride has the module follow the override of a server. If it is not listed, that happens
// when it is listed again.
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
