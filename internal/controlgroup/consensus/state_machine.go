package consensus

import (
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// electionTicks is raft's election timeout in ticks: a voter that hears no leader for that long, and for a
// random time of up to as much again, becomes a candidate. Leaders send heartbeats each tick.
const electionTicks = 10

// Limits on the entries that raft sends to one voter at a time.
const (
	maxMessageBytes     = 64 << 10
	maxInflightMessages = 64
)

// ErrStaleStore is returned by Step when the group has seen a newer state of this voter's store. The store
// must not be used any more.
var ErrStaleStore = errors.New("voter file is stale: the group has seen a newer state of it")

// MessageError is returned by Step for a message that cannot come from a correct voter of the group.
type MessageError struct {
	From     protocol.VoterID // the sender, as the message names it
	To       protocol.VoterID // the voter that it was meant for
	Receiver protocol.VoterID // the voter that received it
}

// Error names the voters, and whether the message was misrouted or empty.
func (e *MessageError) Error() string {
	if e.To != e.Receiver {
		return fmt.Sprintf("message for voter %x was received by voter %x", e.To, e.Receiver)
	}
	return fmt.Sprintf("message from voter %x has no content from that voter", e.From)
}

// Message is sent from one voter to another. Exactly one of Announcement, Accepted and Raft is set.
type Message struct {
	From, To     protocol.VoterID
	Announcement *protocol.Announcement
	Accepted     *bool // the response to an Announcement: whether that store is as new as the receiver has seen it
	Raft         *raftpb.Message
}

// Config is what a StateMachine starts from. All fields but State are required.
type Config struct {
	ID          protocol.VoterID  // of the store
	Incarnation lease.Incarnation // drawn at random for this start: tells its log entries from an earlier start's
	StartCount  uint64            // how often the store was opened, this time included; already durable
	Timing      lease.Timing      // equal at all voters and lease holders
	State       PersistentState   // what the store holds; zero: a new store that has to join a group
}

// StateMachine is one voter. It must be used from one goroutine.
type StateMachine struct {
	config Config

	// Raft and its state.
	node       *raft.RawNode
	storage    *raft.MemoryStorage
	confState  *raftpb.ConfState
	raftLeader bool             // raft's role; IsLeader requires more
	leader     protocol.VoterID // as far as this voter knows; 0: none
	term       protocol.Term

	// The replicated state.
	table   lease.Table
	voters  []protocol.Voter
	applied uint64 // index of the last entry in table and voters

	// Snapshots; see snapshot.go.
	snapshotIndex     uint64             // of the newest snapshot
	pendingCompaction *raftpb.Snapshot   // has to be written
	membershipChanged bool               // since the newest snapshot
	snapshotsSent     []protocol.VoterID // the voters that were sent a snapshot since the last tick

	// Client requests; see requests.go.
	expiry           *lease.ExpiryClock // nil unless this voter leads and has applied all that was committed before
	lastSeq          requestSeq
	pendingProposals map[requestSeq]pendingRequest
	pendingReads     map[requestSeq]pendingRequest
	readIndexNeeded  bool // pendingReads holds some that no ReadIndex was requested for
	freedDuties      []lease.Duty
	responses        []protocol.Response

	// Store admission; see announcement.go.
	acceptedBy    map[protocol.VoterID]bool
	admitted      bool
	outdated      bool
	starts        map[protocol.VoterID]Start // the last that each other voter announced
	startsChanged bool                       // they have to be written
	peers         map[protocol.VoterID]peerProgress

	outbox []Message // announcements and the responses to them
}

// discardLogger silences raft: what matters of its log is logged by the caller of a StateMachine.
var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// New returns a voter that resumes from what its store holds. An error means that the store's content is not
// consistent.
func New(cfg Config) (*StateMachine, error) {
	stateMachine := &StateMachine{
		config:           cfg,
		storage:          raft.NewMemoryStorage(),
		pendingProposals: map[requestSeq]pendingRequest{},
		pendingReads:     map[requestSeq]pendingRequest{},
		acceptedBy:       map[protocol.VoterID]bool{},
		starts:           maps.Clone(cfg.State.Starts),
		peers:            map[protocol.VoterID]peerProgress{},
	}
	if stateMachine.starts == nil {
		stateMachine.starts = map[protocol.VoterID]Start{}
	}
	if err := stateMachine.load(cfg.State); err != nil {
		return nil, err
	}
	node, err := raft.NewRawNode(&raft.Config{
		ID:              uint64(cfg.ID),
		ElectionTick:    electionTicks,
		HeartbeatTick:   1,
		Storage:         stateMachine.storage,
		Applied:         stateMachine.applied,
		Logger:          discardLogger,
		MaxSizePerMsg:   maxMessageBytes,
		MaxInflightMsgs: maxInflightMessages,
		PreVote:         true,
		CheckQuorum:     true,
		ReadOnlyOption:  raft.ReadOnlySafe,
		// A proposal that reached the next leader late could end a lease that this one has renewed.
		DisableProposalForwarding: true,
	})
	if err != nil {
		return nil, err
	}
	stateMachine.node = node
	return stateMachine, nil
}

// load fills raft's storage and the replicated state with what the store held.
func (m *StateMachine) load(state PersistentState) error {
	if state.Snapshot != nil {
		if err := m.storage.ApplySnapshot(state.Snapshot); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
		if err := m.restore(state.Snapshot); err != nil {
			return err
		}
	}
	if state.HardState != nil {
		if err := m.storage.SetHardState(state.HardState); err != nil {
			return err
		}
	}
	return m.storage.Append(state.Entries)
}

// Leader returns the voter that leads, as far as this one knows, and whether it knows one.
func (m *StateMachine) Leader() (protocol.Voter, bool) {
	if m.leader == 0 {
		return protocol.Voter{}, false
	}
	for _, voter := range m.voters {
		if voter.ID == m.leader {
			return voter, true
		}
	}
	return protocol.Voter{}, false
}

// IsLeader reports whether this voter leads and has applied all that earlier leaders committed, so that it
// may respond to requests.
func (m *StateMachine) IsLeader() bool { return m.expiry != nil }

// Voters returns the group's voters as of the last applied entry. The caller must not change them.
func (m *StateMachine) Voters() []protocol.Voter { return m.voters }

// Holder returns the grant of a duty as of the last applied entry, and whether the duty is held. It may be
// out of date, at the leader too; a protocol.Read request is not.
func (m *StateMachine) Holder(d lease.Duty) (lease.Grant, bool) { return m.table.Holder(d) }

// Tick advances the state machine's logical clock. The caller calls it at a fixed interval; now is monotonic time
// since a fixed moment of this process.
func (m *StateMachine) Tick(now time.Duration) {
	if !m.checkAdmitted() {
		m.announce()
		return
	}
	for _, id := range m.snapshotsSent {
		// Arrived or lost: raft learns which from the voter's next message.
		m.node.ReportSnapshot(uint64(id), raft.SnapshotFinish)
	}
	m.snapshotsSent = nil
	m.node.Tick()
	if m.expiry == nil {
		return
	}
	for _, command := range m.expiry.Expired(now) {
		m.proposeCommand(command, 0)
	}
}

// Step takes a message from another voter. It returns a *MessageError for one that is misrouted or empty, and
// ErrStaleStore for one that shows the store to be out of date: the state machine is Outdated from then on. After any
// other error it can be used as before.
func (m *StateMachine) Step(msg Message) error {
	if msg.To != m.config.ID {
		return &MessageError{From: msg.From, To: msg.To, Receiver: m.config.ID}
	}
	switch {
	case msg.Announcement != nil:
		m.handleAnnouncement(msg.From, msg.Announcement)
		return nil
	case msg.Accepted != nil && *msg.Accepted:
		m.handleAcceptance(msg.From)
		return nil
	case msg.Accepted != nil:
		m.handleRejection()
		return nil
	case msg.Raft == nil || msg.Raft.GetFrom() != uint64(msg.From):
		return &MessageError{From: msg.From, To: msg.To, Receiver: m.config.ID}
	case !m.checkAdmitted():
		return nil
	}
	m.recordProgress(msg.From, msg.Raft)
	if m.isAheadOfStore(msg.Raft) {
		m.outdated = true
		return ErrStaleStore
	}
	return m.stepRaft(msg.Raft)
}

// stepRaft passes a message to raft.
func (m *StateMachine) stepRaft(msg *raftpb.Message) error {
	err := m.node.Step(msg)
	if errors.Is(err, raft.ErrProposalDropped) || errors.Is(err, raft.ErrStepPeerNotFound) {
		return nil
	}
	return err
}
