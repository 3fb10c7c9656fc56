package protocol

import (
	"errors"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/lease"
)

// Errors of a Response, beside lease.ErrHeld and lease.ErrNotHeld. Package transport gives each a code.
var (
	// ErrNotLeader: the request had no effect; another voter may lead.
	ErrNotLeader = errors.New("this voter is not the leader")
	// ErrOutcomeUnknown: the request may have taken effect, or may do so yet.
	ErrOutcomeUnknown = errors.New("leadership was lost: the outcome is unknown")
	// ErrOverloaded: the request had no effect; too many others are pending.
	ErrOverloaded = errors.New("too many pending requests")
	// ErrNameInUse: the group has a voter of this name under another ID, and it is alive.
	ErrNameInUse = errors.New("another voter of this name is alive")
)

// Kind is what a Request asks for.
type Kind uint8

// Kinds of requests. They are sent as numbers: new kinds go to the end.
const (
	Propose   Kind = iota + 1 // carry out Command
	Renew                     // renew what Command.Process holds of Command.Duty under Command.Token
	Read                      // return who holds Command.Duty
	AddVoter                  // add Voter, in place of an unreachable one of its name
	List                      // return all grants and the voters
	Publish                   // pass Event to the subscribers of Command.Duty, held under Command.Token
	Subscribe                 // send the events published under Command.Duty, from Event.ToVersion on
)

// Request is sent to the leader of the group. Command is set for all kinds but AddVoter and List.
type Request struct {
	Key     uint64 // the sender's own number; the response repeats it
	Kind    Kind
	Command lease.Command
	Voter   Voter                    // of AddVoter
	Event   *controlgroup.WatchEvent // of Publish and Subscribe
}

// RequestFor returns the request that a lease holder wants sent, without a Key.
func RequestFor(r lease.Request) Request {
	kind := Propose
	if r.Renew {
		kind = Renew
	}
	return Request{Kind: kind, Command: r.Command}
}

// Response is the response to the Request with the same Key.
type Response struct {
	Key      uint64
	Grant    lease.Grant // the grant in force, where there is one
	Snapshot Snapshot    // of List
	Err      error       // nil, or one of this package's or package lease's
}

// IsFinal reports whether a response's error is a decision of the group, and not the lack of one: the request need
// not be sent again.
func IsFinal(err error) bool {
	return err == nil || errors.Is(err, lease.ErrHeld) || errors.Is(err, lease.ErrNotHeld)
}
