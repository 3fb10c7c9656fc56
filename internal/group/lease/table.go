// Package lease holds duties that one process at a time may do: who was granted which, under which
// token, and until when each side goes by it. It is pure: values in, values out, the clock an argument.
//
// Three parts keep one promise. Table is what the group agrees on, without any time in it: a token is
// given once and only rises. Keeper is the grantor's clock: it lets go of what was not renewed for a
// whole term. Holder is the other side's: it stops earlier, by its own monotonic clock, counted from
// when it asked. Two clocks that run apart by no more than Terms.Drift never show two holders at once.
// A holder that slept between its look at the clock and its act is beyond any clock: Fence, at whoever
// receives the act, refuses a token below one that it has seen (Kleppmann, "How to do distributed
// locking"; Burrows, "The Chubby lock service", section 2.4).
package lease

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"piernotch/internal/group/failpoint"
)

// Duty names what one process at a time may do.
type Duty string

// Process is a process: its name, and a number that it drew at its start. A process that was started
// again is not the one that holds what it held before.
type Process struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Grant is one duty in one hand. Token rises with every grant of the group, whatever the duty.
type Grant struct {
	Duty   Duty    `cbor:"1,keyasint"`
	Holder Process `cbor:"2,keyasint"`
	Token  uint64  `cbor:"3,keyasint"`
}

// Op is what a command does.
type Op uint8

// Operations. Renewals are none: they change nothing that the group agrees on.
const (
	Acquire  Op = iota + 1 // Who takes a duty that nobody holds; asked again, its grant stands
	Release                // Who gives up what it holds under Token
	Transfer               // Who gives what it holds under Token to To, under a new token
	Expire                 // the grantor takes back what is held under Token
)

// Command is a change of the table.
type Command struct {
	Op        Op      `cbor:"1,keyasint"`
	Duty      Duty    `cbor:"2,keyasint"`
	Process   Process `cbor:"3,keyasint"`
	Token     uint64  `cbor:"4,keyasint,omitempty"`
	Successor Process `cbor:"5,keyasint,omitempty"`
}

// Errors of a command. ErrHeld comes with the grant that stands.
var (
	ErrHeld    = errors.New("another process holds the duty")
	ErrNotHeld = errors.New("the duty is not held under this token")
)

// Table is what the group agrees on. The zero value is empty.
type Table struct {
	last   uint64
	grants map[Duty]Grant
}

// Apply carries out a command. All members that apply the same commands in the same order come to the
// same table and the same answers.
func (t *Table) Apply(c Command) (Grant, error) {
	held, is := t.grants[c.Duty]
	if c.Op == Acquire {
		switch {
		case is && held.Holder == c.Process:
			return held, nil
		case is:
			return held, ErrHeld
		}
		return t.grant(c.Duty, c.Process), nil
	}
	if !is || held.Token != c.Token || c.Op != Expire && held.Holder != c.Process {
		return held, ErrNotHeld
	}
	if c.Op == Transfer {
		return t.grant(c.Duty, c.Successor), nil
	}
	delete(t.grants, c.Duty)
	return held, nil
}

func (t *Table) grant(d Duty, to Process) Grant {
	if t.grants == nil {
		t.grants = map[Duty]Grant{}
	}
	t.last++
	if failpoint.Enabled("token-reused") {
		t.last = 1
	}
	g := Grant{d, to, t.last}
	t.grants[d] = g
	return g
}

// Holder returns the grant of a duty, if it is held.
func (t *Table) Holder(d Duty) (Grant, bool) {
	g, is := t.grants[d]
	return g, is
}

// Snapshot is a table as it is kept and sent.
type Snapshot struct {
	LastToken uint64  `cbor:"1,keyasint"`
	Grants    []Grant `cbor:"2,keyasint"`
}

// Snapshot returns the table's content, duties in order.
func (t *Table) Snapshot() Snapshot {
	all := slices.SortedFunc(maps.Values(t.grants), func(a, b Grant) int { return cmp.Compare(a.Duty, b.Duty) })
	return Snapshot{t.last, all}
}

// Restore replaces the table's content.
func (t *Table) Restore(i Snapshot) {
	t.last, t.grants = i.LastToken, map[Duty]Grant{}
	for _, g := range i.Grants {
		t.grants[g.Duty] = g
	}
}

// Timing are what both sides go by.
type Timing struct {
	// Duration is how long a grant stands at the grantor without a renewal.
	Duration time.Duration
	// MaxClockDrift bounds how far any clock's rate lies from true time: 0.01 is one second in a hundred.
	// Crystals keep to 0.0002; the rest is for machines that are stopped for moments.
	MaxClockDrift float64
}

// HolderDuration is how long a holder may go by a grant, from when it asked: so much less than Length that the
// quickest grantor lets go only after the slowest holder has stopped.
func (t Timing) HolderDuration() time.Duration {
	return time.Duration(float64(t.Duration) * (1 - t.MaxClockDrift) / (1 + t.MaxClockDrift))
}

// ExpiryClock is the grantor's clock: who leads the group keeps one, from when it begins to lead.
type ExpiryClock struct {
	terms Timing
	until map[Duty]deadline
}

type deadline struct {
	token    uint64
	at       time.Duration
	lapsing  bool          // Expire was proposed: too late for a renewal
	proposed time.Duration // when
}

// NewExpiryClock begins at now. What is held counts from now: the last leader may have renewed it a moment
// ago.
func NewExpiryClock(terms Timing, now time.Duration, held []Grant) *ExpiryClock {
	k := &ExpiryClock{terms: terms, until: map[Duty]deadline{}}
	for _, g := range held {
		_ = k.Start(now, g)
		if failpoint.Enabled("timers-forgotten") {
			k.until[g.Duty] = deadline{token: g.Token, at: now}
		}
	}
	return k
}

// Granted notes a grant, or one that was asked for again. A grant whose end is on its way must not be
// answered with, though the table still has it.
func (k *ExpiryClock) Start(now time.Duration, g Grant) error {
	if d := k.until[g.Duty]; d.token == g.Token && d.lapsing && !failpoint.Enabled("granted-while-lapsing") {
		return ErrNotHeld
	}
	k.until[g.Duty] = deadline{token: g.Token, at: now + k.terms.Duration}
	return nil
}

// Ended notes that a duty is held by nobody.
func (k *ExpiryClock) Stop(d Duty) { delete(k.until, d) }

// Renew prolongs a grant, unless it is not the one that stands, or its end is on its way.
func (k *ExpiryClock) Renew(now time.Duration, d Duty, token uint64) error {
	u, is := k.until[d]
	if !is || u.token != token || u.lapsing && !failpoint.Enabled("renewed-after-expiry") {
		return ErrNotHeld
	}
	u.at = now + k.terms.Duration
	k.until[d] = u
	return nil
}

// Expired returns the commands that take back what was not renewed in time, duties in order. Each comes
// again after a whole term, in case it was lost.
func (k *ExpiryClock) Expired(now time.Duration) []Command {
	var out []Command
	for _, d := range slices.Sorted(maps.Keys(k.until)) {
		u := k.until[d]
		if now < u.at || u.lapsing && now < u.proposed+k.terms.Duration {
			continue
		}
		u.lapsing, u.proposed = true, now
		k.until[d] = u
		out = append(out, Command{Op: Expire, Duty: d, Token: u.token})
	}
	return out
}
