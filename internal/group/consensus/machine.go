// Package consensus is the control group: three or five voters among the balancers that agree on who holds
// which duty. Agreement is go.etcd.io/raft's, with pre-vote and check-quorum on.
//
// Machine is pure, like the balancer's core: messages, questions and ticks go in; what has to be
// written, then sent, and then answered comes out. Who drives it owns disk, network and clock, so the
// same code runs in service and under thousands of seeds in simulated time.
package consensus

import (
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"piernotch/internal/group/failpoint"
	"piernotch/internal/group/lease"
	"piernotch/internal/group/protocol"
)

// Ticks of the engine: a leader is heard of every tick; who hears nothing for electionTicks, and by
// chance for up to twice that, asks to lead.
const electionTicks = 10

// Bounds on what waits at one leader, and on how long the log grows between two images of the state.
const (
	mostWaiting  = 4096
	compactAfter = 1000
)

// ErrStaleStore says that this voter's disk must not be used any more.
var ErrStaleStore = errors.New("the disk is older than what the group has seen of it")

// Message is between two voters. One of its parts is set.
type Message struct {
	From, To     uint64
	Announcement *protocol.Announcement
	Accepted     *bool // whether the hello shows a disk that is as new as was seen
	Raft         *raftpb.Message
}

// Incarnation is one start of a voter.
type Incarnation struct {
	Count uint64 `cbor:"1,keyasint"` // so many there have been
	ID    uint64 `cbor:"2,keyasint"` // and this was drawn at it
}

// PersistentState is what a store holds of a voter.
type PersistentState struct {
	HardState    *raftpb.HardState
	Snapshot     *raftpb.Snapshot
	Entries      []*raftpb.Entry
	Incarnations map[uint64]Incarnation // the last of other voters, as they said themselves
}

// Bootstrap is what every store of a new group begins with.
func Bootstrap(voters []protocol.Voter) PersistentState {
	cs := &raftpb.ConfState{}
	for _, v := range voters {
		cs.Voters = append(cs.Voters, v.ID)
	}
	slices.Sort(cs.Voters)
	data, err := cbor.Marshal(protocol.Snapshot{Voters: voters})
	if err != nil {
		panic(err) // plain values
	}
	one := uint64(1)
	return PersistentState{
		HardState: &raftpb.HardState{Term: &one, Commit: &one},
		Snapshot:  &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{ConfState: cs, Index: &one, Term: &one}},
	}
}

// Config says what a machine starts from.
type Config struct {
	ID          uint64
	Incarnation uint64 // drawn at this start: questions of an earlier one are not this one's
	StartCount  uint64 // how often the store was opened, kept before now
	Timing      lease.Timing
	Log         PersistentState
}

// Ready is what has to be done outside, in order: everything but Messages is written and synced, then
// Messages are sent, then Done is called.
type Ready struct {
	HardState    *raftpb.HardState
	Entries      []*raftpb.Entry
	Snapshot     *raftpb.Snapshot       // another member's; it replaces all that is held
	Compaction   *raftpb.Snapshot       // this one's; it replaces the entries up to its index
	Incarnations map[uint64]Incarnation // what other voters said; nil: as before
	Messages     []Message
	ready        raft.Ready
	raft         bool
}

// Empty tells whether nothing has to be written.
func (w *Ready) Empty() bool {
	return w.HardState == nil && len(w.Entries) == 0 && w.Snapshot == nil && w.Compaction == nil && w.Incarnations == nil
}

// entry is a command in the log, with who proposed it.
type entry struct {
	Run     uint64        `cbor:"1,keyasint"`
	Seq     uint64        `cbor:"2,keyasint"`
	Command lease.Command `cbor:"3,keyasint"`
}

// waiting is a question that has no answer yet.
type waiting struct {
	q     protocol.Request
	index uint64 // of a read: answered once so much is applied; 0: not confirmed yet
}

// sighting is what was heard of a voter.
type sighting struct {
	term, last uint64 // last is what it said it has, in that term
	voted      bool   // in that term
}

// Machine is one voter. It must be used from one goroutine.
type Machine struct {
	cfg     Config
	node    *raft.RawNode
	mem     *raft.MemoryStorage
	conf    *raftpb.ConfState
	table   lease.Table
	voters  []protocol.Voter
	applied uint64
	imaged  uint64           // up to where the snapshot reaches
	image   *raftpb.Snapshot // to be written
	changed bool             // who votes is another: a new voter takes no image without itself
	snaps   []uint64         // who was sent an image since the last tick

	leading bool
	leader  uint64
	term    uint64
	keeper  *lease.ExpiryClock // while it leads, and knows all that was agreed on before
	seq     uint64
	changes map[uint64]waiting
	reads   map[uint64]waiting // by the question that they came with: all up to it share one look at who leads
	unsent  bool               // some have not been looked for yet
	free    []lease.Duty       // that have come free, or into another hand, since Freed was called
	answers []protocol.Response

	welcome map[uint64]bool // who found the disk new enough
	in      bool            // enough of them have
	old     bool            // one has not
	starts  map[uint64]Incarnation
	fresh   bool // starts have to be written
	seen    map[uint64]sighting
	out     []Message
}

// quiet is the engine's own log: what matters is told by who drives the machine.
var quiet = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// New returns a voter that starts from what its store holds.
func New(cfg Config) (*Machine, error) {
	m := &Machine{
		cfg: cfg, mem: raft.NewMemoryStorage(), changes: map[uint64]waiting{}, reads: map[uint64]waiting{},
		welcome: map[uint64]bool{}, starts: maps.Clone(cfg.Log.Incarnations), seen: map[uint64]sighting{},
	}
	if m.starts == nil {
		m.starts = map[uint64]Incarnation{}
	}
	l := cfg.Log
	if l.Snapshot != nil {
		if err := m.mem.ApplySnapshot(l.Snapshot); err != nil {
			return nil, fmt.Errorf("image: %w", err)
		}
		if err := m.restore(l.Snapshot); err != nil {
			return nil, err
		}
	}
	if l.HardState != nil {
		if err := m.mem.SetHardState(l.HardState); err != nil {
			return nil, err
		}
	}
	if err := m.mem.Append(l.Entries); err != nil {
		return nil, err
	}
	var err error
	m.node, err = raft.NewRawNode(&raft.Config{
		ID: cfg.ID, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: m.mem, Applied: m.applied, Logger: quiet,
		MaxSizePerMsg: 64 << 10, MaxInflightMsgs: 64, PreVote: true, CheckQuorum: true, ReadOnlyOption: raft.ReadOnlySafe,
		// A proposal that reached the next leader late could end what that one has renewed.
		DisableProposalForwarding: true,
	})
	return m, err
}

func (m *Machine) restore(s *raftpb.Snapshot) error {
	var i protocol.Snapshot
	if err := cbor.Unmarshal(s.GetData(), &i); err != nil {
		return fmt.Errorf("image at %d: %w", s.GetMetadata().GetIndex(), err)
	}
	m.table.Restore(i.Leases)
	m.voters = i.Voters
	m.applied, m.imaged = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	m.conf = s.GetMetadata().GetConfState()
	return nil
}

// Leader returns the voter that leads, as far as this one knows.
func (m *Machine) Leader() (protocol.Voter, bool) {
	for _, v := range m.voters {
		if v.ID == m.leader && m.leader != 0 {
			return v, true
		}
	}
	return protocol.Voter{}, false
}

// IsLeader tells whether this voter leads and may answer.
func (m *Machine) IsLeader() bool { return m.keeper != nil }

// Voters returns who votes.
func (m *Machine) Voters() []protocol.Voter { return m.voters }

// Outdated tells whether a voter has found the disk older than what it had seen of it. The machine then
// takes no part, and its store must not be used again under its number.
func (m *Machine) Outdated() bool { return m.old }

// Tick is the passing of one tick.
func (m *Machine) Tick(now time.Duration) {
	if !m.joined() {
		m.hello()
		return
	}
	for _, id := range m.snaps { // arrived or lost: the next message shows which
		m.node.ReportSnapshot(id, raft.SnapshotFinish)
	}
	m.snaps = nil
	m.node.Tick()
	if m.keeper == nil {
		return
	}
	for _, c := range m.keeper.Expired(now) {
		m.propose(c, 0)
	}
}

// joined tells whether enough voters have found the disk new enough.
func (m *Machine) joined() bool {
	if m.old {
		return false
	}
	if !m.in {
		n := 1
		for _, id := range m.conf.GetVoters() {
			if m.welcome[id] {
				n++
			}
		}
		// A voter that is being added has an empty log: who leads will fill it.
		m.in = n > len(m.conf.GetVoters())/2 || failpoint.Enabled("disk-unchecked")
	}
	return m.in
}

func (m *Machine) hello() {
	if m.old {
		return
	}
	hs, _, _ := m.mem.InitialState()
	last, _ := m.mem.LastIndex()
	h := &protocol.Announcement{Starts: m.cfg.StartCount, Incarnation: m.cfg.Incarnation, Term: hs.GetTerm(), Vote: hs.GetVote(), LastIndex: last}
	for _, id := range m.conf.GetVoters() {
		if id != m.cfg.ID && !m.welcome[id] {
			m.out = append(m.out, Message{From: m.cfg.ID, To: id, Announcement: h})
		}
	}
}

// greeted judges another voter's hello by what was heard of it before.
func (m *Machine) greeted(from uint64, h *protocol.Announcement) {
	s, last, now := m.seen[from], m.starts[from], Incarnation{h.Starts, h.Incarnation}
	ok := (now.Count > last.Count || now == last) && h.Term >= s.term &&
		(h.Term > s.term || h.LastIndex >= s.last && (h.Vote != 0 || !s.voted))
	if ok && now != last {
		m.starts[from], m.fresh = now, true
	}
	m.out = append(m.out, Message{From: m.cfg.ID, To: from, Accepted: &ok})
}

// Receive takes a message from another voter.
func (m *Machine) Receive(msg Message) error {
	if msg.To != m.cfg.ID {
		return fmt.Errorf("a message for voter %x came to voter %x", msg.To, m.cfg.ID)
	}
	switch {
	case msg.Announcement != nil:
		m.greeted(msg.From, msg.Announcement)
		return nil
	case msg.Accepted != nil:
		if *msg.Accepted {
			m.welcome[msg.From] = true
		} else if !m.in {
			m.old = true
		}
		return nil
	case msg.Raft == nil || msg.Raft.GetFrom() != msg.From:
		return fmt.Errorf("a message from voter %x holds nothing of it", msg.From)
	case !m.joined():
		return nil
	}
	r := msg.Raft
	m.sight(msg.From, r)
	// The engine gives up the process over a leader that knows more of this log than there is of it.
	if last, _ := m.mem.LastIndex(); !failpoint.Enabled("disk-unchecked") && r.GetType() == raftpb.MsgHeartbeat && r.GetCommit() > last && r.GetTerm() >= m.status().GetTerm() {
		m.old = true
		return ErrStaleStore
	}
	if err := m.node.Step(r); err != nil && !errors.Is(err, raft.ErrProposalDropped) && !errors.Is(err, raft.ErrStepPeerNotFound) {
		return err
	}
	return nil
}

func (m *Machine) status() *raftpb.HardState {
	s := m.node.BasicStatus()
	return s.HardState
}

// sight notes what a voter's message says of its disk.
func (m *Machine) sight(from uint64, r *raftpb.Message) {
	t := r.GetType()
	if t == raftpb.MsgPreVote || t == raftpb.MsgPreVoteResp { // they name a term that nobody is in yet
		return
	}
	s := m.seen[from]
	if r.GetTerm() < s.term {
		return
	}
	if r.GetTerm() > s.term {
		s = sighting{term: r.GetTerm()}
	}
	switch {
	case t == raftpb.MsgAppResp && !r.GetReject():
		s.last = max(s.last, r.GetIndex())
	case t == raftpb.MsgVoteResp && !r.GetReject(), t == raftpb.MsgVote:
		s.voted = true
	}
	m.seen[from] = s
}

// Propose takes a question; its answer comes from Answers, now or later, or never: who asks has to bound
// its own patience.
func (m *Machine) Propose(now time.Duration, q protocol.Request) {
	switch {
	case m.keeper == nil && !(failpoint.Enabled("stale-reads") && q.Kind == protocol.Read && m.leading):
		m.answer(q, lease.Grant{}, protocol.ErrNotLeader)
	case len(m.changes)+len(m.reads) >= mostWaiting:
		m.answer(q, lease.Grant{}, protocol.ErrOverloaded)
	case q.Kind == protocol.Propose && !m.heldByOther(q.Command):
		if failpoint.Enabled("answered-too-early") {
			var t lease.Table
			t.Restore(m.table.Snapshot())
			g, err := t.Apply(q.Command)
			m.answer(q, g, err)
		}
		m.propose(q.Command, m.wait(q))
	case q.Kind == protocol.AddVoter:
		m.admit(q)
	case q.Kind == protocol.Read && failpoint.Enabled("stale-reads"), q.Kind == protocol.Renew && failpoint.Enabled("unconfirmed-renewals"):
		m.look(now, q)
	default:
		m.seq++
		m.reads[m.seq] = waiting{q: q}
		m.unsent = true
	}
}

// heldByOther tells whether a command asks for what another process holds. Many ask for that all the
// time; the answer takes a look at who leads, and no entry in the log.
func (m *Machine) heldByOther(c lease.Command) bool {
	g, held := m.table.Holder(c.Duty)
	return c.Op == lease.Acquire && held && g.Holder != c.Process
}

// Holder returns who holds a duty, as far as this voter has applied what was agreed on.
func (m *Machine) Holder(d lease.Duty) (lease.Grant, bool) { return m.table.Holder(d) }

// Freed returns the duties that have come free, or into another hand, since the last call.
func (m *Machine) Freed() []lease.Duty {
	f := m.free
	m.free = nil
	return f
}

func (m *Machine) answer(q protocol.Request, g lease.Grant, err error) {
	m.answers = append(m.answers, protocol.Response{Key: q.Key, Grant: g, Err: err})
}

// Responses returns what has been answered since the last call.
func (m *Machine) Responses() []protocol.Response {
	a := m.answers
	m.answers = nil
	return a
}

func (m *Machine) wait(q protocol.Request) uint64 {
	m.seq++
	m.changes[m.seq] = waiting{q: q}
	return m.seq
}

func (m *Machine) propose(c lease.Command, seq uint64) {
	data, err := cbor.Marshal(entry{m.cfg.Incarnation, seq, c})
	if err == nil {
		err = m.node.Propose(data)
	}
	if err != nil {
		m.dropped(seq, err)
	}
}

// dropped answers a change that was not even proposed.
func (m *Machine) dropped(seq uint64, err error) {
	if w, is := m.changes[seq]; is {
		delete(m.changes, seq)
		m.answer(w.q, lease.Grant{}, fmt.Errorf("%w: %w", protocol.ErrNotLeader, err))
	}
}

// admit changes who votes, one step at a time: first the voter of that name that is gone is taken out,
// then the new one is taken in. Who wants to be taken in asks until it is.
func (m *Machine) admit(q protocol.Request) {
	v := q.Voter
	change := raftpb.ConfChange{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: &v.ID}
	for _, o := range m.voters {
		switch {
		case o.ID == v.ID:
			m.answer(q, lease.Grant{}, nil)
			return
		case o.Name == v.Name && m.heard(o.ID):
			m.answer(q, lease.Grant{}, protocol.ErrNameInUse)
			return
		case o.Name == v.Name:
			change = raftpb.ConfChange{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: &o.ID}
		}
	}
	seq := m.wait(q)
	data, err := cbor.Marshal(admission{m.cfg.Incarnation, seq, v})
	change.Context = data
	if err == nil {
		err = m.node.ProposeConfChange(&change)
	}
	if err != nil {
		m.dropped(seq, err)
	}
}

// admission is what comes with a change of who votes.
type admission struct {
	Run   uint64         `cbor:"1,keyasint"`
	Seq   uint64         `cbor:"2,keyasint"`
	Voter protocol.Voter `cbor:"3,keyasint"`
}

// heard tells whether a voter has answered this leader of late.
func (m *Machine) heard(id uint64) bool {
	recent := false
	m.node.WithProgress(func(other uint64, _ raft.ProgressType, pr tracker.Progress) {
		if other == id {
			recent = pr.RecentActive
		}
	})
	return recent || id == m.cfg.ID
}

func key(seq uint64) []byte { return fmt.Appendf(nil, "%x", seq) }

// Ready returns what has to be done outside now, if anything.
func (m *Machine) Ready() (Ready, bool) {
	w := Ready{Messages: m.out, Compaction: m.image}
	m.out, m.image = nil, nil
	if m.fresh {
		w.Incarnations, m.fresh = maps.Clone(m.starts), false
	}
	if m.unsent {
		m.unsent = false
		m.node.ReadIndex(key(m.seq))
	}
	if m.in && m.node.HasReady() {
		rd := m.node.Ready()
		w.ready, w.raft = rd, true
		w.Entries = rd.Entries
		if !raft.IsEmptyHardState(rd.HardState) {
			w.HardState = rd.HardState
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			w.Snapshot = rd.Snapshot
		}
		for _, r := range rd.Messages {
			w.Messages = append(w.Messages, Message{From: m.cfg.ID, To: r.GetTo(), Raft: r})
		}
	}
	return w, w.raft || len(w.Messages) > 0 || !w.Empty()
}

// Advance says that work has been written and sent.
func (m *Machine) Advance(now time.Duration, w Ready) error {
	if !w.raft {
		return nil
	}
	rd := w.ready
	if w.Snapshot != nil {
		if err := m.mem.ApplySnapshot(w.Snapshot); err != nil {
			return err
		}
		if err := m.restore(w.Snapshot); err != nil {
			return err
		}
	}
	if w.HardState != nil {
		_ = m.mem.SetHardState(w.HardState)
	}
	if err := m.mem.Append(w.Entries); err != nil {
		return err
	}
	if rd.SoftState != nil {
		m.leader = rd.SoftState.Lead
	}
	if s := m.node.BasicStatus(); s.RaftState == raft.StateLeader != m.leading || s.GetTerm() != m.term {
		m.leading, m.term = s.RaftState == raft.StateLeader, s.GetTerm()
		m.depose()
	}
	for _, e := range rd.CommittedEntries {
		if err := m.apply(now, e); err != nil {
			return err
		}
	}
	for _, s := range rd.ReadStates {
		m.confirmed(s)
	}
	for _, r := range rd.Messages {
		if r.GetType() == raftpb.MsgSnap {
			m.snaps = append(m.snaps, r.GetTo())
		}
	}
	m.node.Advance(rd)
	m.serve(now)
	return m.compact()
}

// depose ends what an earlier leadership had begun: whether its changes were made is not known here.
func (m *Machine) depose() {
	m.keeper = nil
	for _, seq := range slices.Sorted(maps.Keys(m.changes)) {
		m.answer(m.changes[seq].q, lease.Grant{}, protocol.ErrOutcomeUnknown)
	}
	for _, seq := range slices.Sorted(maps.Keys(m.reads)) {
		m.answer(m.reads[seq].q, lease.Grant{}, protocol.ErrNotLeader)
	}
	clear(m.changes)
	clear(m.reads)
}

func (m *Machine) apply(now time.Duration, e *raftpb.Entry) error {
	m.applied = e.GetIndex()
	// The first entry of its own term is behind all that earlier leaders agreed on.
	if m.leading && m.keeper == nil && e.GetTerm() == m.term {
		m.keeper = lease.NewExpiryClock(m.cfg.Timing, now, m.table.Snapshot().Grants)
	}
	switch e.GetType() {
	case raftpb.EntryNormal:
		if len(e.GetData()) == 0 {
			return nil
		}
		var in entry
		if err := cbor.Unmarshal(e.GetData(), &in); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
		g, err := m.table.Apply(in.Command)
		err = m.timed(now, in.Command, g, err)
		if w, is := m.changes[in.Seq]; is && in.Run == m.cfg.Incarnation {
			delete(m.changes, in.Seq)
			m.answer(w.q, g, err)
		}
	case raftpb.EntryConfChange:
		var cc raftpb.ConfChange
		if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
		return m.reconfigure(&cc)
	default:
		return fmt.Errorf("entry %d is of an unknown kind, %v", e.GetIndex(), e.GetType())
	}
	return nil
}

// timed has the grantor's clock follow the table, and returns what to answer.
func (m *Machine) timed(now time.Duration, c lease.Command, g lease.Grant, err error) error {
	switch {
	case m.keeper == nil || err != nil:
	case c.Op == lease.Acquire || c.Op == lease.Transfer:
		err = m.keeper.Granted(now, g)
	default:
		m.keeper.Ended(c.Duty)
	}
	if err == nil && c.Op != lease.Acquire && m.keeper != nil {
		m.free = append(m.free, c.Duty)
	}
	return err
}

func (m *Machine) reconfigure(cc *raftpb.ConfChange) error {
	var a admission
	if err := cbor.Unmarshal(cc.GetContext(), &a); err != nil {
		return fmt.Errorf("change of voters: %w", err)
	}
	m.conf, m.changed = m.node.ApplyConfChange(cc), true
	m.voters = slices.DeleteFunc(slices.Clone(m.voters), func(v protocol.Voter) bool { return v.ID == cc.GetNodeId() })
	err := error(nil)
	if cc.GetType() == raftpb.ConfChangeAddNode {
		m.voters = append(m.voters, a.Voter)
	} else {
		err = protocol.ErrOutcomeUnknown // half of it: the asker comes again
	}
	if w, is := m.changes[a.Seq]; is && a.Run == m.cfg.Incarnation {
		delete(m.changes, a.Seq)
		m.answer(w.q, lease.Grant{}, err)
	}
	return nil
}

// confirmed notes that a majority took this voter for the leader after the question had come.
func (m *Machine) confirmed(s raft.ReadState) {
	var seq uint64
	if _, err := fmt.Sscanf(string(s.RequestCtx), "%x", &seq); err != nil {
		return
	}
	for n, w := range m.reads {
		if n <= seq && w.index == 0 {
			w.index = max(s.Index, 1)
			m.reads[n] = w
		}
	}
}

// serve answers confirmed reads and renewals, once all that was agreed on before them is applied.
func (m *Machine) serve(now time.Duration) {
	for _, seq := range slices.Sorted(maps.Keys(m.reads)) {
		if w := m.reads[seq]; w.index > 0 && w.index <= m.applied && m.keeper != nil {
			delete(m.reads, seq)
			m.look(now, w.q)
		}
	}
}

func (m *Machine) look(now time.Duration, q protocol.Request) {
	g, held := m.table.Holder(q.Command.Duty)
	switch {
	case q.Kind == protocol.List:
		m.answers = append(m.answers, protocol.Response{Key: q.Key, Snapshot: m.state()})
	case q.Kind == protocol.Propose && m.heldByOther(q.Command):
		m.answer(q, g, lease.ErrHeld)
	case q.Kind == protocol.Propose: // it has come free since
		m.propose(q.Command, m.wait(q))
	case q.Kind == protocol.Renew && (!held || g.Token != q.Command.Token || g.Holder != q.Command.Process):
		m.answer(q, g, lease.ErrNotHeld)
	case q.Kind == protocol.Renew:
		m.answer(q, g, m.keeper.Renew(now, q.Command.Duty, q.Command.Token))
	case !held:
		m.answer(q, lease.Grant{}, lease.ErrNotHeld)
	default:
		m.answer(q, g, nil)
	}
}

func (m *Machine) state() protocol.Snapshot {
	return protocol.Snapshot{Leases: m.table.Snapshot(), Voters: slices.Clone(m.voters)}
}

// compact replaces the log by the state it has led to, now and then.
func (m *Machine) compact() error {
	if m.applied < m.imaged+compactAfter && !m.changed || m.applied == m.imaged {
		return nil
	}
	m.changed = false
	data, err := cbor.Marshal(m.state())
	if err != nil {
		return err
	}
	if m.image, err = m.mem.CreateSnapshot(m.applied, m.conf, data); err != nil {
		return err
	}
	m.imaged = m.applied
	return m.mem.Compact(m.applied)
}
