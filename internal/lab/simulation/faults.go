package simulation

import (
	"time"

	"piernotch"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// scheduleFaults writes the scenario's faults into the script.
func (w *World) scheduleFaults() {
	for _, step := range w.realization.Steps() {
		if step.Action == scenario.Join || step.Action == scenario.Takeover { // the machine exists from the beginning
			w.scheduleJoin(step.Server, step.Number, step.At)
			continue
		}
		w.schedule(step.At, func() { w.applyStep(&step) })
	}
	for i := range w.realization.Faults {
		fault := &w.realization.Faults[i]
		if fault.Kind == "roster_move" { // to the balancers it is an outage that is over at once
			w.schedule(fault.At, func() { w.discovery.outage(w, true) })
			w.schedule(fault.At+time.Millisecond, func() { w.discovery.outage(w, false) })
		}
		for n, balancer := range fault.Balancers {
			w.scheduleBalancerFault(fault, n, balancer)
		}
	}
}

// scheduleBalancerFault schedules what a fault does to the n-th of its balancers.
func (w *World) scheduleBalancerFault(fault *scenario.Fault, n, balancer int) {
	switch fault.Kind {
	case "balancer_crash":
		w.schedule(fault.At, func() { w.killBalancer(balancer) })
		w.schedule(fault.At+w.realization.FailoverDelay, func() { w.admit(balancer, w.balancers[balancer].up) })
		w.schedule(fault.End(), func() { w.startBalancer(balancer, false) })
	case "balancer_restart":
		// No more clients are sent to it, and what it has is answered first.
		at := fault.At + fault.Every*time.Duration(n)
		killedAt := at + w.longestRequest()
		w.schedule(at, func() { w.admit(balancer, false) })
		w.schedule(killedAt, func() { w.killBalancer(balancer) })
		w.schedule(killedAt+fault.For, func() { w.startBalancer(balancer, false) })
	}
}

// applyStep does one thing to servers or discovery.
func (w *World) applyStep(step *scenario.Step) {
	switch step.Action {
	case scenario.Slow:
		w.slowServer(step.Server, step.Size)
	case scenario.Pauses:
		w.servers[step.Server].SetPauses(w.now, step.Every, step.Length)
		w.scheduleServer(step.Server)
	case scenario.Overload:
		w.servers[step.Server].SetOverloaded(w.now)
		w.servers[step.Server].everOverloaded = true
		w.scheduleServer(step.Server)
	case scenario.Drain:
		w.drainServer(step.Server)
	case scenario.Exit:
		w.endServer(step.Server)
	case scenario.Start:
		w.startServer(step.Server)
	case scenario.Vanish:
		w.vanishServer(step.Server)
	case scenario.DelistServers:
		w.discovery.listWrongly(w, step.Servers, piernotch.Gone)
	case scenario.RelistServers:
		w.discovery.listWrongly(w, step.Servers, piernotch.Ready)
	case scenario.DelayReports:
		w.reportDelay += step.Length
	case scenario.DelayDiscovery:
		w.discovery.noticeDelay += step.Length
	case scenario.CorruptResponses: // the request was executed; its response is of no use
		w.corruptShare += step.Size
	case scenario.DiscoveryDown, scenario.DiscoveryUp:
		w.discovery.outage(w, step.Action == scenario.DiscoveryDown)
	}
}

// longestRequest is how long a balancer may hold a request.
func (w *World) longestRequest() time.Duration {
	longest := time.Duration(0)
	for _, c := range w.realization.Classes {
		longest = max(longest, time.Duration(float64(c.Deadline)*w.realization.Clients.AttemptTimeoutShare))
	}
	return longest + w.realization.Rules.ResponseSlack
}

// slowServer multiplies a server's slowness; faults of this kind may overlap.
func (w *World) slowServer(s int, factor float64) {
	server := &w.servers[s]
	server.slowFactor *= factor
	server.SetSlow(w.now, server.slowFactor)
	w.scheduleServer(s)
}

// drainServer begins a server's graceful shutdown.
func (w *World) drainServer(s int) {
	server := &w.servers[s]
	if server.State() != servermodel.Up {
		return
	}
	server.Drain(w.now)
	w.discovery.serverChanged(w, s, piernotch.Draining, w.realization.Discovery.RemovalDelay)
}

// endServer ends a server's process: as planned after a drain, else as a crash.
func (w *World) endServer(s int) {
	server := &w.servers[s]
	if server.State() == servermodel.Silent || server.State() == servermodel.Down {
		return
	}
	w.serverCompleted(int32(s), server.Crash(w.now))
	w.dropConnections(s)
	w.discovery.serverChanged(w, s, piernotch.Gone, w.realization.Discovery.RemovalDelay)
}

// vanishServer cuts a server off: nobody is notified of what becomes of its requests.
func (w *World) vanishServer(s int) {
	for _, c := range w.servers[s].Vanish(w.now) {
		if a := w.attempts.Get(c.ID); a != nil {
			w.counters.exit(w, a)
			a.held = false
			w.releaseAttempt(c.ID, a)
		}
	}
	w.discovery.serverChanged(w, s, piernotch.Gone, w.realization.Discovery.FailureDetectionDelay)
}

// startServer starts a server's process, in slow start. A collapsed one stays down.
func (w *World) startServer(s int) {
	server := &w.servers[s]
	if server.State() == servermodel.Collapsed {
		return
	}
	w.serverCompleted(int32(s), server.Start(w.now))
	w.dropConnections(s)
	w.discovery.serverChanged(w, s, piernotch.Ready, w.realization.Discovery.AddDelay)
}

// scheduleJoin adds a new machine, like another one of the scenario's first, that starts later.
func (w *World) scheduleJoin(like, number int, at time.Duration) {
	s, err := w.addServer(w.realization.Like(like, number))
	if err != nil {
		w.err = err
		return
	}
	w.servers[s].Crash(0)
	w.discovery.entries = append(w.discovery.entries, listEntry{state: piernotch.Gone})
	w.schedule(at, func() { w.startServer(s) })
}
