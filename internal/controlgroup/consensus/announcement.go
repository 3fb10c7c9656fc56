package consensus

import (
	"go.etcd.io/raft/v3/raftpb"

	"piernotch/internal/controlgroup/protocol"
)

// peerProgress is a lower bound of the state of another voter's store, taken from that voter's messages.
type peerProgress struct {
	term      protocol.Term
	lastIndex uint64 // the highest index that the voter acknowledged in term
	voted     bool   // the voter voted, or was a candidate, in term
}

// Outdated reports whether the group has seen a newer state of this voter's store. The state machine then no longer
// takes part, and the store must not be used again under its ID.
func (m *StateMachine) Outdated() bool { return m.outdated }

// checkAdmitted reports whether a majority has accepted this voter's store, and records the admission.
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
	// A voter that is being added knows no voters yet, so it admits itself: its log is empty, and the leader fills it.
	m.admitted = accepted > len(voters)/2
	return m.admitted
}

// announce sends an announcement of the store's state to the voters that have not accepted it yet.
func (m *StateMachine) announce() {
	if m.outdated {
		return
	}
	// MemoryStorage returns no error from either call.
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

// handleAnnouncement tells another voter whether its store is accepted. The store is rejected if it was opened less
// often than at the last accepted start, or equally often under another incarnation (a copy), or if it is behind the
// messages of that voter.
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

// isCoveredBy reports whether an announced store holds at least the state that p records.
func (p peerProgress) isCoveredBy(announcement *protocol.Announcement) bool {
	if announcement.Term != p.term {
		return announcement.Term > p.term
	}
	hasVote := announcement.Vote != 0 || !p.voted
	return announcement.LastIndex >= p.lastIndex && hasVote
}

func (m *StateMachine) handleAcceptance(from protocol.VoterID) { m.acceptedBy[from] = true }

// handleRejection makes this voter Outdated, since the sender has seen a newer state of this voter's store. A
// rejection that arrives after a majority has accepted the store has no effect.
func (m *StateMachine) handleRejection() {
	if !m.admitted {
		m.outdated = true
	}
}

// recordProgress updates the recorded state of another voter's store from a message that the voter sent.
func (m *StateMachine) recordProgress(from protocol.VoterID, msg *raftpb.Message) {
	kind := msg.GetType()
	if kind == raftpb.MsgPreVote || kind == raftpb.MsgPreVoteResp {
		return // pre-vote messages name a term that no voter has entered yet
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

// isAheadOfStore reports whether msg is a leader's heartbeat with a commit index beyond the end of this voter's
// log: the store has then lost entries that it acknowledged. Raft itself would panic on such a message.
func (m *StateMachine) isAheadOfStore(msg *raftpb.Message) bool {
	lastIndex, _ := m.storage.LastIndex() // MemoryStorage returns no error here
	return msg.GetType() == raftpb.MsgHeartbeat &&
		msg.GetCommit() > lastIndex &&
		msg.GetTerm() >= m.node.BasicStatus().GetTerm()
}
