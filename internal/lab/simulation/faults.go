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
		if step.Action == scenario.Join || step.Action == scenario.Takeover { // the server exists from the beginning
			w.scheduleJoin(step.Server, step.Number, step.At)
			continue
		}
		w.schedule(step.At, func() { w.applyStep(&step) })
	}
	for i := range w.realization.Faults {
		fault := &w.realization.Faults[i]
		if fault.Kind == scenario.FaultMoveDiscovery { // to the balancers it is an outage that is over at once
			w.schedule(fault.At, func() { w.discovery.beginOutage(w) })
			w.schedule(fault.At+time.Millisecond, func() { w.discovery.endOutage(w) })
		}
		for position, balancer := range fault.Balancers {
			w.scheduleBalancerFault(fault, position, balancerIndex(balancer))
		}
	}
}

// scheduleBalancerFault schedules what a fault does to the n-th of its balancers.
func (w *World) scheduleBalancerFault(fault *scenario.Fault, position int, balancer balancerIndex) {
	switch fault.Kind {
	case scenario.FaultCrashBalancers:
		w.schedule(fault.At, func() { w.killBalancer(balancer) })
		w.schedule(fault.At+w.realization.FailoverDelay, func() {
			if w.balancers[balancer].up { // its next process has started meanwhile
				w.admit(balancer)
			} else {
				w.stopAdmitting(balancer)
			}
		})
		w.schedule(fault.End(), func() { w.startNextProcess(balancer) })
	case scenario.FaultRestartBalancers:
		// No more clients are sent to it, and what it has gets its responses first.
		at := fault.At + fault.Every*time.Duration(position)
		killedAt := at + w.longestRequest()
		w.schedule(at, func() { w.stopAdmitting(balancer) })
		w.schedule(killedAt, func() { w.killBalancer(balancer) })
		w.schedule(killedAt+fault.For, func() { w.startNextProcess(balancer) })
	}
}

// applyStep does one thing to servers or discovery.
func (w *World) applyStep(step *scenario.Step) {
	switch step.Action {
	case scenario.Slow:
		w.slowServer(serverIndex(step.Server), step.Size)
	case scenario.Pauses:
		w.servers[step.Server].SetPauses(w.now, step.Every, step.Length)
		w.scheduleServer(serverIndex(step.Server))
	case scenario.Overload:
		w.servers[step.Server].SetOverloaded(w.now)
		w.servers[step.Server].everOverloaded = true
		w.scheduleServer(serverIndex(step.Server))
	case scenario.Drain:
		w.drainServer(serverIndex(step.Server))
	case scenario.Exit:
		w.endServer(serverIndex(step.Server))
	case scenario.Start:
		w.startServer(serverIndex(step.Server))
	case scenario.Vanish:
		w.vanishServer(serverIndex(step.Server))
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
	case scenario.DiscoveryDown:
		w.discovery.beginOutage(w)
	case scenario.DiscoveryUp:
		w.discovery.endOutage(w)
	}
}

// longestRequest is how long a balancer may hold a request.
func (w *World) longestRequest() time.Duration {
	longest := time.Duration(0)
	for _, class := range w.realization.Classes {
		longest = max(longest, time.Duration(float64(class.Deadline)*w.realization.Clients.AttemptTimeoutShare))
	}
	return longest + w.realization.Rules.ResponseSlack
}

// slowServer multiplies a server's slowness; faults of this kind may overlap.
func (w *World) slowServer(index serverIndex, factor float64) {
	server := &w.servers[index]
	server.slowFactor *= factor
	server.SetSlow(w.now, server.slowFactor)
	w.scheduleServer(index)
}

// drainServer begins a server's graceful shutdown.
func (w *World) drainServer(index serverIndex) {
	server := &w.servers[index]
	if server.State() != servermodel.Up {
		return
	}
	server.Drain(w.now)
	w.discovery.serverChanged(w, index, piernotch.Draining, w.realization.Discovery.RemovalDelay)
}

// endServer ends a server's process: as planned after a drain, else as a crash.
func (w *World) endServer(index serverIndex) {
	server := &w.servers[index]
	if server.State() == servermodel.Silent || server.State() == servermodel.Down {
		return
	}
	w.serverCompleted(index, server.Crash(w.now))
	w.dropConnections(index)
	w.discovery.serverChanged(w, index, piernotch.Gone, w.realization.Discovery.RemovalDelay)
}

// vanishServer cuts a server off: nobody is notified of what becomes of its requests.
func (w *World) vanishServer(index serverIndex) {
	for _, lost := range w.servers[index].Vanish(w.now) {
		if attempt := w.attempts.Get(lost.ID); attempt != nil {
			w.counters.exit(w, attempt)
			attempt.atServer = false
			w.releaseAttempt(lost.ID, attempt)
		}
	}
	w.discovery.serverChanged(w, index, piernotch.Gone, w.realization.Discovery.FailureDetectionDelay)
}

// startServer starts a server's process, in slow start. A collapsed one stays down.
func (w *World) startServer(index serverIndex) {
	server := &w.servers[index]
	if server.State() == servermodel.Collapsed {
		return
	}
	w.serverCompleted(index, server.Start(w.now))
	w.dropConnections(index)
	w.discovery.serverChanged(w, index, piernotch.Ready, w.realization.Discovery.AddDelay)
}

// scheduleJoin adds a new server that starts later, like one of those at the start of the run.
func (w *World) scheduleJoin(like, number int, at time.Duration) {
	index, err := w.addServer(w.realization.Like(like, number))
	if err != nil {
		w.err = err
		return
	}
	w.servers[index].Crash(0)
	w.discovery.entries = append(w.discovery.entries, listEntry{state: piernotch.Gone})
	w.schedule(at, func() { w.startServer(index) })
}
