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
	Watch  string        // the duty of asking discovery for all balancers that name it; "": each asks
	Source string        // discovery's name, where balancers reach the same one at different addresses
}

// Lists is what a balancer's watch of discovery goes by where one balancer asks for many. Its methods
// do not block and may be called from any goroutine.
type Lists interface {
	// Asks tells whether this balancer, which goes by discovery at source, asks it now, and whether for
	// the whole list.
	Asks(source string) (ask, whole bool)
	// Told passes on what this balancer's own call brought.
	Told(Post)
	// Failed says that this balancer's own call failed.
	Failed()
	// Behind says which version is known here, and that a later one is looked for.
	Behind(source string, version uint64)
}

// Join begins a balancer's part in a watch: source is where it asks, and take gets the lists of others.
// It returns nil if there is no such duty.
type Join func(source string, take Take) Lists

// Take is called with a list that another balancer was told, as Told was. It must not block.
type Take func(Post)

// Post is a list, or what has changed of one, as discovery wrote it.
type Post struct {
	Source string `cbor:"1,keyasint"`           // discovery's address: versions mean nothing at another
	From   uint64 `cbor:"2,keyasint,omitempty"` // the version that it changes; of a whole list 0
	To     uint64 `cbor:"3,keyasint"`           // the version that it leads to; From again: the watch stands
	Whole  bool   `cbor:"4,keyasint,omitempty"`
	Body   []byte `cbor:"5,keyasint,omitempty"`
}

// Beat tells whether a post only says that the holder's watch stands.
func (p *Post) Beat() bool { return !p.Whole && p.From == p.To }

// Fits tells whether a post leads on from a version of a source: take it, look for what lies between
// (missing), or neither, because it is older than what is known.
func (p *Post) Fits(source string, version uint64) (take, missing bool) {
	switch {
	case p.Source != source || p.Beat() && p.To <= version:
		return false, false
	case p.Whole:
		return p.To >= version, false
	case p.Beat():
		return false, true
	case p.To <= version:
		return false, false
	}
	return p.From == version, p.From != version
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
	if c.Watch != "" && !named(c.Watch) {
		add("watch", "%q is no name", c.Watch)
	}
	if c.Source != "" && (!named(c.Source) || c.Watch == "") {
		add("source", "%q: a name is expected, and none without a watch", c.Source)
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
