// Package protocol holds what the voters of a control group and its members say to each other: plain
// values, which link no engine of agreement.
package protocol

import (
	"errors"

	"piernotch/internal/group"
	"piernotch/internal/group/lease"
)

// Voter is a member that votes: a store, by the number that was drawn when it was made. A name is no
// identity: an emptied disk comes back as another voter.
type Voter struct {
	ID      uint64 `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
}

// Errors of a question. ErrUnknown says that a change may have been made, or may be made yet.
var (
	ErrNotLeader      = errors.New("this member does not lead the group")
	ErrOutcomeUnknown = errors.New("leadership was lost: the change may have been made")
	ErrOverloaded     = errors.New("too many questions wait")
	ErrNameInUse      = errors.New("another voter of this name is heard")
)

// Kind is what a question is about.
type Kind uint8

// Kinds of questions.
const (
	Propose   Kind = iota + 1 // a command
	Renew                     // prolong what Command.Who holds of Command.Duty under Command.Token
	Read                      // who holds Command.Duty
	AddVoter                  // take Voter in, in place of one of its name that is not heard of
	List                      // all that is held, and who votes
	Publish                   // pass Post on under what Command.Who holds of Command.Duty under Command.Token
	Subscribe                 // tell what is published under Command.Duty, from Post's version on
)

// Request is asked of the leader. Key is the asker's, and comes with the answer.
type Request struct {
	Key     uint64
	Kind    Kind
	Command lease.Command
	Voter   Voter
	Event   *group.WatchEvent
}

// RequestFor is the question that a holder asks.
func RequestFor(a lease.Request) Request {
	kind := Propose
	if a.Renew {
		kind = Renew
	}
	return Request{Kind: kind, Command: a.Command}
}

// IsFinal tells whether an answer's error is the group's word, and not the lack of one.
func IsFinal(err error) bool {
	return err == nil || errors.Is(err, lease.ErrHeld) || errors.Is(err, lease.ErrNotHeld)
}

// Response is the group's.
type Response struct {
	Key      uint64
	Grant    lease.Grant
	Snapshot Snapshot // of List
	Err      error
}

// Snapshot is the state that all members come to.
type Snapshot struct {
	Leases lease.Snapshot `cbor:"1,keyasint"`
	Voters []Voter        `cbor:"2,keyasint"`
}

// Announcement is what a voter says of itself before it takes part: an older copy of its disk would vote twice,
// or have forgotten what it promised to keep.
type Announcement struct {
	Starts      uint64 `cbor:"Starts"` // how often its store was opened, this time included
	Incarnation uint64 `cbor:"Run"`    // drawn at this start: a copy that was taken before it counts as far
	Term        uint64 `cbor:"Term"`
	Vote        uint64 `cbor:"Vote"`
	LastIndex   uint64 `cbor:"Last"`
}
