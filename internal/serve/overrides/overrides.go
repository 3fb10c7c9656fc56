// Package overrides holds what operators have told a balancer: which feed servers are left out,
// and whether it sends its clients away. Two processes of one balancer stand side by side while
// one takes over from the other, and each may be told something: what they hold merges entry by
// entry, the later word wins, and the order in which records are read makes no difference.
//
// The package does no I/O and reads no clock.
package overrides

import (
	"errors"
	"maps"
	"time"
)

// Action is what an operator asks for.
type Action uint8

// Verbs.
const (
	Exclude  Action = iota // leave a feed server out
	Include                // it may serve again
	Evacuate               // send clients away
	Rejoin                 // take them again
)

var verbs = [...]string{"exclude", "include", "evacuate", "rejoin"}

func (v Action) String() string { return verbs[v] }

// Errors of Say.
var (
	ErrUnknownServer   = errors.New("no feed server of that name is known")
	ErrTooManyExcluded = errors.New("too many feed servers are left out already")
)

// MaxExcluded bounds how many servers may be left out at a time.
const MaxExcluded = 4096

// Timestamp orders words. Count is above that of every word that was known when it was given; two
// processes that were told something in the same moment differ in By.
type Timestamp struct {
	Counter uint64 `json:"count"`
	Process uint64 `json:"by"`
}

func (s Timestamp) before(t Timestamp) bool {
	return s.Counter < t.Counter || s.Counter == t.Counter && s.Process < t.Process
}

// Override is the last that was said of one thing.
type Override struct {
	Timestamp
	Active bool          `json:"on"`
	SetAt  time.Duration `json:"at"` // Unix time
}

// Overrides are all that count. The zero value says nothing; it must not be copied while in use.
type Overrides struct {
	Servers map[string]Override `json:"servers,omitempty"` // On: left out
	Drain   Override            `json:"drain"`             // On: clients are sent away
}

// Excluded tells whether the server is left out.
func (w *Overrides) Excluded(server string) bool { return w.Servers[server].Active }

// Clone returns a copy that shares nothing.
func (w *Overrides) Clone() Overrides { return Overrides{maps.Clone(w.Servers), w.Drain} }

// Apply takes an operator's word at now from process by. known tells whether a server of that
// name is listed. It returns whether anything is different now; what was said twice is not.
func (w *Overrides) Apply(now time.Duration, by uint64, verb Action, server string, known bool) (changed bool, err error) {
	next := Override{Timestamp{w.top() + 1, by}, verb == Exclude || verb == Evacuate, now}
	if verb == Evacuate || verb == Rejoin {
		if w.Drain.Active == next.Active {
			return false, nil
		}
		w.Drain = next
		return true, nil
	}
	was := w.Servers[server]
	switch {
	case !known && !was.Active:
		return false, ErrUnknownServer
	case was.Active == next.Active:
		return false, nil
	case next.Active && w.count() >= MaxExcluded:
		return false, ErrTooManyExcluded
	}
	if w.Servers == nil {
		w.Servers = map[string]Override{}
	}
	w.Servers[server] = next
	return true, nil
}

// Merge takes what another process holds and returns the servers of which another word counts
// now, and whether that of the drain does.
func (w *Overrides) Merge(other *Overrides) (servers []string, drain bool) {
	for name, theirs := range other.Servers {
		ours, ok := w.Servers[name]
		if ok && !ours.before(theirs.Timestamp) {
			continue
		}
		if w.Servers == nil {
			w.Servers = map[string]Override{}
		}
		w.Servers[name] = theirs
		if ours.Active != theirs.Active || !ok {
			servers = append(servers, name)
		}
	}
	if w.Drain.before(other.Drain.Timestamp) {
		drain = w.Drain.Active != other.Drain.Active
		w.Drain = other.Drain
	}
	return servers, drain
}

// Prune forgets that servers were included again, where that was before the given time. It must
// not be called while another process holds words: it could still hold the exclusion.
func (w *Overrides) Prune(before time.Duration) {
	maps.DeleteFunc(w.Servers, func(_ string, word Override) bool { return !word.Active && word.SetAt < before })
}

func (w *Overrides) top() uint64 {
	top := w.Drain.Counter
	for _, word := range w.Servers {
		top = max(top, word.Counter)
	}
	return top
}

func (w *Overrides) count() (n int) {
	for _, word := range w.Servers {
		if word.Active {
			n++
		}
	}
	return n
}
