package consensus

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

const (
	// maxPendingRequests bounds the pending requests at a leader; further requests are rejected with ErrOverloaded.
	maxPendingRequests = 4096
	// maxLeases bounds the leases of the group, and controlgroup.MaxDuties those of a member; a request for one more is
	// rejected with ErrOverloaded.
	maxLeases = 16384
)

// requestSeq numbers the requests to one incarnation of a voter, from 1 on. 0 marks the leader's own proposals, which
// no client waits for.
type requestSeq uint64

// commandEntry is a log entry with a lease command. Incarnation and Seq tell the proposing voter which request to
// respond to; other voters ignore both.
type commandEntry struct {
	Incarnation lease.Incarnation `cbor:"1,keyasint"`
	Seq         requestSeq        `cbor:"2,keyasint"`
	Command     lease.Command     `cbor:"3,keyasint"`
}

type pendingRequest struct {
	request protocol.Request
	// readIndex is the index that has to be applied before a read may be served. 0: a majority has not confirmed
	// yet that this voter leads.
	readIndex uint64
}

// Propose handles a client's request; now is as for Tick. Responses returns the response at once, later, or never
// if this voter loses its connections to the others: the client needs a timeout. Only the leader serves requests;
// other voters respond with protocol.ErrNotLeader.
func (m *StateMachine) Propose(now time.Duration, request protocol.Request) {
	switch {
	case m.expiry == nil:
		m.respond(request, lease.Grant{}, protocol.ErrNotLeader)
	case len(m.pendingProposals)+len(m.pendingReads) >= maxPendingRequests:
		m.respond(request, lease.Grant{}, protocol.ErrOverloaded)
	case m.exceedsLeases(request):
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

// heldByAnother reports whether a command is an Acquire of a duty that another process holds. Contenders send such
// commands all the time, so these are served like reads, without a log entry.
func (m *StateMachine) heldByAnother(command lease.Command) bool {
	grant, held := m.table.Holder(command.Duty)
	return command.Op == lease.Acquire && held && grant.Holder != command.Process
}

// exceedsLeases reports whether a request asks for one lease too many.
func (m *StateMachine) exceedsLeases(request protocol.Request) bool {
	command := request.Command
	if request.Kind != protocol.Propose || command.Op != lease.Acquire {
		return false
	}
	if _, held := m.table.Holder(command.Duty); held {
		return false
	}
	total, own := m.table.Count(command.Process.Name)
	for _, pending := range m.pendingProposals { // may all be granted
		other := pending.request.Command
		if other.Op != lease.Acquire {
			continue
		}
		total++
		if other.Process.Name == command.Process.Name {
			own++
		}
	}
	return total >= maxLeases || own >= controlgroup.MaxDuties
}

// FreedDuties returns the duties whose lease was released, expired or transferred since the last call, so that the
// caller can notify waiting processes. Only the leader records them.
func (m *StateMachine) FreedDuties() []lease.Duty {
	freed := m.freedDuties
	m.freedDuties = nil
	return freed
}

// Responses returns the responses since the last call, oldest first.
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

// takePendingProposal removes and returns the pending request that an entry was proposed for, if this incarnation of
// this voter proposed the entry.
func (m *StateMachine) takePendingProposal(incarnation lease.Incarnation, seq requestSeq) (protocol.Request, bool) {
	pending, found := m.pendingProposals[seq]
	if !found || incarnation != m.config.Incarnation {
		return protocol.Request{}, false
	}
	delete(m.pendingProposals, seq)
	return pending.request, true
}

// proposeCommand proposes a command to raft. seq is the number of the pending request; 0: no client waits.
func (m *StateMachine) proposeCommand(command lease.Command, seq requestSeq) {
	data, err := cbor.Marshal(commandEntry{Incarnation: m.config.Incarnation, Seq: seq, Command: command})
	if err == nil {
		err = m.node.Propose(data)
	}
	if err != nil {
		m.failProposal(seq, err)
	}
}

// failProposal responds with ErrNotLeader to a request whose entry raft has rejected.
func (m *StateMachine) failProposal(seq requestSeq, err error) {
	request, found := m.takePendingProposal(m.config.Incarnation, seq)
	if found {
		m.respond(request, lease.Grant{}, fmt.Errorf("%w: %w", protocol.ErrNotLeader, err))
	}
}

// abortPending ends this voter's leadership of a term and responds to all pending requests. Proposals get
// ErrOutcomeUnknown, since their entries may still be committed.
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

// readContext returns the context of a ReadIndex request: the number of the last client request that it covers.
func readContext(seq requestSeq) []byte { return fmt.Appendf(nil, "%x", uint64(seq)) }

// confirmReads sets the read index of the reads that a ReadIndex covers: all up to the number in its context. A
// majority has confirmed this voter's leadership since these reads arrived.
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

// serveReads responds to the reads and renewals that are confirmed and whose read index has been applied.
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

// serveRead responds to a request from the current table. An Acquire whose duty came free meanwhile is proposed.
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
