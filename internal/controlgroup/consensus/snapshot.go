package consensus

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// compactionInterval is the number of applied entries after which the log is compacted again.
const compactionInterval = 1000

// Start identifies one start of a voter. Incarnation tells apart two copies of one store that were opened equally
// often.
type Start struct {
	Count       uint64            `cbor:"1,keyasint"` // how often the store was opened, this start included
	Incarnation lease.Incarnation `cbor:"2,keyasint"`
}

// PersistentState is the state of a voter that its store holds. The zero value is the state of a new store.
type PersistentState struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry            // the log after Snapshot, without gaps
	Starts    map[protocol.VoterID]Start // the last accepted start of each other voter
}

// Bootstrap returns the initial state of every store of a new group. All voters of the group must pass the same
// voters in the same order, because their states have to be equal.
func Bootstrap(voters []protocol.Voter) PersistentState {
	confState := &raftpb.ConfState{}
	for _, voter := range voters {
		confState.Voters = append(confState.Voters, uint64(voter.ID))
	}
	slices.Sort(confState.Voters)
	data, err := cbor.Marshal(protocol.Snapshot{Voters: voters})
	if err != nil {
		panic(err) // cannot happen: the snapshot holds only integers and strings
	}
	one := uint64(1)
	metadata := &raftpb.SnapshotMetadata{ConfState: confState, Index: &one, Term: &one}
	return PersistentState{
		HardState: &raftpb.HardState{Term: &one, Commit: &one},
		Snapshot:  &raftpb.Snapshot{Data: data, Metadata: metadata},
	}
}

// restore replaces the replicated state by the state in a snapshot.
func (m *StateMachine) restore(snapshot *raftpb.Snapshot) error {
	metadata := snapshot.GetMetadata()
	var state protocol.Snapshot
	if err := cbor.Unmarshal(snapshot.GetData(), &state); err != nil {
		return fmt.Errorf("snapshot at %d: %w", metadata.GetIndex(), err)
	}
	m.table.Restore(state.Leases)
	m.voters = state.Voters
	m.applied = metadata.GetIndex()
	m.snapshotIndex = metadata.GetIndex()
	m.confState = metadata.GetConfState()
	return nil
}

// replicatedState returns a copy of the state that all voters agree on.
func (m *StateMachine) replicatedState() protocol.Snapshot {
	return protocol.Snapshot{Leases: m.table.Snapshot(), Voters: slices.Clone(m.voters)}
}

// compactLog replaces the log by a snapshot of the replicated state, after compactionInterval entries or a change
// of the voters: a new voter cannot use a snapshot that does not list it.
func (m *StateMachine) compactLog() error {
	isDue := m.membershipChanged || m.applied >= m.snapshotIndex+compactionInterval
	if !isDue || m.applied == m.snapshotIndex {
		return nil
	}
	m.membershipChanged = false
	data, err := cbor.Marshal(m.replicatedState())
	if err != nil {
		return err
	}
	m.pendingCompaction, err = m.storage.CreateSnapshot(m.applied, m.confState, data)
	if err != nil {
		return err
	}
	m.snapshotIndex = m.applied
	return m.storage.Compact(m.applied)
}
