package simulation

import (
	"slices"
	"time"

	"piernotch"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// discovery is the list of servers as a service: it learns of changes late, publishes
// them in steps, and answers calls one after the other.
type discovery struct {
	listed    []listed
	notices   []notice
	waiting   []int // notices that are learnt of and not published yet
	publishAt time.Duration
	version   uint64
	busyUntil time.Duration
	outages   int
	late      time.Duration // a trouble's further lateness
	phase     time.Duration
}

type listed struct {
	present bool
	state   piernotch.State
	born    time.Duration
	changed uint64 // version of its last change
	at      time.Duration
}

type notice struct {
	server int
	seq    int
	state  piernotch.State
	born   time.Duration
}

// Kinds of list deliveries: answers to calls and pushes of changes. The instance's
// epoch stands above them.
const (
	pushChanges uint64 = iota
	answerWatch
	answerFetch
	answerFailed
)

func (d *discovery) begin(w *World) {
	d.listed = make([]listed, len(w.servers))
	for i := range d.listed {
		d.listed[i] = listed{present: true, state: piernotch.Ready}
	}
	d.version = 1
	d.phase = time.Duration(scenario.Stream(w.day.Seed, "discovery").Float64() * float64(w.day.Discovery.Period))
}

// truth notes what became of a server; discovery learns of it after a while.
func (d *discovery) truth(w *World, server int, state piernotch.State, after time.Duration) {
	m := &w.servers[server]
	m.truth++
	n := notice{server: server, seq: m.truth, state: state, born: m.Started()}
	if state == piernotch.Ready {
		after += d.late / 2
	} else {
		after += d.late
	}
	d.notices = append(d.notices, n)
	w.cal.plan(w.now+after, atTrouble, evNotice, uint64(len(d.notices)-1), 0)
}

// notice has discovery learn of a change; it is published at the next step.
func (d *discovery) notice(w *World, i int) {
	d.waiting = append(d.waiting, i)
	if len(d.waiting) > 1 {
		return
	}
	at := w.now
	if p := w.day.Discovery.Period; p > 0 {
		at = (w.now-d.phase+p-1)/p*p + d.phase
	}
	w.cal.plan(max(at, w.now), atTrouble, evPublish, 0, 0)
}

// publish makes a new version of the list and tells those who watch.
func (d *discovery) publish(w *World) {
	d.version++
	changed := false
	for _, i := range d.waiting {
		n := d.notices[i]
		if n.seq < w.servers[n.server].truth && n.state != piernotch.Ready && d.newer(w, n) {
			continue // something later is known already
		}
		l := &d.listed[n.server]
		was := *l
		l.present, l.state, l.born = n.state != piernotch.Gone, n.state, n.born
		if was.present == l.present && was.state == l.state && was.born == l.born {
			continue
		}
		l.changed, l.at, changed = d.version, w.now, true
	}
	d.waiting = d.waiting[:0]
	if !changed || d.outages > 0 {
		return
	}
	d.push(w)
}

// push tells those who watch.
func (d *discovery) push(w *World) {
	for i := range w.insts {
		if in := &w.insts[i]; in.up && in.watch && d.outages == 0 {
			d.plan(w, i, w.now+d.spread(w, i), pushChanges)
		}
	}
}

// mistake lists servers as gone that are not, or as ready again; those that have ended
// or drain meanwhile stay as they are listed.
func (d *discovery) mistake(w *World, servers []int, state piernotch.State) {
	d.version++
	for _, s := range servers {
		if m := &w.servers[s]; m.State() != servermodel.Up {
			continue
		}
		l := &d.listed[s]
		l.present, l.state, l.changed, l.at = state != piernotch.Gone, state, d.version, w.now
	}
	d.push(w)
}

// newer tells whether a later start of the server is listed than the notice is about.
func (d *discovery) newer(w *World, n notice) bool {
	l := &d.listed[n.server]
	return l.state == piernotch.Ready && l.born > n.born
}

func (d *discovery) spread(w *World, i int) time.Duration {
	u := w.dice(mix(d.version<<20^uint64(i)), ofSpread).Float64()
	return time.Duration(u*float64(w.day.Discovery.Spread)) / time.Microsecond * time.Microsecond
}

func (d *discovery) plan(w *World, i int, at time.Duration, kind uint64) {
	w.cal.plan(at, atList, evList, uint64(w.insts[i].epoch)<<8|kind, int32(i))
}

// call takes an instance's call: for changes from now on, or for the whole list once.
func (d *discovery) call(w *World, i int, watch bool) {
	in := &w.insts[i]
	in.asked = w.now
	way := 2 * w.day.Delay[in.zone][0]
	if d.outages > 0 {
		d.plan(w, i, w.now+way+time.Millisecond, answerFailed)
		return
	}
	lines := 0
	for s := range d.listed {
		if l := &d.listed[s]; l.present && !watch || l.changed > in.version {
			lines++
		}
	}
	v := &w.day.Discovery
	cost := time.Duration((1 + float64(lines)/v.CallLines) / v.CallsPerSec * float64(time.Second))
	done := max(d.busyUntil, w.now) + cost
	if done-w.now > v.Patience {
		d.plan(w, i, w.now+v.Patience, answerFailed)
		w.meter.ListFailed++
		return
	}
	d.busyUntil = done
	kind := answerFetch
	if watch {
		kind = answerWatch
	}
	d.plan(w, i, done+way, kind)
}

// deliver brings a list to an instance.
func (d *discovery) deliver(w *World, i int, what uint64) {
	in := &w.insts[i]
	if !in.up || uint32(what>>8) != in.epoch {
		return
	}
	switch what & 0xff {
	case answerFailed:
		in.watch, in.failed = w.day.Discovery.Push, true
		w.tell(i, Event{Kind: View, List: piernotch.UpdateFailed, Version: in.version})
		return
	case answerFetch:
		in.failed = false
		d.whole(w, i)
		d.send(w, i, piernotch.UpdateFull, d.all(w))
		return
	case answerWatch:
		in.watch, in.failed = true, false
	}
	if d.outages > 0 {
		return
	}
	var servers []int
	for s := range d.listed {
		if d.listed[s].changed > in.version {
			servers = append(servers, s)
		}
	}
	if len(servers) == 0 && what&0xff == pushChanges {
		return
	}
	in.version = d.version
	for _, s := range servers {
		d.remember(in, s, w)
	}
	d.send(w, i, piernotch.UpdateDelta, servers)
}

// all is every server on the list.
func (d *discovery) all(w *World) []int {
	var servers []int
	for s := range d.listed {
		if d.listed[s].present {
			servers = append(servers, s)
		}
	}
	return servers
}

func (d *discovery) entry(w *World, s int) piernotch.Endpoint {
	l, m := &d.listed[s], &w.servers[s]
	return piernotch.Endpoint{ID: m.id, Zone: m.spec.Zone, Cell: m.spec.Cell, State: l.state, Size: m.spec.Size, StartedAt: l.born}
}

// remember keeps what an instance was told, for its successor.
func (d *discovery) remember(in *instance, s int, w *World) {
	if in.entries == nil {
		in.entries = map[int32]piernotch.Endpoint{}
	}
	if !d.listed[s].present {
		delete(in.entries, int32(s))
		return
	}
	in.entries[int32(s)] = d.entry(w, s)
}

// whole makes an instance's list the present one.
func (d *discovery) whole(w *World, i int) {
	in := &w.insts[i]
	in.version = d.version
	clear(in.entries)
	for s := range d.listed {
		if d.listed[s].present {
			d.remember(in, s, w)
		}
	}
}

// send tells an instance of servers as they are listed now.
func (d *discovery) send(w *World, i int, kind piernotch.UpdateKind, servers []int) {
	e := Event{Kind: View, List: kind, Version: d.version}
	for _, s := range servers {
		entry := d.entry(w, s)
		e.Entries = append(e.Entries, entry)
		e.Machines = append(e.Machines, w.servers[s].spec.KindIndex)
		w.audit.EndpointNotified(w.now, i, s, entry.State, entry.StartedAt)
	}
	if kind == piernotch.UpdateFull {
		d.missing(w, i)
	}
	w.tell(i, e)
}

// missing counts what a whole list leaves out as told to be gone.
func (d *discovery) missing(w *World, i int) {
	for s := range d.listed {
		if !d.listed[s].present {
			w.audit.EndpointNotified(w.now, i, s, piernotch.Gone, 0)
		}
	}
}

// cached brings a starting instance the list that its forerunner had last.
func (d *discovery) cached(w *World, i int) {
	in := &w.insts[i]
	e := Event{Kind: View, List: piernotch.UpdateCached, Version: in.version}
	servers := make([]int, 0, len(in.entries))
	for s := range in.entries {
		servers = append(servers, int(s))
	}
	slices.Sort(servers)
	for _, s := range servers {
		entry := in.entries[int32(s)]
		e.Entries = append(e.Entries, entry)
		e.Machines = append(e.Machines, w.servers[s].spec.KindIndex)
		w.audit.EndpointNotified(w.now, i, s, entry.State, entry.StartedAt)
	}
	w.tell(i, e)
}

// implied counts as told, to instances that neither watch nor ask, what was listed as
// long ago as they may go without.
func (d *discovery) implied(w *World) {
	for i := range w.insts {
		in := &w.insts[i]
		limit := w.day.Rules.AskWithin
		if in.failed {
			limit *= 4
		}
		if !in.up || in.watch || w.now-in.asked <= limit {
			continue
		}
		for s := range d.listed {
			if l := &d.listed[s]; l.state != piernotch.Ready && l.changed > in.version && l.at <= w.now-limit {
				w.audit.EndpointNotified(w.now, i, s, l.state, 0)
			}
		}
	}
}

// outage ends all watches and has calls fail.
func (d *discovery) outage(w *World, begins bool) {
	if !begins {
		d.outages--
		return
	}
	d.outages++
	for i := range w.insts {
		if in := &w.insts[i]; in.up && in.watch && !w.day.Discovery.Push {
			in.watch = false
			d.plan(w, i, w.now+time.Millisecond, answerFailed)
		}
	}
}
