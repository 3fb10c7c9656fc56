package consensus

import (
	"maps"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"piernotch/internal/controlgroup/protocol"
)

// Ready holds the pending output of a StateMachine. The caller has to make everything but Messages durable
// (Store.Write does), then send Messages, then call Advance.
type Ready struct {
	HardState  *raftpb.HardState          // nil: unchanged
	Entries    []*raftpb.Entry            // to append; they replace stored entries from the first new index on
	Snapshot   *raftpb.Snapshot           // from the leader; it replaces the stored snapshot and the log. nil: none
	Compaction *raftpb.Snapshot           // of this voter's state; it replaces the entries up to its index. nil: none
	Starts     map[protocol.VoterID]Start // the last accepted start of each other voter; nil: unchanged
	Messages   []Message                  // to other voters; losing some is safe

	raft    raft.Ready
	hasRaft bool // raft is set, and has to be passed to the raft node's Advance
}

// Empty reports whether there is nothing to make durable. Messages may be present all the same.
func (r *Ready) Empty() bool {
	return r.HardState == nil &&
		len(r.Entries) == 0 &&
		r.Snapshot == nil &&
		r.Compaction == nil &&
		r.Starts == nil
}

// Ready returns the pending output, and whether there is any. Each output is returned once, and must be passed
// to Advance before Ready is called again.
func (m *StateMachine) Ready() (Ready, bool) {
	ready := Ready{Messages: m.outbox, Compaction: m.pendingCompaction}
	m.outbox = nil
	m.pendingCompaction = nil
	if m.startsChanged {
		ready.Starts = maps.Clone(m.starts)
		m.startsChanged = false
	}
	if m.readIndexNeeded {
		m.readIndexNeeded = false
		m.node.ReadIndex(readContext(m.lastSeq))
	}
	if m.admitted && m.node.HasReady() {
		m.addRaftReady(&ready)
	}
	return ready, ready.hasRaft || len(ready.Messages) > 0 || !ready.Empty()
}

// addRaftReady adds raft's pending writes and messages.
func (m *StateMachine) addRaftReady(ready *Ready) {
	fromRaft := m.node.Ready()
	ready.raft = fromRaft
	ready.hasRaft = true
	ready.Entries = fromRaft.Entries
	if !raft.IsEmptyHardState(fromRaft.HardState) {
		ready.HardState = fromRaft.HardState
	}
	if !raft.IsEmptySnap(fromRaft.Snapshot) {
		ready.Snapshot = fromRaft.Snapshot
	}
	for _, msg := range fromRaft.Messages {
		ready.Messages = append(ready.Messages, Message{
			From: m.config.ID,
			To:   protocol.VoterID(msg.GetTo()),
			Raft: msg,
		})
	}
}

// Advance is called when a Ready has been written and sent. It applies committed entries, and responds to the requests
// that waited for them (see Responses). An error means that committed data cannot be applied; the voter must stop.
func (m *StateMachine) Advance(now time.Duration, ready Ready) error {
	if !ready.hasRaft {
		return nil
	}
	if err := m.saveToStorage(ready); err != nil {
		return err
	}
	fromRaft := ready.raft
	m.updateRole(fromRaft.SoftState)
	for _, entry := range fromRaft.CommittedEntries {
		if err := m.apply(now, entry); err != nil {
			return err
		}
	}
	for _, state := range fromRaft.ReadStates {
		m.confirmReads(state)
	}
	for _, msg := range fromRaft.Messages {
		if msg.GetType() == raftpb.MsgSnap {
			m.snapshotsSent = append(m.snapshotsSent, protocol.VoterID(msg.GetTo()))
		}
	}
	m.node.Advance(fromRaft)
	m.serveReads(now)
	return m.compactLog()
}

// saveToStorage copies the state in a written Ready to raft's in-memory storage, and restores a leader's snapshot.
func (m *StateMachine) saveToStorage(ready Ready) error {
	if ready.Snapshot != nil {
		if err := m.storage.ApplySnapshot(ready.Snapshot); err != nil {
			return err
		}
		if err := m.restore(ready.Snapshot); err != nil {
			return err
		}
	}
	if ready.HardState != nil {
		_ = m.storage.SetHardState(ready.HardState) // MemoryStorage returns no error here
	}
	return m.storage.Append(ready.Entries)
}

// updateRole records changes of the leader and of this voter's own role. A change of the role or of the term ends this
// voter's leadership and aborts its pending requests, even if this voter leads again in the new term.
func (m *StateMachine) updateRole(soft *raft.SoftState) {
	if soft != nil {
		m.leader = protocol.VoterID(soft.Lead)
	}
	status := m.node.BasicStatus()
	term := protocol.Term(status.GetTerm())
	isLeader := status.RaftState == raft.StateLeader
	if isLeader == m.raftLeader && term == m.term {
		return
	}
	m.raftLeader = isLeader
	m.term = term
	m.abortPending()
}
