package consensus

import (
	"maps"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Ready is what the caller has to do, in this order: make everything but Messages durable (Store.Write does),
// send Messages, call Advance.
type Ready struct {
	HardState    *raftpb.HardState      // nil: unchanged
	Entries      []*raftpb.Entry        // to append; they replace entries of the same and of higher indexes
	Snapshot     *raftpb.Snapshot       // from the leader; it replaces snapshot and log. nil: none
	Compaction   *raftpb.Snapshot       // of this voter's state; it replaces the entries up to its index. nil: none
	Incarnations map[uint64]Incarnation // the last announced one of each other voter; nil: unchanged
	Messages     []Message              // for other voters; losing some is safe

	raft    raft.Ready
	hasRaft bool // raft is set, and expects to be advanced
}

// Empty reports whether there is nothing to make durable. There may be messages nevertheless.
func (r *Ready) Empty() bool {
	return r.HardState == nil &&
		len(r.Entries) == 0 &&
		r.Snapshot == nil &&
		r.Compaction == nil &&
		r.Incarnations == nil
}

// Ready returns what the caller has to do next, and whether there is anything. Each Ready is returned once;
// the one after it may be requested only when it has been passed to Advance.
func (m *Machine) Ready() (Ready, bool) {
	r := Ready{Messages: m.outbox, Compaction: m.pendingCompaction}
	m.outbox = nil
	m.pendingCompaction = nil
	if m.incarnationsChanged {
		r.Incarnations = maps.Clone(m.incarnations)
		m.incarnationsChanged = false
	}
	if m.readIndexNeeded {
		m.readIndexNeeded = false
		m.node.ReadIndex(readContext(m.lastSeq))
	}
	if m.admitted && m.node.HasReady() {
		m.addRaftReady(&r)
	}
	return r, r.hasRaft || len(r.Messages) > 0 || !r.Empty()
}

// addRaftReady adds what raft wants written and sent.
func (m *Machine) addRaftReady(r *Ready) {
	rd := m.node.Ready()
	r.raft = rd
	r.hasRaft = true
	r.Entries = rd.Entries
	if !raft.IsEmptyHardState(rd.HardState) {
		r.HardState = rd.HardState
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		r.Snapshot = rd.Snapshot
	}
	for _, msg := range rd.Messages {
		r.Messages = append(r.Messages, Message{From: m.config.ID, To: msg.GetTo(), Raft: msg})
	}
}

// Advance takes note that a Ready has been written and sent: committed entries are applied, and the requests
// that waited for them are answered (see Responses). An error means that committed data cannot be applied;
// the voter must stop.
func (m *Machine) Advance(now time.Duration, r Ready) error {
	if !r.hasRaft {
		return nil
	}
	if err := m.saveToStorage(r); err != nil {
		return err
	}
	rd := r.raft
	m.updateRole(rd.SoftState)
	for _, e := range rd.CommittedEntries {
		if err := m.apply(now, e); err != nil {
			return err
		}
	}
	for _, state := range rd.ReadStates {
		m.confirmReads(state)
	}
	for _, msg := range rd.Messages {
		if msg.GetType() == raftpb.MsgSnap {
			m.snapshotsSent = append(m.snapshotsSent, msg.GetTo())
		}
	}
	m.node.Advance(rd)
	m.serveReads(now)
	return m.compactLog()
}

// saveToStorage gives raft's in-memory storage what has been made durable.
func (m *Machine) saveToStorage(r Ready) error {
	if r.Snapshot != nil {
		if err := m.storage.ApplySnapshot(r.Snapshot); err != nil {
			return err
		}
		if err := m.restore(r.Snapshot); err != nil {
			return err
		}
	}
	if r.HardState != nil {
		_ = m.storage.SetHardState(r.HardState) // MemoryStorage returns no error here
	}
	return m.storage.Append(r.Entries)
}

// updateRole follows changes of the leader and of this voter's own role. A new term ends this voter's
// leadership of the last one, though it may lead again.
func (m *Machine) updateRole(soft *raft.SoftState) {
	if soft != nil {
		m.leader = soft.Lead
	}
	status := m.node.BasicStatus()
	isLeader := status.RaftState == raft.StateLeader
	if isLeader == m.raftLeader && status.GetTerm() == m.term {
		return
	}
	m.raftLeader = isLeader
	m.term = status.GetTerm()
	m.abortPending()
}
