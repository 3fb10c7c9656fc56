package protocol

import "piernotch/internal/controlgroup/lease"

// VoterID identifies a voter by its store. It is drawn at random when the store is created, and is never 0.
type VoterID uint64

// Term is a raft term: each has at most one leader.
type Term uint64

// Voter is a member with a vote. Its ID identifies it, not its name: a voter whose store was lost comes back with
// the same name and another ID, and counts as another voter.
type Voter struct {
	ID      VoterID `cbor:"1,keyasint"`
	Name    string  `cbor:"2,keyasint"`
	Address string  `cbor:"3,keyasint"` // host:port; may be empty, as voters connect to the addresses in their settings
}

// Snapshot is the replicated state that all voters agree on.
type Snapshot struct {
	Leases lease.Snapshot `cbor:"1,keyasint"`
	Voters []Voter        `cbor:"2,keyasint"`
}

// Announcement describes a voter's store to the other voters before the voter takes part. It lets them detect a
// store that was restored from an older copy: a voter with such a store could vote twice in one term, or lack
// entries that it acknowledged.
type Announcement struct {
	StartCount uint64 `cbor:"Starts"` // how often the store was opened, including this time
	// Incarnation is drawn at random at each start. It distinguishes copies of a store that were opened equally often.
	Incarnation lease.Incarnation `cbor:"Run"`
	Term        Term              `cbor:"Term"` // the term in raft's hard state
	Vote        VoterID           `cbor:"Vote"` // the voter's vote in Term; 0: none
	LastIndex   uint64            `cbor:"Last"` // the last index of the voter's log
}
