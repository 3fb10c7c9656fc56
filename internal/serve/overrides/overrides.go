// Package overrides holds the operators' overrides of a balancer: which servers are excluded, and
// whether it sends its clients to other balancers.
//
// While one process of a balancer takes over from another, both are alive and either may receive
// commands. Their overrides are therefore a last-writer-wins map: each entry carries a Lamport
// timestamp, a merge keeps the later version of each entry, and the order of merges makes no
// difference.
//
// The package does no I/O, reads no clock and depends on neither sockets nor the decision module,
// package piernotch; it is not safe for concurrent use. internal/serve/core owns the overrides of a
// running process and applies them, internal/serve/handover stores them in records, and
// internal/serve/admin translates calls into actions.
package overrides

import (
	"errors"
	"maps"
	"time"
)

// Action is the kind of an operator's command.
type Action uint8

// The actions, in the order of actionNames.
const (
	Exclude  Action = iota // send no requests to a server
	Include                // undo Exclude
	Evacuate               // send clients to other balancers
	Rejoin                 // undo Evacuate
)

var actionNames = [...]string{"exclude", "include", "evacuate", "rejoin"}

// String returns the name of the action as it appears in the log.
func (a Action) String() string { return actionNames[a] }

// ConcernsServer reports whether the action is about one server, not about the balancer's clients.
func (a Action) ConcernsServer() bool { return a == Exclude || a == Include }

// activates reports whether the action sets an override rather than undoing it.
func (a Action) activates() bool { return a == Exclude || a == Evacuate }

// Errors of Apply. Their text is shown to operators.
var (
	// ErrUnknownServer means that the server is neither listed nor excluded.
	ErrUnknownServer = errors.New("no feed server of that name is known")
	// ErrTooManyExcluded means that MaxExcluded servers are excluded already.
	ErrTooManyExcluded = errors.New("too many feed servers are left out already")
)

// MaxExcluded is the number of excluded servers at which Apply excludes no more. A merge may exceed it.
const MaxExcluded = 4096

// CallID identifies an operator's command from its receipt to its result, within a process.
type CallID uint64

// ProcessID distinguishes the processes of a balancer.
type ProcessID uint64

// Timestamp is a Lamport timestamp: Counter is higher than that of every override that the process knew
// when it made this override. Process breaks the tie between two processes whose counters are equal.
type Timestamp struct {
	Counter uint64    `json:"count"`
	Process ProcessID `json:"by"`
}

// before reports whether t is older than other.
func (t Timestamp) before(other Timestamp) bool {
	if t.Counter != other.Counter {
		return t.Counter < other.Counter
	}
	return t.Process < other.Process
}

// Override is the state that the last command has set, for one server or for the balancer's clients.
type Override struct {
	Timestamp
	Active bool          `json:"on"`
	SetAt  time.Duration `json:"at"` // the command's At
}

// Overrides are all overrides of a balancer. The zero value has none. A copy shares the map; use
// Clone.
type Overrides struct {
	Servers map[string]Override `json:"servers,omitempty"` // by server name; if Active, the server is excluded
	Drain   Override            `json:"drain"`             // if Active, clients are sent to other balancers
}

// Excluded reports whether operators have excluded the named server.
func (o *Overrides) Excluded(server string) bool { return o.Servers[server].Active }

// Clone returns a deep copy.
func (o *Overrides) Clone() Overrides {
	return Overrides{Servers: maps.Clone(o.Servers), Drain: o.Drain}
}

// Command is an operator's command as a process receives it.
type Command struct {
	At      time.Duration // on the process's clock, which is set to Unix time at the start
	Process ProcessID     // the receiving process, for the timestamp
	Action  Action
	Server  string // name of the server, if the action concerns one
	Listed  bool   // whether the server is in the endpoint list
}

// Apply carries out a command and reports whether anything has changed. A repeated command changes
// nothing, and fails only if the server is neither listed nor excluded. The errors are ErrUnknownServer and
// ErrTooManyExcluded.
func (o *Overrides) Apply(command Command) (changed bool, err error) {
	next := Override{
		Timestamp: Timestamp{Counter: o.maxCounter() + 1, Process: command.Process},
		Active:    command.Action.activates(),
		SetAt:     command.At,
	}
	if !command.Action.ConcernsServer() {
		if o.Drain.Active == next.Active {
			return false, nil
		}
		o.Drain = next
		return true, nil
	}
	current := o.Servers[command.Server]
	switch {
	case !command.Listed && !current.Active:
		return false, ErrUnknownServer
	case current.Active == next.Active:
		return false, nil
	case next.Active && o.countExcluded() >= MaxExcluded:
		return false, ErrTooManyExcluded
	}
	o.setServer(command.Server, next)
	return true, nil
}

// Merge takes over the later overrides of another process. It returns the names of the servers whose
// override is new or has another value of Active, in no particular order, and whether Drain.Active has
// changed.
func (o *Overrides) Merge(other *Overrides) (servers []string, drainChanged bool) {
	for name, theirs := range other.Servers {
		ours, known := o.Servers[name]
		if known && !ours.before(theirs.Timestamp) {
			continue
		}
		o.setServer(name, theirs)
		if ours.Active != theirs.Active || !known {
			servers = append(servers, name)
		}
	}
	if o.Drain.before(other.Drain.Timestamp) {
		drainChanged = o.Drain.Active != other.Drain.Active
		o.Drain = other.Drain
	}
	return servers, drainChanged
}

// Prune removes the entries of servers that were included again before the given time, on the clock of
// SetAt. It must not be called while another process of the balancer is alive: that process could still
// hold the exclusion, and a merge would restore it.
func (o *Overrides) Prune(before time.Duration) {
	maps.DeleteFunc(o.Servers, func(_ string, override Override) bool {
		return !override.Active && override.SetAt < before
	})
}

func (o *Overrides) setServer(name string, override Override) {
	if o.Servers == nil {
		o.Servers = map[string]Override{}
	}
	o.Servers[name] = override
}

// maxCounter returns the highest counter of any override, including Drain.
func (o *Overrides) maxCounter() uint64 {
	highest := o.Drain.Counter
	for _, override := range o.Servers {
		highest = max(highest, override.Counter)
	}
	return highest
}

func (o *Overrides) countExcluded() int {
	count := 0
	for _, override := range o.Servers {
		if override.Active {
			count++
		}
	}
	return count
}
