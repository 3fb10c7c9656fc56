//go:build planted

package consensus

import (
	"time"

	"piernotch/internal/controlgroup/failpoint"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// RespondEarly has the enabled fault respond to a request before Propose would. It reports whether that response is
// the only one, so that the request must not be passed to Propose.
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

// answersUnconfirmed reports whether the enabled fault answers requests of a kind from the table as it is now.
func (m *StateMachine) answersUnconfirmed(kind protocol.Kind) bool {
	switch kind {
	case protocol.Read: // even before a new leader has applied what was committed
		return m.raftLeader && failpoint.Enabled(failpoint.StaleReads)
	case protocol.Renew:
		return m.IsLeader() && failpoint.Enabled(failpoint.UnconfirmedRenewals)
	default:
		return false
	}
}

// respondUncommitted answers a command with what it would give if it were committed next.
func (m *StateMachine) respondUncommitted(request protocol.Request) {
	var table lease.Table
	table.Restore(m.table.Snapshot())
	grant, err := table.Apply(request.Command)
	m.respond(request, grant, err)
}

// StepUnchecked is Step, but does not notice that the store lacks entries that it acknowledged.
func (m *StateMachine) StepUnchecked(msg Message) error {
	if msg.Raft == nil || !m.admitted || !m.isAheadOfStore(msg.Raft) {
		return m.Step(msg)
	}
	m.recordProgress(msg.From, msg.Raft)
	return m.stepRaft(msg.Raft)
}

// SkipAdmission has the state machine take part without the others' acceptance of its store.
func (m *StateMachine) SkipAdmission() { m.admitted = true }
