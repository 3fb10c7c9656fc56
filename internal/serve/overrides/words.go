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

// Verb is what an operator asks for.
type Verb uint8

// Verbs.
const (
	Exclude  Verb = iota // leave a feed server out
	Include              // it may serve again
	Evacuate             // send clients away
	Rejoin               // take them again
)

var verbs = [...]string{"exclude", "include", "evacuate", "rejoin"}

func (v Verb) String() string { return verbs[v] }

// Errors of Say.
var (
	ErrUnknown = errors.New("no feed server of that name is known")
	ErrTooMany = errors.New("too many feed servers are left out already")
)

// MaxExcluded bounds how many servers may be left out at a time.
const MaxExcluded = 4096

// Stamp orders words. Count is above that of every word that was known when it was given; two
// processes that were told something in the same moment differ in By.
type Stamp struct {
	Count uint64 `json:"count"`
	By    uint64 `json:"by"`
}

func (s Stamp) before(t Stamp) bool {
	return s.Count < t.Count || s.Count == t.Count && s.By < t.By
}

// Word is the last that was said of one thing.
type Word struct {
	Stamp
	On bool          `json:"on"`
	At time.Duration `json:"at"` // Unix time
}

// Words are all that count. The zero value says nothing; it must not be copied while in use.
type Words struct {
	Servers map[string]Word `json:"servers,omitempty"` // On: left out
	Drain   Word            `json:"drain"`             // On: clients are sent away
}

// Excluded tells whether the server is left out.
func (w *Words) Excluded(server string) bool { return w.Servers[server].On }

// Clone returns a copy that shares nothing.
func (w *Words) Clone() Words { return Words{maps.Clone(w.Servers), w.Drain} }

// Say takes an operator's word at now from process by. known tells whether a server of that
// name is listed. It returns whether anything is different now; what was said twice is not.
func (w *Words) Say(now time.Duration, by uint64, verb Verb, server string, known bool) (changed bool, err error) {
	next := Word{Stamp{w.top() + 1, by}, verb == Exclude || verb == Evacuate, now}
	if verb == Evacuate || verb == Rejoin {
		if w.Drain.On == next.On {
			return false, nil
		}
		w.Drain = next
		return true, nil
	}
	was := w.Servers[server]
	switch {
	case !known && !was.On:
		return false, ErrUnknown
	case was.On == next.On:
		return false, nil
	case next.On && w.count() >= MaxExcluded:
		return false, ErrTooMany
	}
	if w.Servers == nil {
		w.Servers = map[string]Word{}
	}
	w.Servers[server] = next
	return true, nil
}

// Merge takes what another process holds and returns the servers of which another word counts
// now, and whether that of the drain does.
func (w *Words) Merge(other *Words) (servers []string, drain bool) {
	for name, theirs := range other.Servers {
		ours, ok := w.Servers[name]
		if ok && !ours.before(theirs.Stamp) {
			continue
		}
		if w.Servers == nil {
			w.Servers = map[string]Word{}
		}
		w.Servers[name] = theirs
		if ours.On != theirs.On || !ok {
			servers = append(servers, name)
		}
	}
	if w.Drain.before(other.Drain.Stamp) {
		drain = w.Drain.On != other.Drain.On
		w.Drain = other.Drain
	}
	return servers, drain
}

// Prune forgets that servers were included again, where that was before the given time. It must
// not be called while another process holds words: it could still hold the exclusion.
func (w *Words) Prune(before time.Duration) {
	maps.DeleteFunc(w.Servers, func(_ string, word Word) bool { return !word.On && word.At < before })
}

func (w *Words) top() uint64 {
	top := w.Drain.Count
	for _, word := range w.Servers {
		top = max(top, word.Count)
	}
	return top
}

func (w *Words) count() (n int) {
	for _, word := range w.Servers {
		if word.On {
			n++
		}
	}
	return n
}
