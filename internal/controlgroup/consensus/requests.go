package consensus

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// maxPendingRequests bounds the requests that wait at one leader; more are rejected with ErrOverloaded.
const maxPendingRequests = 4096

// requestSeq numbers the requests of one incarnation of a voter, from 1 on. 0 stands for none: the leader's own
// proposals, for which no client waits.
type requestSeq uint64

// commandEntry is a lease command in the log, with the incarnation of the voter that proposed it and the
// request it came from there. Other voters apply the command and ignore the rest.
type commandEntry struct {
	Incarnation lease.Incarnation `cbor:"1,keyasint"`
	Seq         requestSeq        `cbor:"2,keyasint"`
	Command     lease.Command     `cbor:"3,keyasint"`
}

// pendingRequest is a request that has no response yet.
type pendingRequest struct {
	request protocol.Request
	// readIndex is, of a read whose leadership is confirmed, the index that has to be applied before it is
	// served. 0: not confirmed yet.
	readIndex uint64
}

// Propose takes a client's request; now is as for Tick. Its response comes from Responses, at once or later, or
// never where this voter loses its connection to the others: the client has to limit how long it waits.
// Only the leader serves requests; other voters respond with protocol.ErrNotLeader.
func (m *StateMachine) Propose(now time.Duration, request protocol.Request) {
	switch {
	case m.expiry == nil:
		m.respond(request, lease.Grant{}, protocol.ErrNotLeader)
	case len(m.pendingProposals)+len(m.pendingReads) >= maxPendingRequests:
		m.respond(request, lease.Grant{}, protocol.ErrOverloaded)
	case request.Kind == protocol.Propose && !m.heldByAnother(request.Command):
		m.proposeCommand(request.Command, m.addPendingProposal(request))
	case request.Kind == protocol.AddVoter:
		m.addVoter(request)
	default:
		m.lastSeq++
		m.pendingReads[m.lastSeq] = pendingRequest{request: request}
		m.readIndexNeeded = true
	}
}

// heldByAnother reports whether a command asks for a duty that another process holds. Contenders ask for that
// all the time; it is served like a read, without an entry in the log.
func (m *StateMachine) heldByAnother(command lease.Command) bool {
	grant, held := m.table.Holder(command.Duty)
	return command.Op == lease.Acquire && held && grant.Holder != command.Process
}

// FreedDuties returns the duties that were released, expired or transferred since the last call, so that the caller
// can notify processes that wait for them. Only the leader knows any.
func (m *StateMachine) FreedDuties() []lease.Duty {
	freed := m.freedDuties
	m.freedDuties = nil
	return freed
}

// Responses returns the responses to requests since the last call, in the order in which they came about.
func (m *StateMachine) Responses() []protocol.Response {
	responses := m.responses
	m.responses = nil
	return responses
}

func (m *StateMachine) respond(request protocol.Request, grant lease.Grant, err error) {
	m.responses = append(m.responses, protocol.Response{Key: request.Key, Grant: grant, Err: err})
}

// addPendingProposal registers a request whose response is sent when its entry is applied.
func (m *StateMachine) addPendingProposal(request protocol.Request) requestSeq {
	m.lastSeq++
	m.pendingProposals[m.lastSeq] = pendingRequest{request: request}
	return m.lastSeq
}

// takePendingProposal removes the pending request that an applied entry came from, if this incarnation of this
// voter proposed it.
func (m *StateMachine) takePendingProposal(incarnation lease.Incarnation, seq requestSeq) (protocol.Request, bool) {
	pending, found := m.pendingProposals[seq]
	if !found || incarnation != m.config.Incarnation {
		return protocol.Request{}, false
	}
	delete(m.pendingProposals, seq)
	return pending.request, true
}

// proposeCommand appends a command to the log.
func (m *StateMachine) proposeCommand(command lease.Command, seq requestSeq) {
	data, err := cbor.Marshal(commandEntry{Incarnation: m.config.Incarnation, Seq: seq, Command: command})
	if err == nil {
		err = m.node.Propose(data)
	}
	if err != nil {
		m.failProposal(seq, err)
	}
}

// failProposal responds to a request whose entry raft rejected.
func (m *StateMachine) failProposal(seq requestSeq, err error) {
	request, found := m.takePendingProposal(m.config.Incarnation, seq)
	if found {
		m.respond(request, lease.Grant{}, fmt.Errorf("%w: %w", protocol.ErrNotLeader, err))
	}
}

// abortPending ends this voter's leadership of a term. What has been proposed may still be committed.
func (m *StateMachine) abortPending() {
	m.expiry = nil
	for _, seq := range slices.Sorted(maps.Keys(m.pendingProposals)) {
		m.respond(m.pendingProposals[seq].request, lease.Grant{}, protocol.ErrOutcomeUnknown)
	}
	for _, seq := range slices.Sorted(maps.Keys(m.pendingReads)) {
		m.respond(m.pendingReads[seq].request, lease.Grant{}, protocol.ErrNotLeader)
	}
	clear(m.pendingProposals)
	clear(m.pendingReads)
}

// readContext is what a ReadIndex request carries: the last pending read that it covers.
func readContext(seq requestSeq) []byte { return fmt.Appendf(nil, "%x", uint64(seq)) }

// confirmReads notes that a majority confirmed this voter's leadership after the reads up to the one in the
// state's context had arrived.
func (m *StateMachine) confirmReads(state raft.ReadState) {
	var last requestSeq
	if _, err := fmt.Sscanf(string(state.RequestCtx), "%x", &last); err != nil {
		return
	}
	for seq, pending := range m.pendingReads {
		if seq <= last && pending.readIndex == 0 {
			pending.readIndex = max(state.Index, 1)
			m.pendingReads[seq] = pending
		}
	}
}

// serveReads responds to the confirmed reads and renewals for which enough of the log is applied.
func (m *StateMachine) serveReads(now time.Duration) {
	for _, seq := range slices.Sorted(maps.Keys(m.pendingReads)) {
		pending := m.pendingReads[seq]
		isConfirmed := pending.readIndex > 0
		isApplied := pending.readIndex <= m.applied
		if isConfirmed && isApplied && m.expiry != nil {
			delete(m.pendingReads, seq)
			m.serveRead(now, pending.request)
		}
	}
}

// serveRead responds to a request from the table as it is now.
func (m *StateMachine) serveRead(now time.Duration, request protocol.Request) {
	command := request.Command
	grant, held := m.table.Holder(command.Duty)
	switch request.Kind {
	case protocol.List:
		m.responses = append(m.responses, protocol.Response{Key: request.Key, Snapshot: m.replicatedState()})
	case protocol.Propose:
		if m.heldByAnother(command) {
			m.respond(request, grant, lease.ErrHeld)
			return
		}
		// The duty came free while the request waited.
		m.proposeCommand(command, m.addPendingProposal(request))
	case protocol.Renew:
		if !held || grant.Token != command.Token || grant.Holder != command.Process {
			m.respond(request, grant, lease.ErrNotHeld)
			return
		}
		m.respond(request, grant, m.expiry.Renew(now, command.Duty, command.Token))
	default:
		if !held {
			m.respond(request, lease.Grant{}, lease.ErrNotHeld)
			return
		}
		m.respond(request, grant, nil)
	}
}
