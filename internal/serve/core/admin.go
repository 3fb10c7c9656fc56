package core

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"piernotch"
	"piernotch/internal/serve/overrides"
)

// What operators change while requests are under way: feed servers left out, clients sent
// away, other settings.

// ClientsDrained tells whether clients are sent away.
func (c *Core) ClientsDrained() bool { return c.words.Drain.Active }

// Routes are how clients name the classes.
func (c *Core) Routes() []Route { return c.routes }

// Settings are those in force; classes that are no longer taken hold their places in them.
func (c *Core) Settings() piernotch.Settings { return c.set }

// Overrides returns a copy of what operators said.
func (c *Core) Overrides() overrides.Overrides { return c.words.Clone() }

// PruneOverrides forgets old words that no other process can hold any more.
func (c *Core) PruneOverrides() { c.words.Prune(c.now - 2*c.set.Rules.SlowStartDuration - time.Minute) }

// Snapshot tells what is known of the traffic.
func (c *Core) Snapshot() piernotch.Snapshot { return c.balancer.Snapshot() }

// Endpoints returns all feed servers as they were listed last, by name.
func (c *Core) Endpoints() []DiscoveredEndpoint {
	list := make([]DiscoveredEndpoint, 0, len(c.names))
	for _, b := range c.names {
		list = append(list, b.member)
	}
	slices.SortFunc(list, func(a, b DiscoveredEndpoint) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (c *Core) operated(ev AdminCommand) {
	changed, err := c.words.Apply(c.now, c.by, ev.Action, ev.Server, c.names[ev.Server] != nil)
	if changed {
		slog.Info("admin command", "action", ev.Action, "server", ev.Server)
		if ev.Action == overrides.Evacuate || ev.Action == overrides.Rejoin {
			c.do(DrainClients{c.words.Drain.Active})
		} else {
			c.follow(ev.Server)
		}
		c.do(PersistOverrides{})
	}
	c.do(AdminResult{ev.Call, err})
}

// heard takes what another process of this balancer was told.
func (c *Core) heard(other *overrides.Overrides) {
	servers, drain := c.words.Merge(other)
	for _, name := range servers {
		slog.Info("peer override applied", "server", name, "excluded", c.words.Excluded(name))
		c.follow(name)
	}
	if drain {
		slog.Info("peer override applied", "drain", c.words.Drain.Active)
		c.do(DrainClients{c.words.Drain.Active})
	}
	if drain || len(servers) > 0 {
		c.do(PersistOverrides{})
	}
}

// follow has the module know the word on a server that is listed.
func (c *Core) follow(name string) {
	b, word := c.names[name], c.words.Servers[name]
	if b == nil {
		return // once it is listed again
	}
	b.out = word.Active
	if b.out {
		c.do(CloseIdle{b.place()})
		c.balancer.Exclude(c.now, b.id)
	} else {
		c.balancer.Include(c.now, b.id, word.SetAt)
	}
}

// Route is how clients name a class: the first part of the path and whether repeats are safe,
// which decides the method.
type Route struct {
	Name       string
	Idempotent bool
	Class      int
	ExpiresAt  time.Duration // not taken from then on; 0: for as long as the settings last
}

// routeGrace is how long a class is still taken in its old form after its effect has changed:
// clients hear of new settings in their own time.
const routeGrace = 3 * time.Second

func routes(classes []piernotch.Class) []Route {
	var rs []Route
	for i, k := range classes {
		rs = append(rs, Route{Name: k.Name, Idempotent: k.RetrySafety == piernotch.Idempotent, Class: i})
	}
	return rs
}

// retuned takes other settings, whole or not at all.
func (c *Core) retuned(ev SettingsChanged) {
	set := ev.Settings
	err := set.Validate()
	var rs []Route
	if err == nil {
		set.Classes, rs = c.reclass(set.Classes)
		err = c.balancer.UpdateSettings(c.now, set)
	}
	if err != nil {
		c.do(SettingsApplied{Err: err})
		return
	}
	c.set, c.routes = set, rs
	c.do(SettingsApplied{Routes: rs})
	// What is known stays until the new address has told the whole list.
	if ev.Discovery != c.discovery {
		c.discovery = ev.Discovery
		c.do(MoveDiscovery{ev.Discovery})
	}
}

// reclass finds an index for each of the new classes. One that stays keeps its own; if its
// effect changes it is another class, and the old one is taken a little longer: what came as
// safe to repeat stays so. An index is used again once no request under way has it; until
// then it holds a class that is in use, and nothing new comes for it.
func (c *Core) reclass(next []piernotch.Class) ([]piernotch.Class, []Route) {
	classes := slices.Clone(c.set.Classes)
	taken := make([]bool, len(classes)) // not to be given to another class
	for _, r := range c.requests {
		taken[r.class] = true
	}
	old := map[string]int{}
	for _, r := range c.routes {
		if r.ExpiresAt == 0 {
			old[r.Name] = r.Class
		}
	}
	var rs []Route
	var added []piernotch.Class
	kept := make([]bool, len(classes)) // as it is
	for _, k := range next {
		i, ok := old[k.Name]
		delete(old, k.Name)
		switch {
		case ok && classes[i].RetrySafety == k.RetrySafety:
			classes[i], taken[i], kept[i] = k, true, true
			rs = append(rs, Route{Name: k.Name, Idempotent: k.RetrySafety == piernotch.Idempotent, Class: i})
			continue
		case ok:
			taken[i], kept[i] = true, true
			rs = append(rs, Route{Name: k.Name, Idempotent: classes[i].RetrySafety == piernotch.Idempotent, Class: i, ExpiresAt: c.now + routeGrace})
		}
		added = append(added, k)
	}
	for _, k := range added {
		i := slices.Index(taken, false)
		if i < 0 {
			i = len(classes)
			classes, taken, kept = append(classes, k), append(taken, true), append(kept, true)
		}
		classes[i], taken[i], kept[i] = k, true, true
		rs = append(rs, Route{Name: k.Name, Idempotent: k.RetrySafety == piernotch.Idempotent, Class: i})
	}
	for i := range classes {
		if !kept[i] {
			classes[i] = next[0]
		}
	}
	return classes, rs
}
