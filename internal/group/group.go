// Package group is the one seam between a balancer and what balancers do together: duties that
// one of them holds, copies that outlive a machine, changes in stages. All of that lives in
// packages below this one, which the balancer does not link. Without it every balancer serves
// alone, and keeps every rule.
package group

import (
	"fmt"
	"net"
	"time"
)

// Config says which group a balancer belongs to, and as what.
type Config struct {
	Name   string        // of the group
	Self   string        // this balancer's name in it; one of Voters, or a member that does not vote
	Disk   string        // a voter's file
	Length time.Duration // how long a duty stands without a renewal
	Drift  float64       // how far any clock's rate may be off, as a share
	Voters []Voter       // three or five, the same everywhere
	Duties []string      // those that this balancer takes if nobody has them
}

// Voter is a member that votes, and where it listens for the group.
type Voter struct{ Name, Address string }

// Bounds of the settings.
const (
	LeastLength = time.Second
	MostLength  = 10 * time.Minute
	MostDrift   = 0.1
	MostVoters  = 7
	MostDuties  = 256
	MostName    = 64
)

// Problem is a setting that cannot be used.
type Problem struct{ Key, What string }

func (p Problem) Error() string { return fmt.Sprintf("group.%s: %s", p.Key, p.What) }

// Votes tells whether this balancer is a voter, and which.
func (c *Config) Votes() (Voter, bool) {
	for _, v := range c.Voters {
		if v.Name == c.Self {
			return v, true
		}
	}
	return Voter{}, false
}

// Check returns all that is wrong with the settings.
func (c *Config) Check() []Problem {
	var out []Problem
	add := func(key, format string, args ...any) { out = append(out, Problem{key, fmt.Sprintf(format, args...)}) }
	named := func(s string) bool { return s != "" && len(s) <= MostName }
	if !named(c.Name) {
		add("name", "%q, a name of up to %d characters is expected", c.Name, MostName)
	}
	if !named(c.Self) {
		add("self", "%q, this balancer's name in the group is expected", c.Self)
	}
	if n := len(c.Voters); n != 1 && (n%2 == 0 || n < 3 || n > MostVoters) {
		add("voter", "%d voters: three or five are expected, an even number bears no more losses than one less", n)
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, v := range c.Voters {
		if host, _, err := net.SplitHostPort(v.Address); err != nil || net.ParseIP(host) == nil {
			add("voter", "%s: address %q is no IP address and port", v.Name, v.Address)
		}
		if !named(v.Name) || names[v.Name] || addresses[v.Address] {
			add("voter", "%q at %s: each voter has a name and an address of its own", v.Name, v.Address)
		}
		names[v.Name], addresses[v.Address] = true, true
	}
	if _, votes := c.Votes(); c.Self != "" && votes != (c.Disk != "") {
		add("disk", "%q: a voter keeps a file, and only a voter does", c.Disk)
	}
	if c.Length < LeastLength || c.Length > MostLength {
		add("length_ms", "%v, from %v to %v is expected", c.Length, LeastLength, MostLength)
	}
	if c.Drift < 0 || c.Drift > MostDrift {
		add("drift", "%v, a share from 0 to %v is expected", c.Drift, MostDrift)
	}
	if len(c.Duties) > MostDuties {
		add("duties", "%d, at most %d are expected", len(c.Duties), MostDuties)
	}
	for _, d := range c.Duties {
		if !named(d) {
			add("duties", "%q is no name", d)
		}
	}
	return out
}
