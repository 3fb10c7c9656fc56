package simulation

import (
	"time"

	"piernotch"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// scheduleFaults adds the scenario's faults to the script, and the servers that join later to the World.
func (w *World) scheduleFaults() {
	for _, step := range w.realization.Steps() {
		// Servers that join later are added now and started by the step.
		if step.Action == scenario.Join || step.Action == scenario.Takeover {
			w.scheduleJoin(step.Server, step.Number, step.At)
			continue
		}
		w.schedule(step.At, func() { w.applyStep(&step) })
	}
	for i := range w.realization.Faults {
		fault := &w.realization.Faults[i]
		if fault.Kind == scenario.FaultMoveDiscovery { // balancers see an outage of 1 ms
			w.schedule(fault.At, func() { w.discovery.beginOutage(w) })
			w.schedule(fault.At+time.Millisecond, func() { w.discovery.endOutage(w) })
		}
		for position, balancer := range fault.Balancers {
			w.scheduleBalancerFault(fault, position, balancerIndex(balancer))
		}
	}
}

// scheduleBalancerFault schedules the effects of a fault on the balancer at a position in fault.Balancers.
func (w *World) scheduleBalancerFault(fault *scenario.Fault, position int, balancer balancerIndex) {
	switch fault.Kind {
	case scenario.FaultCrashBalancers:
		w.schedule(fault.At, func() { w.killBalancer(balancer) })
		w.schedule(fault.At+w.realization.FailoverDelay, func() {
			if w.balancers[balancer].up { // the next process has already started
				w.admit(balancer)
			} else {
				w.stopAdmitting(balancer)
			}
		})
		w.schedule(fault.End(), func() { w.startNextProcess(balancer) })
	case scenario.FaultRestartBalancers:
		// Clients are no longer sent to the balancer, which runs until its requests must have ended.
		at := fault.At + fault.Every*time.Duration(position)
		killedAt := at + w.longestRequest()
		w.schedule(at, func() { w.stopAdmitting(balancer) })
		w.schedule(killedAt, func() { w.killBalancer(balancer) })
		w.schedule(killedAt+fault.For, func() { w.startNextProcess(balancer) })
	}
}

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
	case scenario.CorruptResponses: // servers execute the request but respond with an error
		w.corruptShare += step.Size
	case scenario.DiscoveryDown:
		w.discovery.beginOutage(w)
	case scenario.DiscoveryUp:
		w.discovery.endOutage(w)
	}
}

// longestRequest returns the longest time that a balancer may take for a request.
func (w *World) longestRequest() time.Duration {
	longest := time.Duration(0)
	for _, class := range w.realization.Classes {
		longest = max(longest, time.Duration(float64(class.Deadline)*w.realization.Clients.AttemptTimeoutShare))
	}
	return longest + w.realization.Rules.ResponseSlack
}

// slowServer multiplies a server's slow factor, so that faults of this kind may overlap.
func (w *World) slowServer(index serverIndex, factor float64) {
	server := &w.servers[index]
	server.slowFactor *= factor
	server.SetSlow(w.now, server.slowFactor)
	w.scheduleServer(index)
}

// drainServer begins the graceful shutdown of a server that is up, and notifies discovery.
func (w *World) drainServer(index serverIndex) {
	server := &w.servers[index]
	if server.State() != servermodel.Up {
		return
	}
	server.Drain(w.now)
	w.discovery.serverChanged(w, index, piernotch.Draining, w.realization.Discovery.RemovalDelay)
}

// endServer ends a server's process: an orderly exit after a drain, otherwise a crash. Servers that are silent
// or down stay so.
func (w *World) endServer(index serverIndex) {
	server := &w.servers[index]
	if server.State() == servermodel.Silent || server.State() == servermodel.Down {
		return
	}
	w.serverCompleted(index, server.Crash(w.now))
	w.dropConnections(index)
	w.discovery.serverChanged(w, index, piernotch.Gone, w.realization.Discovery.RemovalDelay)
}

// vanishServer makes a server silent: its attempts end by a timeout (at the dial timeout on a new connection), and
// discovery learns of the failure late.
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

// startServer starts a server's process, in slow start, and notifies discovery. A collapsed server stays collapsed.
func (w *World) startServer(index serverIndex) {
	server := &w.servers[index]
	if server.State() == servermodel.Collapsed {
		return
	}
	w.serverCompleted(index, server.Start(w.now))
	w.dropConnections(index)
	w.discovery.serverChanged(w, index, piernotch.Ready, w.realization.Discovery.AddDelay)
}

// scheduleJoin adds a server like one of the initial servers, but down until the given time.
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
