package lease

import (
	"cmp"
	"errors"
	"maps"
	"slices"
)

// Duty names what at most one process may do at a time.
type Duty string

// Process identifies one run of a program. A process that was restarted does not hold what it held before.
type Process struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // drawn at random at its start
}

// Grant is a lease: one duty, held by one process under one token.
type Grant struct {
	Duty   Duty    `cbor:"1,keyasint"`
	Holder Process `cbor:"2,keyasint"`
	Token  uint64  `cbor:"3,keyasint"` // the fencing token; it rises with every grant of the group, of any duty
}

// Op is the operation of a Command.
type Op uint8

// Operations. Renewal is none of them: it changes nothing that the group agrees on.
const (
	Acquire  Op = iota + 1 // Process takes a duty that nobody holds; if it holds it already, the grant stays
	Release                // Process gives up what it holds under Token
	Transfer               // Process gives what it holds under Token to Successor, under a new token
	Expire                 // the leader ends the lease under Token
)

// Command is a change of the Table.
type Command struct {
	Op        Op      `cbor:"1,keyasint"`
	Duty      Duty    `cbor:"2,keyasint"`
	Process   Process `cbor:"3,keyasint"`           // who asks; not set for Expire
	Token     uint64  `cbor:"4,keyasint,omitempty"` // not set for Acquire
	Successor Process `cbor:"5,keyasint,omitempty"` // of Transfer
}

// Errors of a Command or a renewal. ErrHeld comes with the grant that is in force.
var (
	ErrHeld    = errors.New("another process holds the duty")
	ErrNotHeld = errors.New("the duty is not held under this token")
)

// Table is the replicated state: which leases are granted. The zero value is empty.
type Table struct {
	lastToken uint64
	grants    map[Duty]Grant
}

// Apply carries out a command. Voters that apply the same commands in the same order have the same table
// and get the same results. The returned grant is the one in force after Acquire and Transfer, and the one that
// ended after Release and Expire. With ErrHeld or ErrNotHeld the table is unchanged, and the grant is the
// one in force, if any.
func (t *Table) Apply(c Command) (Grant, error) {
	current, held := t.grants[c.Duty]
	if c.Op == Acquire {
		switch {
		case !held:
			return t.grant(c.Duty, c.Process), nil
		case current.Holder == c.Process:
			return current, nil
		default:
			return current, ErrHeld
		}
	}
	mayEnd := c.Op == Expire || current.Holder == c.Process
	if !held || current.Token != c.Token || !mayEnd {
		return current, ErrNotHeld
	}
	if c.Op == Transfer {
		return t.grant(c.Duty, c.Successor), nil
	}
	delete(t.grants, c.Duty)
	return current, nil
}

func (t *Table) grant(d Duty, holder Process) Grant {
	if t.grants == nil {
		t.grants = map[Duty]Grant{}
	}
	t.lastToken = rules.nextToken(t.lastToken)
	g := Grant{Duty: d, Holder: holder, Token: t.lastToken}
	t.grants[d] = g
	return g
}

// Holder returns the grant of a duty, and whether the duty is held.
func (t *Table) Holder(d Duty) (Grant, bool) {
	g, held := t.grants[d]
	return g, held
}

// Snapshot is the content of a Table, as it is stored and sent.
type Snapshot struct {
	LastToken uint64  `cbor:"1,keyasint"`
	Grants    []Grant `cbor:"2,keyasint"` // sorted by duty
}

// Snapshot returns a copy of the table's content.
func (t *Table) Snapshot() Snapshot {
	grants := slices.SortedFunc(maps.Values(t.grants), func(a, b Grant) int {
		return cmp.Compare(a.Duty, b.Duty)
	})
	return Snapshot{LastToken: t.lastToken, Grants: grants}
}

// Restore replaces the table's content.
func (t *Table) Restore(s Snapshot) {
	t.lastToken = s.LastToken
	t.grants = map[Duty]Grant{}
	for _, g := range s.Grants {
		t.grants[g.Duty] = g
	}
}
