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
	Name          string        // of the group
	Self          string        // this balancer's name in it; one of Voters, or a member that does not vote
	Disk          string        // a voter's file
	LeaseDuration time.Duration // how long a duty stands without a renewal
	MaxClockDrift float64       // how far any clock's rate may be off, as a share
	Voters        []Voter       // three or five, the same everywhere
	Duties        []string      // those that this balancer takes if nobody has them
	Watch         string        // the duty of asking discovery for all balancers that name it; "": each asks
	Source        string        // discovery's name, where balancers reach the same one at different addresses
}

// SharedWatch is what a balancer's watch of discovery goes by where one balancer asks for many. Its methods
// do not block and may be called from any goroutine.
type SharedWatch interface {
	// ShouldPoll tells whether this balancer, which goes by discovery at source, asks it now, and whether for
	// the whole list.
	ShouldPoll(source string) (ask, whole bool)
	// Publish passes on what this balancer's own call brought.
	Publish(WatchEvent)
	// PollFailed says that this balancer's own call failed.
	PollFailed()
	// RequestUpdate says which version is known here, and that a later one is looked for.
	RequestUpdate(source string, version uint64)
}

// JoinWatch begins a balancer's part in a watch: source is where it asks, and take gets the lists of others.
// It returns nil if there is no such duty.
type JoinWatch func(source string, take OnUpdate) SharedWatch

// OnUpdate is called with a list that another balancer was told, as Told was. It must not block.
type OnUpdate func(WatchEvent)

// WatchEvent is a list, or what has changed of one, as discovery wrote it.
type WatchEvent struct {
	Source      string `cbor:"1,keyasint"`           // discovery's address: versions mean nothing at another
	FromVersion uint64 `cbor:"2,keyasint,omitempty"` // the version that it changes; of a whole list 0
	ToVersion   uint64 `cbor:"3,keyasint"`           // the version that it leads to; From again: the watch stands
	Whole       bool   `cbor:"4,keyasint,omitempty"`
	Body        []byte `cbor:"5,keyasint,omitempty"`
}

// IsHeartbeat tells whether a post only says that the holder's watch stands.
func (p *WatchEvent) IsHeartbeat() bool { return !p.Whole && p.FromVersion == p.ToVersion }

// Follows tells whether a post leads on from a version of a source: take it, look for what lies between
// (missing), or neither, because it is older than what is known.
func (p *WatchEvent) Follows(source string, version uint64) (take, missing bool) {
	switch {
	case p.Source != source || p.IsHeartbeat() && p.ToVersion <= version:
		return false, false
	case p.Whole:
		return p.ToVersion >= version, false
	case p.IsHeartbeat():
		return false, true
	case p.ToVersion <= version:
		return false, false
	}
	return p.FromVersion == version, p.FromVersion != version
}

// Voter is a member that votes, and where it listens for the group.
type Voter struct{ Name, Address string }

// Bounds of the settings.
const (
	MinLeaseDuration = time.Second
	MaxLeaseDuration = 10 * time.Minute
	MaxDrift         = 0.1
	MaxVoters        = 7
	MaxDuties        = 256
	MaxNameLength    = 64
)

// FieldError is a setting that cannot be used.
type FieldError struct{ Key, Message string }

func (p FieldError) Error() string { return fmt.Sprintf("group.%s: %s", p.Key, p.Message) }

// Voter tells whether this balancer is a voter, and which.
func (c *Config) Voter() (Voter, bool) {
	for _, v := range c.Voters {
		if v.Name == c.Self {
			return v, true
		}
	}
	return Voter{}, false
}

// Check returns all that is wrong with the settings.
func (c *Config) Check() []FieldError {
	var out []FieldError
	add := func(key, format string, args ...any) {
		out = append(out, FieldError{key, fmt.Sprintf(format, args...)})
	}
	named := func(s string) bool { return s != "" && len(s) <= MaxNameLength }
	if !named(c.Name) {
		add("name", "%q, a name of up to %d characters is expected", c.Name, MaxNameLength)
	}
	if !named(c.Self) {
		add("self", "%q, this balancer's name in the group is expected", c.Self)
	}
	if n := len(c.Voters); n != 1 && (n%2 == 0 || n < 3 || n > MaxVoters) {
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
	if _, votes := c.Voter(); c.Self != "" && votes != (c.Disk != "") {
		add("disk", "%q: a voter keeps a file, and only a voter does", c.Disk)
	}
	if c.LeaseDuration < MinLeaseDuration || c.LeaseDuration > MaxLeaseDuration {
		add("length_ms", "%v, from %v to %v is expected", c.LeaseDuration, MinLeaseDuration, MaxLeaseDuration)
	}
	if c.MaxClockDrift < 0 || c.MaxClockDrift > MaxDrift {
		add("drift", "%v, a share from 0 to %v is expected", c.MaxClockDrift, MaxDrift)
	}
	if c.Watch != "" && !named(c.Watch) {
		add("watch", "%q is no name", c.Watch)
	}
	if c.Source != "" && (!named(c.Source) || c.Watch == "") {
		add("source", "%q: a name is expected, and none without a watch", c.Source)
	}
	if len(c.Duties) > MaxDuties {
		add("duties", "%d, at most %d are expected", len(c.Duties), MaxDuties)
	}
	for _, d := range c.Duties {
		if !named(d) {
			add("duties", "%q is no name", d)
		}
	}
	return out
}
