//go:build planted

package consensus

import (
	"time"

	"piernotch/internal/controlgroup/failpoint"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// RespondEarly responds to a request before Propose would, if the enabled fault requires it. It reports whether that
// response is the only one; the request must then not be passed to Propose.
func (m *StateMachine) RespondEarly(now time.Duration, request protocol.Request) bool {
	if m.answersUnconfirmed(request.Kind) {
		m.serveRead(now, request)
		return true
	}
	isProposal := request.Kind == protocol.Propose && m.IsLeader() && !m.heldByAnother(request.Command)
	if isProposal && failpoint.Enabled(failpoint.AnsweredTooEarly) {
		m.respondUncommitted(request)
	}
	return false
}

// answersUnconfirmed reports whether the enabled fault responds to requests of a kind from the current table, without
// a majority's confirmation of the leadership.
func (m *StateMachine) answersUnconfirmed(kind protocol.Kind) bool {
	switch kind {
	case protocol.Read: // even before a new leader has applied what earlier leaders committed
		return m.raftLeader && failpoint.Enabled(failpoint.StaleReads)
	case protocol.Renew:
		return m.IsLeader() && failpoint.Enabled(failpoint.UnconfirmedRenewals)
	default:
		return false
	}
}

// respondUncommitted responds to a command with the result that it would have if it were committed next.
func (m *StateMachine) respondUncommitted(request protocol.Request) {
	var table lease.Table
	table.Restore(m.table.Snapshot())
	grant, err := table.Apply(request.Command)
	m.respond(request, grant, err)
}

// StepUnchecked is Step without the check for acknowledged entries that the store has lost.
func (m *StateMachine) StepUnchecked(msg Message) error {
	if msg.Raft == nil || !m.admitted || !m.isAheadOfStore(msg.Raft) {
		return m.Step(msg)
	}
	m.recordProgress(msg.From, msg.Raft)
	return m.stepRaft(msg.Raft)
}

// SkipAdmission lets the state machine take part before the other voters have accepted its store.
func (m *StateMachine) SkipAdmission() { m.admitted = true }
