package scenario

import (
	"maps"
	"slices"
)

// troubleKinds describes the kinds of trouble, by their names in files. The texts are part of error
// messages.
var troubleKinds = map[string]string{
	"slow":             "part of the servers run size times slower",
	"pauses":           "part of the servers stand still for size ms, every every_s",
	"report_late":      "load reports come size s later",
	"burst":            "size times the traffic, rising and falling over ramp_s",
	"heavy_tail":       "part of one class's requests (class; or of all) cost size times the work",
	"shrink":           "the fleet shrinks by 1/size over for_s, and traffic with it; a server drains for ramp_s",
	"leave":            "part of the servers drain and go over for_s; traffic stays",
	"join":             "new servers, part of the fleet's number, start over for_s",
	"replace":          "part of the servers are replaced by new ones under new ids over for_s",
	"takeover":         "part of the servers crash over for_s, and after ramp_s new ones under new ids come up at their addresses",
	"restart":          "part of the servers drain, end and start again, cold, over for_s",
	"crash":            "part of the servers crash at once and start again, cold, after for_s",
	"vanish":           "part of the servers fall silent, and start again, cold, after for_s",
	"balancer_crash":   "part of the balancers are killed at once and start again after for_s",
	"balancer_restart": "part of the balancers are restarted one after the other, every_s apart, each away for for_s",
	"choke":            "part of the servers are choked at once, as if overrun",
	"spoil":            "part of the answers come spoilt or with more than belongs to them; in the model they are errors",
	"rude":             "size clients a second send what is no request, or nothing; on sockets only",
	"list_loss":        "the list says by mistake that part of the servers are gone, and has them again after for_s",
	"roster_move":      "discovery moves to another address, and balancers are told by a reload",
	"discovery_outage": "discovery answers nothing and its watches end",
	"discovery_late":   "discovery learns of changes size s later",
}

// checkTrouble checks a trouble, whose key with a dot is at.
func (s *Scenario) checkTrouble(c *checker, at string, t *Trouble) {
	if _, ok := troubleKinds[t.Kind]; !ok {
		c.oneOf(at+"kind", t.Kind, slices.Sorted(maps.Keys(troubleKinds))...)
		return
	}
	c.withinAll(at, []limits{
		{"at_s", t.AtS, 0, MaxLength},
		{"for_s", t.ForS, 0, MaxLength},
		{"part", t.Part, 0, 1},
		{"size", t.Size, 0, 1e6},
		{"every_s", t.EveryS, 0, 3600},
		{"ramp_s", t.RampS, 0, 3600},
	})
	t.checkRequired(c, at)
	if t.Class != "" && !slices.ContainsFunc(s.Classes, func(k Class) bool { return k.Name == t.Class }) {
		c.report(at+"class", "%q is no class", t.Class)
	}
	if t.Zone != "" && !slices.Contains(s.Zones.Names, t.Zone) {
		c.report(at+"zone", "%q is no zone", t.Zone)
	}
}

// checkRequired checks the keys that a kind of trouble requires.
func (t *Trouble) checkRequired(c *checker, at string) {
	require := func(key string, r Range) {
		if !r.Set || r.upper() == 0 {
			c.report(at+key, "%s needs it: %s", t.Kind, troubleKinds[t.Kind])
		}
	}
	switch t.Kind {
	case "slow", "heavy_tail":
		require("part", t.Part)
		require("size", t.Size)
	case "pauses":
		require("part", t.Part)
		require("size", t.Size)
		require("every_s", t.EveryS)
		if t.EveryS.lower()*1000 <= t.Size.upper() {
			c.report(at+"every_s", "more than size (%v ms) is expected", t.Size.upper())
		}
	case "report_late", "burst", "discovery_late", "rude":
		require("size", t.Size)
	case "shrink":
		if t.Size.lower() < 1 {
			c.report(at+"size", "%v, 1 or more is expected", t.Size.lower())
		}
	case "discovery_outage", "roster_move": // nothing is required
	default:
		require("part", t.Part)
	}
}
