package consensus

import (
	"go.etcd.io/raft/v3/raftpb"

	"piernotch/internal/controlgroup/protocol"
)

// peerProgress is what another voter's messages have shown of its store.
type peerProgress struct {
	term      protocol.Term
	lastIndex uint64 // the highest that it acknowledged in term
	voted     bool   // it voted, or was a candidate, in term
}

// Outdated reports whether the group has seen a newer state of this voter's store. The state machine then takes no
// part any more, and the store must not be used again under its ID.
func (m *StateMachine) Outdated() bool { return m.outdated }

// checkAdmitted reports whether a majority has found the store new enough, and remembers it once it has.
func (m *StateMachine) checkAdmitted() bool {
	if m.outdated {
		return false
	}
	if m.admitted {
		return true
	}
	voters := m.confState.GetVoters()
	accepted := 1 // this voter
	for _, id := range voters {
		if m.acceptedBy[protocol.VoterID(id)] {
			accepted++
		}
	}
	// A voter that is being added knows no voters yet: its log is empty, and the leader fills it.
	m.admitted = accepted > len(voters)/2
	return m.admitted
}

// announce sends how new the store is to the voters that have not accepted it yet.
func (m *StateMachine) announce() {
	if m.outdated {
		return
	}
	// MemoryStorage returns no error from either.
	hardState, _, _ := m.storage.InitialState()
	lastIndex, _ := m.storage.LastIndex()
	announcement := &protocol.Announcement{
		StartCount:  m.config.StartCount,
		Incarnation: m.config.Incarnation,
		Term:        protocol.Term(hardState.GetTerm()),
		Vote:        protocol.VoterID(hardState.GetVote()),
		LastIndex:   lastIndex,
	}
	for _, number := range m.confState.GetVoters() {
		id := protocol.VoterID(number)
		if id != m.config.ID && !m.acceptedBy[id] {
			m.outbox = append(m.outbox, Message{From: m.config.ID, To: id, Announcement: announcement})
		}
	}
}

// handleAnnouncement responds whether another voter's store is as new as what has been seen of it.
func (m *StateMachine) handleAnnouncement(from protocol.VoterID, announcement *protocol.Announcement) {
	start := Start{Count: announcement.StartCount, Incarnation: announcement.Incarnation}
	known := m.starts[from]
	isNewStart := start.Count > known.Count
	isSameStart := start == known
	accepted := (isNewStart || isSameStart) && m.peers[from].isCoveredBy(announcement)
	if accepted && !isSameStart {
		m.starts[from] = start
		m.startsChanged = true
	}
	m.outbox = append(m.outbox, Message{From: m.config.ID, To: from, Accepted: &accepted})
}

// isCoveredBy reports whether an announced store holds everything that p shows it to have held.
func (p peerProgress) isCoveredBy(announcement *protocol.Announcement) bool {
	if announcement.Term != p.term {
		return announcement.Term > p.term
	}
	hasVote := announcement.Vote != 0 || !p.voted
	return announcement.LastIndex >= p.lastIndex && hasVote
}

// handleAcceptance notes that another voter found the announced store new enough.
func (m *StateMachine) handleAcceptance(from protocol.VoterID) { m.acceptedBy[from] = true }

// handleRejection ends this voter's part because another voter has seen a newer state of its store, unless a
// majority has accepted the store before.
func (m *StateMachine) handleRejection() {
	if !m.admitted {
		m.outdated = true
	}
}

// recordProgress notes what a voter's message shows of its store.
func (m *StateMachine) recordProgress(from protocol.VoterID, msg *raftpb.Message) {
	kind := msg.GetType()
	if kind == raftpb.MsgPreVote || kind == raftpb.MsgPreVoteResp {
		return // these name a term that no voter has entered yet
	}
	progress := m.peers[from]
	term := protocol.Term(msg.GetTerm())
	if term < progress.term {
		return
	}
	if term > progress.term {
		progress = peerProgress{term: term}
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
func (m *StateMachine) isAheadOfStore(msg *raftpb.Message) bool {
	lastIndex, _ := m.storage.LastIndex() // MemoryStorage returns no error here
	return msg.GetType() == raftpb.MsgHeartbeat &&
		msg.GetCommit() > lastIndex &&
		msg.GetTerm() >= m.node.BasicStatus().GetTerm()
}
