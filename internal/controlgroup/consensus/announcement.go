package consensus

import (
	"go.etcd.io/raft/v3/raftpb"

	"piernotch/internal/controlgroup/protocol"
)

// peerProgress is what another voter's messages have shown of its store.
type peerProgress struct {
	term      uint64
	lastIndex uint64 // the highest that it acknowledged in term
	voted     bool   // it voted, or was a candidate, in term
}

// Outdated reports whether the group has seen a newer state of this voter's store. The machine then takes no
// part any more, and the store must not be used again under its ID.
func (m *Machine) Outdated() bool { return m.outdated }

// checkAdmitted reports whether a majority has found the store new enough, and remembers it once it has.
func (m *Machine) checkAdmitted() bool {
	if m.outdated {
		return false
	}
	if m.admitted {
		return true
	}
	voters := m.confState.GetVoters()
	accepted := 1 // this voter
	for _, id := range voters {
		if m.acceptedBy[id] {
			accepted++
		}
	}
	// A voter that is being added knows no voters yet: nothing stands in its log, and the leader fills it.
	m.admitted = accepted > len(voters)/2
	return m.admitted
}

// announce tells the voters that have not accepted the store yet how new it is.
func (m *Machine) announce() {
	if m.outdated {
		return
	}
	// MemoryStorage returns no error from either.
	hardState, _, _ := m.storage.InitialState()
	lastIndex, _ := m.storage.LastIndex()
	announcement := &protocol.Announcement{
		StartCount:  m.config.StartCount,
		Incarnation: m.config.Incarnation,
		Term:        hardState.GetTerm(),
		Vote:        hardState.GetVote(),
		LastIndex:   lastIndex,
	}
	for _, id := range m.confState.GetVoters() {
		if id != m.config.ID && !m.acceptedBy[id] {
			m.outbox = append(m.outbox, Message{From: m.config.ID, To: id, Announcement: announcement})
		}
	}
}

// handleAnnouncement answers whether another voter's store is as new as what has been seen of it.
func (m *Machine) handleAnnouncement(from uint64, a *protocol.Announcement) {
	incarnation := Incarnation{Count: a.StartCount, ID: a.Incarnation}
	known := m.incarnations[from]
	isNewStart := incarnation.Count > known.Count
	isSameStart := incarnation == known
	accepted := (isNewStart || isSameStart) && m.peers[from].isCoveredBy(a)
	if accepted && !isSameStart {
		m.incarnations[from] = incarnation
		m.incarnationsChanged = true
	}
	m.outbox = append(m.outbox, Message{From: m.config.ID, To: from, Accepted: &accepted})
}

// isCoveredBy reports whether an announced store holds everything that p shows it to have held.
func (p peerProgress) isCoveredBy(a *protocol.Announcement) bool {
	if a.Term != p.term {
		return a.Term > p.term
	}
	hasVote := a.Vote != 0 || !p.voted
	return a.LastIndex >= p.lastIndex && hasVote
}

// handleAccepted takes another voter's answer to an announcement. One rejection ends this voter's part, unless a
// majority has accepted before it arrives.
func (m *Machine) handleAccepted(from uint64, accepted bool) {
	switch {
	case accepted:
		m.acceptedBy[from] = true
	case !m.admitted:
		m.outdated = true
	}
}

// recordProgress notes what a voter's message shows of its store.
func (m *Machine) recordProgress(from uint64, msg *raftpb.Message) {
	kind := msg.GetType()
	if kind == raftpb.MsgPreVote || kind == raftpb.MsgPreVoteResp {
		return // these name a term that no voter has entered yet
	}
	progress := m.peers[from]
	if msg.GetTerm() < progress.term {
		return
	}
	if msg.GetTerm() > progress.term {
		progress = peerProgress{term: msg.GetTerm()}
	}
	switch kind {
	case raftpb.MsgAppResp:
		if !msg.GetReject() {
			progress.lastIndex = max(progress.lastIndex, msg.GetIndex())
		}
	case raftpb.MsgVoteResp:
		if !msg.GetReject() {
			progress.voted = true
		}
	case raftpb.MsgVote:
		progress.voted = true
	}
	m.peers[from] = progress
}

// isAheadOfStore reports whether a leader's heartbeat names a commit index beyond this voter's log: the store
// has lost entries that it acknowledged. Raft itself would panic over such a message.
func (m *Machine) isAheadOfStore(msg *raftpb.Message) bool {
	lastIndex, _ := m.storage.LastIndex() // MemoryStorage returns no error here
	return msg.GetType() == raftpb.MsgHeartbeat &&
		msg.GetCommit() > lastIndex &&
		msg.GetTerm() >= m.node.BasicStatus().GetTerm()
}
