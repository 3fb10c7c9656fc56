// Package voter runs one voter of a control group: it drives the pure machine of package agree with a
// file, a clock and connections. One goroutine owns the machine; readers of connections and the ticker
// hand it what happened.
package voter

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"piernotch/internal/group"
	"piernotch/internal/group/consensus"
	"piernotch/internal/group/lease"
	"piernotch/internal/group/protocol"
	"piernotch/internal/group/transport"
	"piernotch/internal/group/watch"
)

const (
	tick      = 100 * time.Millisecond
	redial    = 250 * time.Millisecond
	admitEach = time.Second
	mostQueue = 1024 // who waits for a duty; others look again by themselves
	atOnce    = 4    // of those are told that it has come free: one will have it
	mostConns = 1024 // of members and voters; the rest is turned away
	mostWait  = 4096 // events that wait for the machine
)

// Voter is a running voter.
type Voter struct {
	cfg      group.Config
	begun    time.Time
	events   chan func()
	ctx      context.Context
	stop     context.CancelFunc
	wait     sync.WaitGroup
	listener net.Listener

	disk    *consensus.Store
	machine *consensus.Machine // nil until the group is known

	mu    sync.Mutex
	hail  transport.Handshake
	conns int

	out   map[string]*link // to other voters, by name
	asked uint64
	asks  map[uint64]func(protocol.Response)
	hails map[string]transport.Handshake   // the last of each other voter
	told  string                           // who was last told to lead
	queue map[lease.Duty][]*transport.Conn // who was refused a duty, and is told when it comes free
	feeds map[lease.Duty]*feed             // what holders publish, while this voter leads
	admit time.Duration
}

// feed is what is published under a duty, and who is told.
type feed struct {
	watch.EventLog
	to []*transport.Conn
}

// link is the connection to another voter.
type link struct {
	to   group.Voter
	conn *transport.Conn // nil: it does not stand
}

// Start opens the voter's file and listens. A file that cannot be read is set aside: the voter comes
// back as another one, which the group has to take in.
func Start(cfg group.Config) (*Voter, error) {
	me, is := cfg.Voter()
	if !is {
		return nil, fmt.Errorf("group.self: %q is none of the voters", cfg.Self)
	}
	v := &Voter{
		cfg: cfg, begun: time.Now(), events: make(chan func(), mostWait), out: map[string]*link{},
		asks: map[uint64]func(protocol.Response){}, hails: map[string]transport.Handshake{}, queue: map[lease.Duty][]*transport.Conn{}, feeds: map[lease.Duty]*feed{},
	}
	if err := v.open(); err != nil {
		return nil, err
	}
	var err error
	if v.listener, err = net.Listen("tcp", me.Address); err != nil {
		_ = v.disk.Close()
		return nil, fmt.Errorf("group.voter: %w", err)
	}
	v.ctx, v.stop = context.WithCancel(context.Background())
	for _, o := range cfg.Voters {
		if o.Name != cfg.Self {
			l := &link{to: o}
			v.out[o.Name] = l
			v.wait.Go(func() { v.keep(l) })
		}
	}
	v.wait.Go(v.accept)
	v.wait.Go(v.run)
	return v, nil
}

func (v *Voter) now() time.Duration { return time.Since(v.begun) }

// open reads the file and makes the machine, if the file is of a group.
func (v *Voter) open() error {
	disk, log, err := consensus.OpenStore(v.cfg.Disk, v.cfg.Name, v.cfg.Self)
	if errors.Is(err, consensus.ErrCorrupt) {
		aside, moved := consensus.Quarantine(v.cfg.Disk)
		if moved != nil {
			return errors.Join(err, moved)
		}
		slog.Error("group: voter file corrupt, quarantined", "err", err, "quarantined", aside)
		disk, log, err = consensus.OpenStore(v.cfg.Disk, v.cfg.Name, v.cfg.Self)
	}
	if err != nil {
		return fmt.Errorf("group.disk: %w", err)
	}
	v.disk = disk
	id := disk.Identity()
	v.mu.Lock()
	v.hail = transport.Handshake{Group: v.cfg.Name, Name: v.cfg.Self, ID: id.ID, Bootstrapped: id.Bootstrapped}
	v.mu.Unlock()
	slog.Info("group: voter started", "group", v.cfg.Name, "name", v.cfg.Self, "id", fmt.Sprintf("%x", id.ID), "starts", id.StartCount, "bootstrapped", id.Bootstrapped)
	if !id.Bootstrapped {
		return nil
	}
	return v.make(log)
}

func (v *Voter) make(log consensus.PersistentState) error {
	id := v.disk.Identity()
	var err error
	v.machine, err = consensus.New(consensus.Config{
		ID: id.ID, Incarnation: rand.Uint64(), StartCount: id.StartCount, Log: log,
		Timing: lease.Timing{Duration: v.cfg.LeaseDuration, MaxClockDrift: v.cfg.MaxClockDrift},
	})
	return err
}

func (v *Voter) us() transport.Handshake {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hail
}

// post hands something to the owner of the machine, or drops it where too much waits.
func (v *Voter) post(f func()) {
	select {
	case v.events <- f:
	case <-v.ctx.Done():
	default:
	}
}

func (v *Voter) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-v.ctx.Done():
			return
		case f := <-v.events:
			f()
			for range len(v.events) { // what has come together is written together
				(<-v.events)()
			}
		case <-ticker.C:
			v.tick()
		}
		if err := v.work(); err != nil {
			slog.Error("group: voter file write failed, voter stopped", "err", err)
			v.stop()
			return
		}
	}
}

func (v *Voter) tick() {
	if v.machine == nil {
		v.begin()
		return
	}
	v.machine.Tick(v.now())
	if v.machine.Outdated() {
		v.renew()
		return
	}
	v.join()
	if !v.machine.IsLeader() { // whoever leads next hears it all again
		clear(v.feeds)
	}
	leader, _ := v.machine.Leader()
	if leader.Name != v.told {
		v.told = leader.Name
		slog.Info("group: leader changed", "name", leader.Name, "id", fmt.Sprintf("%x", leader.ID))
	}
}

// begin makes the file that of a member of the group. Where all voters are here and none has ever been
// part of it, the group begins; where one has, this one asks to be taken in. As long as a voter is
// missing nobody knows which, and nothing happens: an empty disk is no proof that there is no group.
func (v *Voter) begin() {
	me := v.us()
	all := []protocol.Voter{{ID: me.ID, Name: me.Name}}
	known := false
	for _, o := range v.cfg.Voters {
		if h, is := v.hails[o.Name]; is {
			known = known || h.Bootstrapped
			all = append(all, protocol.Voter{ID: h.ID, Name: h.Name})
		}
	}
	var err error
	switch {
	case known:
		err = v.make(consensus.PersistentState{})
	case len(all) == len(v.cfg.Voters):
		slices.SortFunc(all, func(a, b protocol.Voter) int { return cmp.Compare(a.Name, b.Name) })
		log := consensus.Bootstrap(all)
		if err = v.disk.Bootstrap(log); err == nil {
			slog.Info("group: bootstrapped", "group", v.cfg.Name, "voters", len(all))
			err = v.make(log)
		}
	default:
		return
	}
	if err != nil {
		slog.Error("group: bootstrap failed", "err", err)
		v.stop()
	}
}

// join asks to be taken in, as long as this disk is not one that votes.
func (v *Voter) join() {
	id := v.us().ID
	if v.now() < v.admit || slices.ContainsFunc(v.machine.Voters(), func(o protocol.Voter) bool { return o.ID == id }) {
		return
	}
	v.admit = v.now() + admitEach
	for _, l := range v.out {
		if l.conn != nil {
			l.conn.Send(transport.Frame{Request: &transport.Request{Kind: protocol.AddVoter, Voter: protocol.Voter{ID: id, Name: v.cfg.Self}}})
		}
	}
}

// renew gives up a disk that is older than what the group has seen of it.
func (v *Voter) renew() {
	_ = v.disk.Close()
	aside, err := consensus.Quarantine(v.cfg.Disk)
	slog.Error("group: voter file stale, quarantined", "quarantined", aside)
	v.machine = nil
	if err == nil {
		err = v.open()
	}
	if err != nil {
		slog.Error("group: voter failed", "err", err)
		v.stop()
		return
	}
	for _, l := range v.out { // who hears of the new disk by a new hail
		if l.conn != nil {
			l.conn.Close()
		}
	}
}

// work writes, sends and answers what the machine has come to.
func (v *Voter) work() error {
	for v.machine != nil {
		w, any := v.machine.Ready()
		if !any {
			break
		}
		if err := v.disk.Write(w); err != nil {
			return err
		}
		for _, m := range w.Messages {
			v.send(m)
		}
		if err := v.machine.Advance(v.now(), w); err != nil {
			return err
		}
	}
	if v.machine == nil {
		return nil
	}
	if born := v.disk.Identity().Bootstrapped; born && !v.us().Bootstrapped {
		v.mu.Lock()
		v.hail.Bootstrapped = true
		v.mu.Unlock()
	}
	for _, a := range v.machine.Responses() {
		if back := v.asks[a.Key]; back != nil {
			delete(v.asks, a.Key)
			back(a)
		}
	}
	for _, d := range v.machine.Freed() {
		v.freed(d)
	}
	return nil
}

// freed tells some of those that wait for a duty, and whoever it was handed to.
func (v *Voter) freed(d lease.Duty) {
	all := v.queue[d]
	delete(v.queue, d)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	g, _ := v.machine.Holder(d)
	for i, c := range all {
		if i < atOnce || c.Peer.Name == g.Holder.Name {
			c.Send(transport.Frame{Response: &transport.Response{FreedDuty: d}})
		} else {
			v.queue[d] = append(v.queue[d], c)
		}
	}
}

func (v *Voter) send(m consensus.Message) {
	p := &transport.VoterMessage{From: m.From, To: m.To, Announcement: m.Announcement, Accepted: m.Accepted}
	if m.Raft != nil {
		var err error
		if p.Raft, err = proto.Marshal(m.Raft); err != nil {
			slog.Error("group: message encoding failed", "err", err)
			return
		}
	}
	for name, l := range v.out {
		if l.conn != nil && v.hails[name].ID == m.To {
			l.conn.Send(transport.Frame{VoterMessage: p})
		}
	}
}

// keep holds the connection to another voter, and makes it again when it ends.
func (v *Voter) keep(l *link) {
	said := ""
	for v.ctx.Err() == nil {
		c, err := transport.Dial(l.to.Address, v.us)
		if err == nil && c.Peer.Name != l.to.Name {
			err = fmt.Errorf("%q answers there", c.Peer.Name)
			c.Close()
		}
		if err != nil {
			if said != err.Error() {
				said = err.Error()
				slog.Warn("group: voter unreachable", "name", l.to.Name, "address", l.to.Address, "err", err)
			}
		} else {
			said = ""
			v.post(func() { l.conn, v.hails[l.to.Name] = c, c.Peer })
			v.read(c)
			v.post(func() {
				if l.conn == c { // what it said of its disk is no longer known, either
					l.conn = nil
					delete(v.hails, l.to.Name)
				}
			})
		}
		select {
		case <-v.ctx.Done():
		case <-time.After(redial):
		}
	}
}

func (v *Voter) accept() {
	for {
		nc, err := v.listener.Accept()
		if err != nil {
			if v.ctx.Err() != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
			continue
		}
		v.mu.Lock()
		v.conns++
		room := v.conns <= mostConns
		v.mu.Unlock()
		if !room {
			_ = nc.Close()
			v.left()
			continue
		}
		v.wait.Go(func() {
			defer v.left()
			c, err := transport.Accept(nc, v.us)
			if err != nil {
				slog.Warn("group: connection rejected", "from", nc.RemoteAddr(), "err", err)
				return
			}
			v.read(c)
			v.post(func() { v.forget(c) })
		})
	}
}

func (v *Voter) left() {
	v.mu.Lock()
	v.conns--
	v.mu.Unlock()
}

// read takes frames until the connection ends.
func (v *Voter) read(c *transport.Conn) {
	ended := context.AfterFunc(v.ctx, c.Close)
	defer ended()
	defer c.Close()
	for {
		f, err := c.Read()
		if err != nil {
			if errors.Is(err, transport.ErrInvalidFrame) {
				slog.Warn("group: connection closed", "name", c.Peer.Name, "err", err)
			}
			return
		}
		switch {
		case f.VoterMessage != nil:
			v.post(func() { v.vote(c, f.VoterMessage) })
		case f.Request != nil:
			v.post(func() { v.ask(c, f.Request) })
		}
	}
}

func (v *Voter) vote(c *transport.Conn, p *transport.VoterMessage) {
	if v.machine == nil || p.To != v.us().ID || p.From != c.Peer.ID {
		return
	}
	m := consensus.Message{From: p.From, To: p.To, Announcement: p.Announcement, Accepted: p.Accepted}
	if len(p.Raft) > 0 {
		m.Raft = &raftpb.Message{}
		if err := proto.Unmarshal(p.Raft, m.Raft); err != nil {
			slog.Warn("group: message decoding failed", "name", c.Peer.Name, "err", err)
			c.Close()
			return
		}
	}
	if err := v.machine.Receive(m); err != nil {
		slog.Warn("group: message rejected", "name", c.Peer.Name, "err", err)
	}
}

// ask has the machine answer a question, whose asker may be gone by then.
func (v *Voter) ask(c *transport.Conn, a *transport.Request) {
	tell := func(b protocol.Response) {
		t := &transport.Response{Key: a.Key, Code: transport.ErrorCodeOf(b.Err), Grant: b.Grant, Snapshot: b.Snapshot, Leader: v.told}
		c.Send(transport.Frame{Response: t})
		if q := v.queue[a.Command.Duty]; errors.Is(b.Err, lease.ErrHeld) && len(q) < mostQueue && !slices.Contains(q, c) {
			v.queue[a.Command.Duty] = append(q, c)
		}
	}
	if v.machine == nil {
		tell(protocol.Response{Err: protocol.ErrNotLeader})
		return
	}
	if a.Kind == protocol.Publish || a.Kind == protocol.Subscribe {
		tell(protocol.Response{Err: v.feed(c, a)})
		return
	}
	v.asked++
	v.asks[v.asked] = tell
	v.machine.Propose(v.now(), protocol.Request{Key: v.asked, Kind: a.Kind, Command: a.Command, Voter: a.Voter})
}

// Ended is closed once the voter has ended, by itself or by Close.
func (v *Voter) Ended() <-chan struct{} { return v.ctx.Done() }

// feed takes what a holder publishes, or has a member told of it. The table is the fence: only the
// token that stands is taken. A voter that no longer leads and does not know yet may pass on what an
// old holder says; followers check versions, and it ends when the engine finds no majority.
func (v *Voter) feed(c *transport.Conn, a *transport.Request) error {
	duty := a.Command.Duty
	g, held := v.machine.Holder(duty)
	switch {
	case !v.machine.IsLeader():
		return protocol.ErrNotLeader
	case a.Event == nil, a.Kind == protocol.Publish && (!held || g.Token != a.Command.Token || g.Holder != a.Command.Process):
		return lease.ErrNotHeld
	}
	f := v.feeds[duty]
	if f == nil {
		if len(v.feeds) >= group.MaxDuties {
			return protocol.ErrOverloaded
		}
		f = &feed{}
		v.feeds[duty] = f
	}
	if a.Kind == protocol.Subscribe {
		if !slices.Contains(f.to, c) {
			f.to = append(f.to, c)
		}
		for _, p := range f.Since(a.Event.Source, a.Event.ToVersion) {
			c.Send(transport.Frame{Response: &transport.Response{Duty: duty, Token: f.Token(), Event: &p}})
		}
		return nil
	}
	if err := f.Append(g.Token, *a.Event); err != nil {
		return err
	}
	for _, o := range f.to {
		if o != c {
			o.Send(transport.Frame{Response: &transport.Response{Duty: duty, Token: g.Token, Event: a.Event}})
		}
	}
	return nil
}

// forget drops a connection that has ended.
func (v *Voter) forget(c *transport.Conn) {
	is := func(o *transport.Conn) bool { return o == c }
	for d, q := range v.queue {
		if v.queue[d] = slices.DeleteFunc(q, is); len(v.queue[d]) == 0 {
			delete(v.queue, d)
		}
	}
	for _, f := range v.feeds {
		f.to = slices.DeleteFunc(f.to, is)
	}
}

// Close ends the voter. What it has promised is on its disk.
func (v *Voter) Close() {
	v.stop()
	_ = v.listener.Close()
	v.wait.Wait()
	_ = v.disk.Close()
}
