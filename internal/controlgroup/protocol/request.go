package protocol

import (
	"errors"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/lease"
)

// Errors of a Response, in addition to lease.ErrHeld, lease.ErrNotHeld and, for Publish, the errors of package watch.
// Package transport has a code for each.
var (
	// ErrNotLeader: the request had no effect; another voter may be the leader.
	ErrNotLeader = errors.New("this voter is not the leader")
	// ErrOutcomeUnknown: the request may have taken effect, or may still do so.
	ErrOutcomeUnknown = errors.New("leadership was lost: the outcome is unknown")
	// ErrOverloaded: the request had no effect; the leader has too many pending requests or watched duties.
	ErrOverloaded = errors.New("too many pending requests")
	// ErrNameInUse: the group has a live voter with this name and another ID.
	ErrNameInUse = errors.New("another voter of this name is alive")
)

// Kind is what a Request asks the group to do.
type Kind uint8

// Kinds of requests. Their numbers are part of the wire format: new kinds go to the end.
const (
	Propose   Kind = iota + 1 // agree on Command and apply it
	Renew                     // renew the lease of Command.Process on Command.Duty under Command.Token
	Read                      // return the holder of Command.Duty
	AddVoter                  // add Voter, in place of an unreachable voter of the same name
	List                      // return all grants and all voters
	Publish                   // send Event to the subscribers of Command.Duty; Command.Token must be in force
	Subscribe                 // send the events of Command.Duty after Event.ToVersion, and then each new one
)

// Request is a request to the group's leader. Command is set for all kinds except AddVoter and List.
type Request struct {
	Key     uint64 // the sender's number for this request; the response repeats it
	Kind    Kind
	Command lease.Command
	Voter   Voter                    // only for AddVoter
	Event   *controlgroup.WatchEvent // only for Publish and Subscribe
}

// RequestFor converts a lease holder's request. The result has no Key yet.
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
	Grant    lease.Grant // the grant in force, if any; after a Release, the grant that ended
	Snapshot Snapshot    // only for List
	Err      error       // nil, or an error of this package, package lease or (for Publish) package watch
}

// IsFinal reports whether a response's error (nil included) is the group's decision on a lease request. If it is
// not, the request must be sent again.
func IsFinal(err error) bool {
	return err == nil || errors.Is(err, lease.ErrHeld) || errors.Is(err, lease.ErrNotHeld)
}
