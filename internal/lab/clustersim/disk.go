package clustersim

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"piernotch/internal/controlgroup/consensus"
	"piernotch/internal/controlgroup/protocol"
)

// disk is the state of a voter that survives the end of its process.
type disk struct {
	id         protocol.VoterID
	startCount uint64
	state      consensus.PersistentState
}

// write makes the changes in work durable.
func (d *disk) write(work consensus.Ready) {
	state := &d.state
	if work.Snapshot != nil {
		state.Snapshot = work.Snapshot
		state.Entries = nil
	}
	if work.Compaction != nil {
		state.Snapshot = work.Compaction
		last := work.Compaction.GetMetadata().GetIndex()
		state.Entries = entriesWithout(state.Entries, func(index uint64) bool { return index <= last })
	}
	if work.HardState != nil {
		state.HardState = work.HardState
	}
	if len(work.Entries) > 0 {
		first := work.Entries[0].GetIndex()
		state.Entries = entriesWithout(state.Entries, func(index uint64) bool { return index >= first })
		state.Entries = append(state.Entries, work.Entries...)
	}
	if work.Starts != nil {
		state.Starts = work.Starts
	}
}

// entriesWithout returns a copy, because backups of the disk share the given slice.
func entriesWithout(entries []*raftpb.Entry, remove func(index uint64) bool) []*raftpb.Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(e *raftpb.Entry) bool { return remove(e.GetIndex()) })
}
