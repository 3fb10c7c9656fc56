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
	ErrNotLeading = errors.New("this member does not lead the group")
	ErrUnknown    = errors.New("leadership was lost: the change may have been made")
	ErrBusy       = errors.New("too many questions wait")
	ErrNameInUse  = errors.New("another voter of this name is heard")
)

// Kind is what a question is about.
type Kind uint8

// Kinds of questions.
const (
	Change  Kind = iota + 1 // a command
	Renew                   // prolong what Command.Who holds of Command.Duty under Command.Token
	Read                    // who holds Command.Duty
	Admit                   // take Voter in, in place of one of its name that is not heard of
	List                    // all that is held, and who votes
	Publish                 // pass Post on under what Command.Who holds of Command.Duty under Command.Token
	Follow                  // tell what is published under Command.Duty, from Post's version on
)

// Question is asked of the leader. Key is the asker's, and comes with the answer.
type Question struct {
	Key     uint64
	Kind    Kind
	Command lease.Command
	Voter   Voter
	Post    *group.WatchEvent
}

// Of is the question that a holder asks.
func Of(a lease.Request) Question {
	kind := Change
	if a.Renew {
		kind = Renew
	}
	return Question{Kind: kind, Command: a.Command}
}

// Final tells whether an answer's error is the group's word, and not the lack of one.
func Final(err error) bool {
	return err == nil || errors.Is(err, lease.ErrHeld) || errors.Is(err, lease.ErrNotHeld)
}

// Answer is the group's.
type Answer struct {
	Key   uint64
	Grant lease.Grant
	Image Image // of List
	Err   error
}

// Image is the state that all members come to.
type Image struct {
	Table  lease.Snapshot `cbor:"1,keyasint"`
	Voters []Voter        `cbor:"2,keyasint"`
}

// Hello is what a voter says of itself before it takes part: an older copy of its disk would vote twice,
// or have forgotten what it promised to keep.
type Hello struct {
	Starts uint64 `cbor:"Starts"` // how often its store was opened, this time included
	Run    uint64 `cbor:"Run"`    // drawn at this start: a copy that was taken before it counts as far
	Term   uint64 `cbor:"Term"`
	Vote   uint64 `cbor:"Vote"`
	Last   uint64 `cbor:"Last"`
}
