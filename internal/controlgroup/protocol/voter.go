package protocol

import "piernotch/internal/controlgroup/lease"

// Voter is a member of the group that votes. It is identified by its ID, never by its name: a voter whose store
// was lost comes back under the same name as another voter.
type Voter struct {
	ID      uint64 `cbor:"1,keyasint"` // drawn at random when its store was created; never 0
	Name    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"` // host:port; may be empty, since voters connect by their configuration
}

// Snapshot is the state that all voters agree on.
type Snapshot struct {
	Leases lease.Snapshot `cbor:"1,keyasint"`
	Voters []Voter        `cbor:"2,keyasint"`
}

// Announcement is what a voter tells the others of its store before it takes part. A store restored from an older
// copy could vote twice in one term, or lack entries that it acknowledged; the others would notice here.
type Announcement struct {
	StartCount  uint64 `cbor:"Starts"` // how often the store was opened, this time included
	Incarnation uint64 `cbor:"Run"`    // drawn at this start; tells two copies apart that were opened equally often
	Term        uint64 `cbor:"Term"`   // as in raft's hard state
	Vote        uint64 `cbor:"Vote"`   // the voter's vote in Term; 0: none
	LastIndex   uint64 `cbor:"Last"`   // of its log
}
