package core

import (
	"log/slog"
	"time"

	"piernotch/internal/serve/overrides"
)

// pruneMargin is added to twice the slow start before an override that no longer has an effect is
// removed.
const pruneMargin = time.Minute

// ClientsDrained reports whether clients are being sent to other balancers.
func (c *Core) ClientsDrained() bool { return c.overrides.Drain.Active }

// Overrides returns a copy of the operators' overrides.
func (c *Core) Overrides() overrides.Overrides { return c.overrides.Clone() }

// PruneOverrides removes old overrides that have no effect any more. It must not be called while
// another process of this balancer is alive, which could still hold what they replaced.
func (c *Core) PruneOverrides() {
	c.overrides.Prune(c.now - 2*c.settings.Rules.SlowStartDuration - pruneMargin)
}

// handleAdminCommand applies an operator's command. The overrides are persisted before the command
// is answered.
func (c *Core) handleAdminCommand(ev AdminCommand) {
	changed, err := c.overrides.Apply(overrides.Command{
		At: c.now, Process: c.processID, Action: ev.Action,
		Server: ev.Server, Listed: c.serversByName[ev.Server] != nil,
	})
	if changed {
		slog.Info("admin command", "action", ev.Action, "server", ev.Server)
		if ev.Action.ConcernsServer() {
			c.applyOverride(ev.Server)
		} else {
			c.emit(DrainClients{c.overrides.Drain.Active})
		}
		c.emit(PersistOverrides{})
	}
	c.emit(AdminResult{ev.Call, err})
}

// handlePeerOverrides merges the overrides of another process of this balancer.
func (c *Core) handlePeerOverrides(ev PeerOverrides) {
	servers, drainChanged := c.overrides.Merge(ev.Overrides)
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
	b := c.serversByName[name]
	if b == nil {
		return
	}
	override := c.overrides.Servers[name]
	b.excluded = override.Active
	if b.excluded {
		c.emit(CloseIdle{b.endpoint()})
		c.balancer.Exclude(c.now, b.id)
	} else {
		c.balancer.Include(c.now, b.id, override.SetAt)
	}
}
