package model

import (
	"time"

	"piernotch"
	"piernotch/internal/fleet"
)

// plays writes the day's troubles into the script.
func (w *World) plays() {
	for i := range w.day.Troubles {
		in := &w.day.Troubles[i]
		// The n-th of many goes when its share of the time is over.
		step := func(n, of int) time.Duration { return in.At + in.For*time.Duration(n)/time.Duration(max(of, 1)) }
		switch in.Kind {
		case "slow":
			for _, s := range in.Servers {
				w.at(in.At, func() { w.slow(s, in.Size) })
				w.at(in.End(), func() { w.slow(s, 1/in.Size) })
			}
		case "pauses":
			for _, s := range in.Servers {
				length := time.Duration(in.Size * float64(time.Millisecond))
				w.at(in.At, func() { w.servers[s].SetPauses(w.now, in.Every, length); w.schedule(s) })
				w.at(in.End(), func() { w.servers[s].SetPauses(w.now, 0, 0); w.schedule(s) })
			}
		case "report_late":
			late := time.Duration(in.Size * float64(time.Second))
			w.at(in.At, func() { w.late += late })
			w.at(in.End(), func() { w.late -= late })
		case "shrink", "leave":
			for n, s := range in.Servers {
				w.at(step(n, len(in.Servers)), func() { w.drain(s) })
				w.at(step(n, len(in.Servers))+in.Ramp, func() { w.endServer(s) })
			}
		case "join":
			for n, like := range in.Servers {
				w.joins(like, n+1000*(in.Number+1), step(n, len(in.Servers)))
			}
		case "replace":
			for n, s := range in.Servers {
				at := step(n, len(in.Servers))
				w.at(at, func() { w.drain(s) })
				w.at(at+in.Ramp, func() { w.endServer(s) })
				w.joins(s, n+1000*(in.Number+1), at)
			}
		case "takeover":
			for n, s := range in.Servers {
				at := step(n, len(in.Servers))
				w.at(at, func() { w.endServer(s) })
				w.joins(s, n+1000*(in.Number+1), at+in.Ramp)
			}
		case "restart":
			for n, s := range in.Servers {
				at := step(n, len(in.Servers))
				w.at(at, func() { w.drain(s) })
				w.at(at+in.Ramp, func() { w.endServer(s) })
				w.at(at+in.Ramp+restartTakes, func() { w.startServer(s) })
			}
		case "crash":
			for _, s := range in.Servers {
				w.at(in.At, func() { w.endServer(s) })
				w.at(in.End(), func() { w.startServer(s) })
			}
		case "vanish":
			for _, s := range in.Servers {
				w.at(in.At, func() { w.vanish(s) })
				w.at(in.End(), func() { w.startServer(s) })
			}
		case "balancer_crash":
			for _, b := range in.Balancers {
				w.at(in.At, func() { w.killInstance(b) })
				w.at(in.At+w.day.Front, func() { w.admit(b, w.insts[b].up) })
				w.at(in.End(), func() { w.startInstance(b, false) })
			}
		case "balancer_restart":
			for n, b := range in.Balancers {
				// The front knows of it, and what is held is answered first.
				at := in.At + in.Every*time.Duration(n)
				w.at(at, func() { w.admit(b, false) })
				w.at(at+w.longest(), func() { w.killInstance(b) })
				w.at(at+w.longest()+in.For, func() { w.startInstance(b, false) })
			}
		case "spoil": // the request has run; what comes back is of no use
			w.at(in.At, func() { w.spoilt += in.Part })
			w.at(in.End(), func() { w.spoilt -= in.Part })
		case "choke":
			for _, s := range in.Servers {
				w.at(in.At, func() {
					w.servers[s].SetChoked(w.now)
					w.servers[s].choked = true
					w.schedule(s)
				})
			}
		case "list_loss":
			w.at(in.At, func() { w.disc.mistake(w, in.Servers, piernotch.Gone) })
			w.at(in.End(), func() { w.disc.mistake(w, in.Servers, piernotch.Ready) })
		case "roster_move": // to the balancers it is an outage that is over at once
			w.at(in.At, func() { w.disc.outage(w, true) })
			w.at(in.At+time.Millisecond, func() { w.disc.outage(w, false) })
		case "discovery_outage":
			w.at(in.At, func() { w.disc.outage(w, true) })
			w.at(in.End(), func() { w.disc.outage(w, false) })
		case "discovery_late":
			late := time.Duration(in.Size * float64(time.Second))
			w.at(in.At, func() { w.disc.late += late })
			w.at(in.End(), func() { w.disc.late -= late })
		}
	}
}

// restartTakes is how long a server's process is away in a restart.
const restartTakes = 500 * time.Millisecond

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
	if m.Life() != fleet.Up {
		return
	}
	m.Drain(w.now)
	w.disc.truth(w, s, piernotch.Draining, w.day.Discovery.Notice)
}

// endServer ends a server's process: by plan after a drain, else as a crash.
func (w *World) endServer(s int) {
	m := &w.servers[s]
	if m.Life() == fleet.Silent || m.Life() == fleet.Down {
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
	if m.Life() == fleet.Fallen { // it stays down
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
