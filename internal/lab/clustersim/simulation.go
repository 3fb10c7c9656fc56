// Package clustersim plays the control group in simulated time: voters that run the real agreement and
// keep it on simulated disks, members that want duties and act under them, and receivers that refuse
// what is fenced. One seed gives the schedule of faults and everything that follows from it.
//
// The judge is not the group: it knows true time, looks at every act, and reads the history of calls as
// members saw them.
package clustersim

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"piernotch/internal/group/consensus"
	"piernotch/internal/group/failpoint"
	"piernotch/internal/group/lease"
	"piernotch/internal/group/protocol"
)

// tick is the engine's tick, and looks how often a holder acts.
const (
	tick  = 100 * time.Millisecond
	looks = 150 * time.Millisecond
)

// Terms are the model's: short ones, so that a schedule holds many grants.
var Terms = lease.Timing{Duration: 3 * time.Second, MaxClockDrift: 0.01}

// Result is what came of one seed.
type Result struct {
	Seed   uint64   `json:"seed"`
	Broken []string `json:"broken,omitempty"`
	Faults []Fault  `json:"faults,omitempty"` // of a seed that broke something
	Spans  []Span   `json:"-"`
	Acts   int      `json:"acts"`
	Fenced int      `json:"fenced"`
	Calls  int      `json:"calls"`
	Grants int      `json:"grants"`
	Unheld float64  `json:"unheld"` // share of the time that a duty was held by nobody
	Digest uint64   `json:"digest"`
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type calendar []event

func (c calendar) Len() int { return len(c) }
func (c calendar) Less(i, j int) bool {
	return c[i].at < c[j].at || c[i].at == c[j].at && c[i].seq < c[j].seq
}
func (c calendar) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *calendar) Push(x any)   { *c = append(*c, x.(event)) }
func (c *calendar) Pop() any {
	old := *c
	e := old[len(old)-1]
	*c = old[:len(old)-1]
	return e
}

// node is a process: a voter, a member or a receiver.
type node struct {
	w       *world
	number  int
	up      bool
	life    int // counts starts: what was meant for an earlier one is void
	stalled time.Duration
	rate    float64 // of its monotonic clock
	wall    time.Duration
	queue   []func() // what came while it stood still
	voter   *voter
	member  *member
	fence   *lease.Fence
	seen    map[lease.Duty]uint64 // a receiver's disk
}

// now is the node's monotonic clock.
func (n *node) now() time.Duration {
	t := time.Duration(float64(n.w.now)*n.rate) + time.Duration(n.number)*time.Hour
	if failpoint.Enabled("wall-clock") {
		t += n.wall
	}
	return t
}

// run has the node do something, as soon as it does anything.
func (n *node) run(f func()) {
	life := n.life
	switch {
	case !n.up:
	case n.w.now < n.stalled:
		n.queue = append(n.queue, func() {
			if n.life == life {
				f()
			}
		})
	default:
		f()
	}
}

// after has the node do something later, by its own clock.
func (n *node) after(d time.Duration, f func()) {
	life := n.life
	n.w.at(n.w.now+time.Duration(float64(d)/n.rate), func() {
		if n.life == life {
			n.run(f)
		}
	})
}

type world struct {
	size   Size
	rng    *rand.Rand
	now    time.Duration
	seq    uint64
	cal    calendar
	nodes  []*node
	cuts   map[[2]int]int // how many faults hold a link down
	lossy  int
	digest uint64
	result Result
	acts   map[lease.Duty]map[uint64]int // who acted under a token
	free   map[lease.Duty]time.Duration
	calls  []Call
	ids    uint64
}

func (w *world) at(t time.Duration, f func()) {
	w.seq++
	heap.Push(&w.cal, event{t, w.seq, f})
}

func (w *world) broke(format string, args ...any) {
	if len(w.result.Broken) < 8 {
		w.result.Broken = append(w.result.Broken, fmt.Sprintf("%.3f s: ", w.now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// note makes what happens part of the run's digest: the same seed has to give the same one.
func (w *world) note(parts ...uint64) {
	for _, p := range parts {
		w.digest = (w.digest ^ p) * 1099511628211
	}
}

// send carries something from one node to another, or not.
func (w *world) send(from, to int, f func()) {
	if w.cuts[[2]int{from, to}] > 0 || w.cuts[[2]int{from, -1}] > 0 || w.cuts[[2]int{-1, to}] > 0 {
		return
	}
	times := 1
	if w.lossy > 0 {
		switch r := w.rng.Float64(); {
		case r < 0.15:
			return
		case r < 0.25 && w.nodes[from].voter != nil && w.nodes[to].voter != nil: // calls go over streams
			times = 2
		}
	}
	for range times {
		d := 200*time.Microsecond + time.Duration(w.rng.ExpFloat64()*float64(2*time.Millisecond))
		if w.lossy > 0 && w.rng.IntN(5) == 0 {
			d += time.Duration(w.rng.ExpFloat64() * float64(600*time.Millisecond))
		}
		life := w.nodes[to].life
		w.at(w.now+d, func() {
			if n := w.nodes[to]; n.life == life || n.voter != nil {
				n.run(f)
			}
		})
	}
}

// run plays one seed; see PlayFaults.
func run(seed uint64, size Size, faults []Fault) Result {
	w := &world{
		size: size, rng: rand.New(rand.NewPCG(seed, 0x90de)), cuts: map[[2]int]int{}, digest: 14695981039346656037,
		acts: map[lease.Duty]map[uint64]int{}, free: map[lease.Duty]time.Duration{}, result: Result{Seed: seed},
	}
	var voters []protocol.Voter
	for i := range size.Voters {
		w.ids++
		voters = append(voters, protocol.Voter{ID: w.ids, Name: fmt.Sprintf("v%d", i)})
	}
	for i := range size.Voters + size.Members + size.Receivers {
		n := &node{w: w, number: i, up: true, rate: 1 + (w.rng.Float64()*2-1)*Terms.MaxClockDrift}
		w.nodes = append(w.nodes, n)
		switch {
		case i < size.Voters:
			n.voter = &voter{node: n, name: voters[i].Name, disk: disk{id: voters[i].ID, log: consensus.Bootstrap(voters)}}
		case i < size.Voters+size.Members:
			n.member = &member{node: n}
		}
	}
	for _, n := range w.nodes {
		n.start()
	}
	for _, f := range faults {
		w.at(f.At, func() { w.strike(f) })
	}
	for len(w.cal) > 0 && w.now < size.Length && len(w.result.Broken) == 0 {
		e := heap.Pop(&w.cal).(event)
		w.now = e.at
		e.do()
	}
	if len(w.result.Broken) == 0 {
		w.finish()
	}
	if len(w.result.Broken) > 0 {
		w.result.Faults = faults
	}
	w.result.Digest, w.result.Calls = w.digest, len(w.calls)
	return w.result
}

func (n *node) start() {
	n.up = true
	n.life++
	switch {
	case n.voter != nil:
		n.voter.start()
	case n.member != nil:
		n.member.start()
	default:
		n.fence = &lease.Fence{}
		if !failpoint.Enabled("fence-forgotten") {
			n.fence.Restore(maps.Clone(n.seen))
		}
	}
}

func (n *node) end() {
	n.up = false
	n.life++
	n.queue = nil
	if n.voter != nil {
		n.voter.crashed()
	}
}

// strike plays a fault.
func (w *world) strike(f Fault) {
	n := w.nodes[f.Node]
	over := func(do func()) { w.at(f.At+f.For, do) }
	switch f.Kind {
	case Cut, Isolate, Flap, Split:
		links := [][2]int{{f.Node, f.Other}}
		if f.Kind == Split {
			links = nil
			for a := range w.nodes {
				for b := range w.nodes {
					if f.Side(w.size, a) != f.Side(w.size, b) {
						links = append(links, [2]int{a, b})
					}
				}
			}
		} else if f.Kind != Cut {
			links = [][2]int{{f.Node, -1}, {-1, f.Node}}
			if f.OneWay {
				links = links[:1]
			}
		}
		set := func(d int) {
			for _, l := range links {
				w.cuts[l] += d
			}
		}
		if f.Kind != Flap {
			set(1)
			over(func() { set(-1) })
			return
		}
		for t := f.At; t < f.At+f.For; t += 400 * time.Millisecond {
			w.at(t, func() { set(1) })
			w.at(t+200*time.Millisecond, func() { set(-1) })
		}
	case Crash, Forget, Rewind, Full, AllDown:
		struck := []*node{n}
		if f.Kind == AllDown {
			struck = w.nodes[:w.size.Voters]
		}
		for _, n := range struck {
			if !n.up {
				continue
			}
			n.end()
			life := n.life
			over(func() {
				if n.life != life {
					return
				}
				if n.voter != nil && (f.Kind == Forget || f.Kind == Rewind) && w.whole() {
					n.voter.lose(f.Kind)
				}
				n.start()
			})
		}
	case Stall:
		n.stalled = max(n.stalled, f.At+f.For)
		w.at(n.stalled, func() {
			if w.now < n.stalled {
				return
			}
			q := n.queue
			n.queue = nil
			for _, f := range q {
				n.run(f)
			}
		})
	case Slow:
		n.voter.slow++
		over(func() { n.voter.slow-- })
	case Lossy:
		w.lossy++
		over(func() { w.lossy-- })
	case Step:
		n.wall += 10 * time.Second * time.Duration(2*w.rng.IntN(2)-1)
	case Leave:
		n.run(func() { n.member.leave() })
		over(func() { n.run(func() { n.member.want() }) })
	case HandOn:
		n.run(func() { n.member.handOn() })
	}
}

// whole tells whether the group votes with all the disks that there are. Where one that was lost has
// not been replaced yet, another loss may be that of the majority, and no group bears that.
func (w *world) whole() bool {
	return slices.ContainsFunc(w.nodes[:w.size.Voters], func(n *node) bool {
		return n.up && n.voter.m.IsLeader() && !slices.ContainsFunc(w.nodes[:w.size.Voters], func(o *node) bool {
			return !slices.ContainsFunc(n.voter.m.Voters(), func(v protocol.Voter) bool { return v.ID == o.voter.disk.id })
		})
	})
}

// disk is what outlives a voter's process.
type disk struct {
	id     uint64
	starts uint64
	log    consensus.PersistentState
}

// write makes work durable.
func (d *disk) write(w consensus.Ready) {
	l := &d.log
	if w.Snapshot != nil {
		l.Snapshot, l.Entries = w.Snapshot, nil
	}
	if w.Compaction != nil {
		l.Snapshot = w.Compaction
		l.Entries = slices.DeleteFunc(slices.Clone(l.Entries), func(e *raftpb.Entry) bool { return e.GetIndex() <= w.Compaction.GetMetadata().GetIndex() })
	}
	if w.HardState != nil {
		l.HardState = w.HardState
	}
	if len(w.Entries) > 0 {
		first := w.Entries[0].GetIndex()
		l.Entries = append(slices.DeleteFunc(slices.Clone(l.Entries), func(e *raftpb.Entry) bool { return e.GetIndex() >= first }), w.Entries...)
	}
	if w.Incarnations != nil {
		l.Incarnations = w.Incarnations
	}
}

// voter is a process that votes.
type voter struct {
	*node
	name    string
	disk    disk
	copies  []disk // as it was at earlier starts
	m       *consensus.Machine
	busy    bool
	writing *consensus.Ready
	inbox   []func()
	slow    int
	asks    map[uint64]func(protocol.Response)
	next    uint64
}

func (v *voter) start() {
	v.copies = append(v.copies, v.disk)
	v.disk.starts++
	v.busy, v.writing, v.inbox, v.asks = false, nil, nil, map[uint64]func(protocol.Response){}
	var err error
	v.m, err = consensus.New(consensus.Config{ID: v.disk.id, Incarnation: v.w.rng.Uint64(), StartCount: v.disk.starts, Timing: Terms, Log: v.disk.log})
	if err != nil {
		v.w.broke("%s does not start: %v", v.name, err)
		return
	}
	v.after(time.Duration(v.w.rng.Int64N(int64(tick))), v.tick)
}

// crashed tears what was being written: some of it is on the disk, or none.
func (v *voter) crashed() {
	if v.writing != nil && v.w.rng.IntN(2) == 0 {
		v.disk.write(*v.writing)
	}
}

// lose empties the disk, or puts an older copy in its place.
func (v *voter) lose(k Kind) {
	if k == Rewind {
		v.disk = v.copies[v.w.rng.IntN(len(v.copies))]
		return
	}
	if failpoint.Enabled("disk-unchecked") {
		var voters []protocol.Voter
		for i := range v.w.size.Voters {
			voters = append(voters, protocol.Voter{ID: uint64(i + 1), Name: fmt.Sprintf("v%d", i)})
		}
		v.disk = disk{id: v.disk.id, starts: v.disk.starts, log: consensus.Bootstrap(voters)}
		return
	}
	v.renew()
}

// renew makes the disk that of another voter, which has to be taken in.
func (v *voter) renew() {
	v.w.ids++
	v.disk, v.copies = disk{id: v.w.ids}, nil
}

func (v *voter) tick() {
	v.after(tick, v.tick)
	v.do(func() { v.m.Tick(v.now()) })
	if v.m.Outdated() {
		v.end()
		v.renew()
		v.node.start()
		return
	}
	if !slices.ContainsFunc(v.m.Voters(), func(o protocol.Voter) bool { return o.ID == v.disk.id }) && v.w.rng.IntN(5) == 0 {
		q := protocol.Request{Kind: protocol.AddVoter, Voter: protocol.Voter{ID: v.disk.id, Name: v.name}}
		to := v.w.nodes[v.w.rng.IntN(v.w.size.Voters)]
		v.w.send(v.number, to.number, func() { to.voter.ask(q, func(protocol.Response) {}) })
	}
}

// do has the machine take something, once its disk has what came before.
func (v *voter) do(f func()) {
	if v.busy {
		v.inbox = append(v.inbox, f)
		return
	}
	f()
	v.pump()
}

func (v *voter) pump() {
	for {
		w, any := v.m.Ready()
		if !any {
			v.answer()
			return
		}
		if failpoint.Enabled("sent-before-written") {
			v.post(w)
		}
		if w.Empty() {
			v.done(w)
			continue
		}
		v.busy, v.writing = true, &w
		d := 100*time.Microsecond + time.Duration(v.w.rng.ExpFloat64()*float64(time.Millisecond))
		if v.slow > 0 {
			d = 2 * time.Second
		}
		v.after(d, func() {
			v.busy, v.writing = false, nil
			v.disk.write(w)
			v.done(w)
			v.pump()
			for len(v.inbox) > 0 && !v.busy {
				f := v.inbox[0]
				v.inbox = v.inbox[1:]
				f()
				v.pump()
			}
		})
		return
	}
}

func (v *voter) done(w consensus.Ready) {
	if !failpoint.Enabled("sent-before-written") {
		v.post(w)
	}
	if err := v.m.Advance(v.now(), w); err != nil {
		v.w.broke("%s: %v", v.name, err)
	}
}

func (v *voter) post(w consensus.Ready) {
	for _, msg := range w.Messages {
		for _, n := range v.w.nodes[:v.w.size.Voters] {
			if n.voter.disk.id == msg.To {
				v.w.send(v.number, n.number, func() { n.voter.receive(msg) })
			}
		}
	}
}

func (v *voter) receive(msg consensus.Message) {
	v.do(func() {
		if msg.To != v.disk.id { // it has another identity by now
			return
		}
		if err := v.m.Receive(msg); err != nil && !errors.Is(err, consensus.ErrStaleStore) {
			v.w.broke("%s: %v", v.name, err)
		}
	})
}

// ask takes a question that has come.
func (v *voter) ask(q protocol.Request, back func(protocol.Response)) {
	v.do(func() {
		v.next++
		q.Key = v.next
		v.asks[q.Key] = back
		v.m.Propose(v.now(), q)
	})
}

func (v *voter) answer() {
	for _, d := range v.m.Freed() {
		to := v.w.nodes[v.w.size.Voters+v.w.rng.IntN(v.w.size.Members)]
		v.w.send(v.number, to.number, func() { to.member.nudge(d) })
	}
	for _, a := range v.m.Responses() {
		if back := v.asks[a.Key]; back != nil {
			delete(v.asks, a.Key)
			back(a)
		}
	}
}
