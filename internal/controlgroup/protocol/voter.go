package protocol

import "piernotch/internal/controlgroup/lease"

// VoterID identifies a voter: its store's number, drawn at random when the store was created, and never 0.
type VoterID uint64

// Term is a term of raft: a leader is elected at most once in each.
type Term uint64

// Voter is a member of the group that votes. It is identified by its ID, never by its name: a voter whose store
// was lost comes back under the same name as another voter.
type Voter struct {
	ID      VoterID `cbor:"1,keyasint"`
	Name    string  `cbor:"2,keyasint"`
	Address string  `cbor:"3,keyasint"` // host:port; may be empty, since voters connect by their configuration
}

// Snapshot is the state that all voters agree on.
type Snapshot struct {
	Leases lease.Snapshot `cbor:"1,keyasint"`
	Voters []Voter        `cbor:"2,keyasint"`
}

// Announcement is what a voter sends to the others about its store before it takes part. A store restored from an older
// copy could vote twice in one term, or lack entries that it acknowledged; the others would notice here.
type Announcement struct {
	StartCount uint64 `cbor:"Starts"` // how often the store was opened, this time included
	// Incarnation is drawn at this start: it tells two copies apart that were opened equally often.
	Incarnation lease.Incarnation `cbor:"Run"`
	Term        Term              `cbor:"Term"` // as in raft's hard state
	Vote        VoterID           `cbor:"Vote"` // the voter's vote in Term; 0: none
	LastIndex   uint64            `cbor:"Last"` // of its log
}
