package simulation

import (
	"time"

	"piernotch"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// plays writes the day's troubles into the script.
func (w *World) plays() {
	for _, s := range w.day.Steps() {
		if s.Do == scenario.Join || s.Do == scenario.Takeover { // the machine is there from the beginning
			w.joins(s.Server, s.Number, s.At)
			continue
		}
		w.at(s.At, func() { w.step(&s) })
	}
	for i := range w.day.Troubles {
		in := &w.day.Troubles[i]
		if in.Kind == "roster_move" { // to the balancers it is an outage that is over at once
			w.at(in.At, func() { w.disc.outage(w, true) })
			w.at(in.At+time.Millisecond, func() { w.disc.outage(w, false) })
		}
		for n, b := range in.Balancers {
			switch in.Kind {
			case "balancer_crash":
				w.at(in.At, func() { w.killInstance(b) })
				w.at(in.At+w.day.Front, func() { w.admit(b, w.insts[b].up) })
				w.at(in.End(), func() { w.startInstance(b, false) })
			case "balancer_restart":
				// The front knows of it, and what is held is answered first.
				at := in.At + in.Every*time.Duration(n)
				w.at(at, func() { w.admit(b, false) })
				w.at(at+w.longest(), func() { w.killInstance(b) })
				w.at(at+w.longest()+in.For, func() { w.startInstance(b, false) })
			}
		}
	}
}

// step does one thing to servers or discovery.
func (w *World) step(s *scenario.Step) {
	switch s.Do {
	case scenario.Slow:
		w.slow(s.Server, s.Size)
	case scenario.Pauses:
		w.servers[s.Server].SetPauses(w.now, s.Every, s.Length)
		w.schedule(s.Server)
	case scenario.Choke:
		w.servers[s.Server].SetChoked(w.now)
		w.servers[s.Server].choked = true
		w.schedule(s.Server)
	case scenario.Drain:
		w.drain(s.Server)
	case scenario.End:
		w.endServer(s.Server)
	case scenario.Start:
		w.startServer(s.Server)
	case scenario.Vanish:
		w.vanish(s.Server)
	case scenario.Lose:
		w.disc.mistake(w, s.Servers, piernotch.Gone)
	case scenario.Regain:
		w.disc.mistake(w, s.Servers, piernotch.Ready)
	case scenario.ReportsLater:
		w.late += s.Length
	case scenario.ListLater:
		w.disc.late += s.Length
	case scenario.Spoil: // the request has run; what comes back is of no use
		w.spoilt += s.Size
	case scenario.OutageBegins, scenario.OutageEnds:
		w.disc.outage(w, s.Do == scenario.OutageBegins)
	}
}

// longest is how long a balancer may hold a request.
func (w *World) longest() time.Duration {
	most := time.Duration(0)
	for _, c := range w.day.Classes {
		most = max(most, time.Duration(float64(c.Deadline)*w.day.Clients.TryShare))
	}
	return most + w.day.Rules.Slack
}

// slow multiplies a server's slow spells, which may overlap.
func (w *World) slow(s int, times float64) {
	m := &w.servers[s]
	m.slow *= times
	m.SetSlow(w.now, m.slow)
	w.schedule(s)
}

func (w *World) drain(s int) {
	m := &w.servers[s]
	if m.State() != servermodel.Up {
		return
	}
	m.Drain(w.now)
	w.disc.truth(w, s, piernotch.Draining, w.day.Discovery.Notice)
}

// endServer ends a server's process: by plan after a drain, else as a crash.
func (w *World) endServer(s int) {
	m := &w.servers[s]
	if m.State() == servermodel.Silent || m.State() == servermodel.Down {
		return
	}
	w.ended(int32(s), m.Crash(w.now))
	w.dropConns(s)
	w.disc.truth(w, s, piernotch.Gone, w.day.Discovery.Notice)
}

func (w *World) vanish(s int) {
	m := &w.servers[s]
	for _, d := range m.Vanish(w.now) {
		if a := w.attempts.Get(d.ID); a != nil {
			w.meter.exit(w, a)
			a.holds = false
			w.releaseAttempt(d.ID, a)
		}
	}
	w.disc.truth(w, s, piernotch.Gone, w.day.Discovery.Silent)
}

func (w *World) startServer(s int) {
	m := &w.servers[s]
	if m.State() == servermodel.Collapsed { // it stays down
		return
	}
	w.ended(int32(s), m.Start(w.now))
	w.dropConns(s)
	w.disc.truth(w, s, piernotch.Ready, w.day.Discovery.Add)
}

// joins plans a new machine, like another one of the day's first.
func (w *World) joins(like, number int, at time.Duration) {
	s, err := w.addServer(w.day.Like(like, number))
	if err != nil {
		w.err = err
		return
	}
	m := &w.servers[s]
	m.Crash(0)
	w.disc.listed = append(w.disc.listed, listed{state: piernotch.Gone})
	w.at(at, func() { w.startServer(s) })
}
