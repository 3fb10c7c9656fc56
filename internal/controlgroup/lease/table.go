package lease

import (
	"cmp"
	"errors"
	"maps"
	"slices"
)

// Duty is the name of a task that at most one process may carry out at a time.
type Duty string

// Token is a fencing token. Tokens rise with every grant in the group, across all duties. The first is 1; 0 means none.
type Token uint64

// Incarnation identifies one start of a program among all its starts. It is drawn at random.
type Incarnation uint64

// Process identifies one run of a program. After a restart the Incarnation differs, so a restarted process does not
// hold the leases of its earlier run.
type Process struct {
	Name        string      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// Grant is a lease: one duty, held by one process under one token.
type Grant struct {
	Duty   Duty    `cbor:"1,keyasint"`
	Holder Process `cbor:"2,keyasint"`
	Token  Token   `cbor:"3,keyasint"`
}

// Op is the operation of a Command. It is stored and sent as a number.
type Op uint8

// Operations. A renewal is not an operation, because it does not change the replicated state.
const (
	Acquire  Op = iota + 1 // Process acquires a duty without a lease holder; if Process holds the duty, nothing changes
	Release                // Process releases its lease under Token
	Transfer               // Process hands its lease under Token to Successor, who gets a new token
	Expire                 // the leader ends the lease under Token
)

// Command is a change of the Table.
type Command struct {
	Op        Op      `cbor:"1,keyasint"`
	Duty      Duty    `cbor:"2,keyasint"`
	Process   Process `cbor:"3,keyasint"`           // the requester; not set for Expire
	Token     Token   `cbor:"4,keyasint,omitempty"` // of the lease; not set for Acquire
	Successor Process `cbor:"5,keyasint,omitempty"` // set only for Transfer
}

// Errors of a Command or a renewal. Together with ErrHeld, the grant in force is returned.
var (
	ErrHeld    = errors.New("the lease is held by another process")
	ErrNotHeld = errors.New("the lease is not held under this token")
)

// Table holds the granted leases and the last token; it is replicated state. The zero value is empty.
type Table struct {
	lastToken Token
	grants    map[Duty]Grant
}

// Apply carries out a command. It is deterministic: voters that apply the same commands in the same order have the
// same table and get the same results. Acquire and Transfer return the grant now in force, Release and Expire the
// grant that they ended. With ErrHeld or ErrNotHeld the table is unchanged, and the grant is the one in force, if any.
func (t *Table) Apply(command Command) (Grant, error) {
	current, held := t.grants[command.Duty]
	if command.Op == Acquire {
		switch {
		case !held:
			return t.grant(command.Duty, command.Process), nil
		case current.Holder == command.Process:
			return current, nil
		default:
			return current, ErrHeld
		}
	}
	mayEnd := command.Op == Expire || current.Holder == command.Process
	if !held || current.Token != command.Token || !mayEnd {
		return current, ErrNotHeld
	}
	if command.Op == Transfer {
		return t.grant(command.Duty, command.Successor), nil
	}
	delete(t.grants, command.Duty)
	return current, nil
}

func (t *Table) grant(duty Duty, holder Process) Grant {
	if t.grants == nil {
		t.grants = map[Duty]Grant{}
	}
	t.lastToken = rules.nextToken(t.lastToken)
	grant := Grant{Duty: duty, Holder: holder, Token: t.lastToken}
	t.grants[duty] = grant
	return grant
}

// Holder returns the grant of a duty, and whether the duty is held.
func (t *Table) Holder(d Duty) (Grant, bool) {
	g, held := t.grants[d]
	return g, held
}

// Count returns the number of leases, and of those that processes of a name hold.
func (t *Table) Count(name string) (total, held int) {
	for _, grant := range t.grants {
		if grant.Holder.Name == name {
			held++
		}
	}
	return len(t.grants), held
}

// Snapshot is the content of a Table in the form in which it is stored and sent.
type Snapshot struct {
	LastToken Token   `cbor:"1,keyasint"`
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
func (t *Table) Restore(snapshot Snapshot) {
	t.lastToken = snapshot.LastToken
	t.grants = map[Duty]Grant{}
	for _, grant := range snapshot.Grants {
		t.grants[grant.Duty] = grant
	}
}
