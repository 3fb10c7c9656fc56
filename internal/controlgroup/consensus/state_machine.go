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

// electionTicks is raft's election timeout in ticks. A voter becomes a candidate when it has heard from no leader
// for a random time between one and two election timeouts. Leaders send heartbeats on each tick.
const electionTicks = 10

// Limits on the entries that raft sends to one voter: bytes of entries in a message, and unacknowledged messages.
const (
	maxMessageBytes     = 64 << 10
	maxInflightMessages = 64
)

// ErrStaleStore is returned by Step when the group has seen a newer state of this voter's store. The store must
// no longer be used.
var ErrStaleStore = errors.New("voter file is stale: the group has seen a newer state of it")

// MessageError is returned by Step for a message that is addressed to another voter, is empty, or holds a raft message
// that names another sender.
type MessageError struct {
	From     protocol.VoterID // the sender that the message names
	To       protocol.VoterID // the addressee that the message names
	Receiver protocol.VoterID
}

// Error names the voters, and says whether the message was misrouted or has no content from the voter that it names as
// its sender.
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
	Accepted     *bool // the response to an Announcement; false: the sender has seen a newer state of the store
	Raft         *raftpb.Message
}

// Config configures a StateMachine. All fields but State are required.
type Config struct {
	ID          protocol.VoterID  // from the store's Identity
	Incarnation lease.Incarnation // drawn at random for this start; tells its log entries from those of earlier starts
	StartCount  uint64            // how often the store was opened, this time included; already durable
	Timing      lease.Timing      // must be equal at all voters and lease holders
	State       PersistentState   // the store's content; zero: a new store, whose voter has to join a group
}

// StateMachine is the state machine of one voter. It must be used from one goroutine.
type StateMachine struct {
	config Config

	// Raft and its state.
	node       *raft.RawNode
	storage    *raft.MemoryStorage
	confState  *raftpb.ConfState
	raftLeader bool             // raft's role; IsLeader requires more
	leader     protocol.VoterID // as far as this voter knows; 0: none known
	term       protocol.Term

	// The replicated state.
	table   lease.Table
	voters  []protocol.Voter
	applied uint64 // index of the last entry in table and voters

	// Snapshots; see snapshot.go.
	snapshotIndex     uint64             // index of the last entry in the newest snapshot
	pendingCompaction *raftpb.Snapshot   // for the next Ready; nil: none
	membershipChanged bool               // since the newest snapshot
	snapshotsSent     []protocol.VoterID // the receivers of the snapshots that were sent since the last tick

	// Client requests; see requests.go.
	expiry           *lease.ExpiryClock // nil unless this voter leads and has applied what earlier leaders committed
	lastSeq          requestSeq
	pendingProposals map[requestSeq]pendingRequest
	pendingReads     map[requestSeq]pendingRequest
	readIndexNeeded  bool // no ReadIndex was requested yet for some of pendingReads
	freedDuties      []lease.Duty
	responses        []protocol.Response

	// Store admission; see announcement.go.
	acceptedBy    map[protocol.VoterID]bool
	admitted      bool
	outdated      bool
	starts        map[protocol.VoterID]Start // the last accepted start of each other voter
	startsChanged bool                       // the next Ready has to contain starts
	peers         map[protocol.VoterID]peerProgress

	outbox []Message // announcements and the responses to them
}

// discardLogger suppresses raft's own log messages. The caller of a StateMachine logs the relevant events.
var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// New returns a state machine that resumes from cfg.State. It fails if that state is inconsistent.
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
		// A forwarded proposal that arrived late could end a lease that the new leader has renewed.
		DisableProposalForwarding: true,
	})
	if err != nil {
		return nil, err
	}
	stateMachine.node = node
	return stateMachine, nil
}

// load fills raft's storage and the replicated state from the store's content.
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

// Leader returns the leader as far as this voter knows, and whether it knows a leader.
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

// Voters returns the group's voters as of the last applied entry. The caller must not modify the slice.
func (m *StateMachine) Voters() []protocol.Voter { return m.voters }

// Holder returns the grant of a duty as of the last applied entry, and whether the duty is held. The result may
// be out of date, even at the leader; the response to a protocol.Read request is not.
func (m *StateMachine) Holder(d lease.Duty) (lease.Grant, bool) { return m.table.Holder(d) }

// Tick advances the state machine's logical clock. It has to be called at a fixed interval; now is the monotonic
// time since a fixed moment in the life of this process.
func (m *StateMachine) Tick(now time.Duration) {
	if !m.checkAdmitted() {
		m.announce()
		return
	}
	for _, id := range m.snapshotsSent {
		// Reported as finished even if the snapshot was lost: otherwise raft would send the voter no entries until the
		// voter acknowledges a snapshot that may never have arrived. The voter's next response shows if it arrived.
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

// Step handles a message from another voter. It returns a *MessageError for a message that is misrouted, is empty or
// holds another voter's raft message, and ErrStaleStore for a message that shows that the store is out of date: the
// state machine is Outdated from then on. After any other error the state machine can be used as before.
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

// stepRaft passes a message to raft. Messages from voters that were removed, and dropped proposals, are not errors.
func (m *StateMachine) stepRaft(msg *raftpb.Message) error {
	err := m.node.Step(msg)
	if errors.Is(err, raft.ErrProposalDropped) || errors.Is(err, raft.ErrStepPeerNotFound) {
		return nil
	}
	return err
}
