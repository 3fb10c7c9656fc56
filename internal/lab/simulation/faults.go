package simulation

import (
	"time"

	"piernotch"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// scheduleFaults writes the day's troubles into the script.
func (w *World) scheduleFaults() {
	for _, s := range w.day.Steps() {
		if s.Do == scenario.Join || s.Do == scenario.Takeover { // the machine is there from the beginning
			w.scheduleJoin(s.Server, s.Number, s.At)
			continue
		}
		w.schedule(s.At, func() { w.applyStep(&s) })
	}
	for i := range w.day.Troubles {
		in := &w.day.Troubles[i]
		if in.Kind == "roster_move" { // to the balancers it is an outage that is over at once
			w.schedule(in.At, func() { w.discovery.outage(w, true) })
			w.schedule(in.At+time.Millisecond, func() { w.discovery.outage(w, false) })
		}
		for n, b := range in.Balancers {
			switch in.Kind {
			case "balancer_crash":
				w.schedule(in.At, func() { w.killInstance(b) })
				w.schedule(in.At+w.day.Front, func() { w.admit(b, w.instances[b].up) })
				w.schedule(in.End(), func() { w.startInstance(b, false) })
			case "balancer_restart":
				// The front knows of it, and what is held is answered first.
				at := in.At + in.Every*time.Duration(n)
				w.schedule(at, func() { w.admit(b, false) })
				w.schedule(at+w.longestRequest(), func() { w.killInstance(b) })
				w.schedule(at+w.longestRequest()+in.For, func() { w.startInstance(b, false) })
			}
		}
	}
}

// applyStep does one thing to servers or discovery.
func (w *World) applyStep(s *scenario.Step) {
	switch s.Do {
	case scenario.Slow:
		w.slowServer(s.Server, s.Size)
	case scenario.Pauses:
		w.servers[s.Server].SetPauses(w.now, s.Every, s.Length)
		w.scheduleServer(s.Server)
	case scenario.Choke:
		w.servers[s.Server].SetChoked(w.now)
		w.servers[s.Server].everOverloaded = true
		w.scheduleServer(s.Server)
	case scenario.Drain:
		w.drainServer(s.Server)
	case scenario.End:
		w.endServer(s.Server)
	case scenario.Start:
		w.startServer(s.Server)
	case scenario.Vanish:
		w.vanishServer(s.Server)
	case scenario.Lose:
		w.discovery.listWrongly(w, s.Servers, piernotch.Gone)
	case scenario.Regain:
		w.discovery.listWrongly(w, s.Servers, piernotch.Ready)
	case scenario.ReportsLater:
		w.reportDelay += s.Length
	case scenario.ListLater:
		w.discovery.noticeDelay += s.Length
	case scenario.Spoil: // the request has run; what comes back is of no use
		w.corruptShare += s.Size
	case scenario.OutageBegins, scenario.OutageEnds:
		w.discovery.outage(w, s.Do == scenario.OutageBegins)
	}
}

// longestRequest is how long a balancer may hold a request.
func (w *World) longestRequest() time.Duration {
	most := time.Duration(0)
	for _, c := range w.day.Classes {
		most = max(most, time.Duration(float64(c.Deadline)*w.day.Clients.TryShare))
	}
	return most + w.day.Rules.Slack
}

// slowServer multiplies a server's slow spells, which may overlap.
func (w *World) slowServer(s int, times float64) {
	m := &w.servers[s]
	m.slowFactor *= times
	m.SetSlow(w.now, m.slowFactor)
	w.scheduleServer(s)
}

func (w *World) drainServer(s int) {
	m := &w.servers[s]
	if m.State() != servermodel.Up {
		return
	}
	m.Drain(w.now)
	w.discovery.serverChanged(w, s, piernotch.Draining, w.day.Discovery.Notice)
}

// endServer ends a server's process: by plan after a drain, else as a crash.
func (w *World) endServer(s int) {
	m := &w.servers[s]
	if m.State() == servermodel.Silent || m.State() == servermodel.Down {
		return
	}
	w.serverCompleted(int32(s), m.Crash(w.now))
	w.dropConnections(s)
	w.discovery.serverChanged(w, s, piernotch.Gone, w.day.Discovery.Notice)
}

func (w *World) vanishServer(s int) {
	m := &w.servers[s]
	for _, d := range m.Vanish(w.now) {
		if a := w.attempts.Get(d.ID); a != nil {
			w.counters.exit(w, a)
			a.held = false
			w.releaseAttempt(d.ID, a)
		}
	}
	w.discovery.serverChanged(w, s, piernotch.Gone, w.day.Discovery.Silent)
}

func (w *World) startServer(s int) {
	m := &w.servers[s]
	if m.State() == servermodel.Collapsed { // it stays down
		return
	}
	w.serverCompleted(int32(s), m.Start(w.now))
	w.dropConnections(s)
	w.discovery.serverChanged(w, s, piernotch.Ready, w.day.Discovery.Add)
}

// scheduleJoin plans a new machine, like another one of the day's first.
func (w *World) scheduleJoin(like, number int, at time.Duration) {
	s, err := w.addServer(w.day.Like(like, number))
	if err != nil {
		w.err = err
		return
	}
	m := &w.servers[s]
	m.Crash(0)
	w.discovery.entries = append(w.discovery.entries, listEntry{state: piernotch.Gone})
	w.schedule(at, func() { w.startServer(s) })
}
