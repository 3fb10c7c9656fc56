package emulator

import (
	"context"
	"fmt"
	"time"

	"piernotch"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

type scheduledStep struct {
	at time.Duration // time of the run
	do func()
}

// Play runs the steps of the scenario at their times, until the context ends or the fleet is closed. It is
// called once, when the run begins, and returns at once; the steps run on timers.
func (f *Fleet) Play(ctx context.Context) {
	for _, step := range f.steps {
		f.timers = append(f.timers, time.AfterFunc(max(step.at-f.clock(), 0), func() {
			if ctx.Err() == nil {
				step.do()
			}
		}))
	}
}

func (f *Fleet) schedule(at time.Duration, do func()) {
	f.steps = append(f.steps, scheduledStep{at, do})
}

// scheduleSteps schedules the same steps as the simulation, and creates the servers that join later.
func (f *Fleet) scheduleSteps() {
	for _, step := range f.realization.Steps() {
		if step.Action == scenario.Join || step.Action == scenario.Takeover {
			f.scheduleJoin(&step)
			continue
		}
		f.schedule(step.At, func() { f.playStep(&step) })
	}
}

// playStep performs any step but Join and Takeover. Steps on one server go to playServerStep.
func (f *Fleet) playStep(step *scenario.Step) {
	switch step.Action {
	case scenario.DelistServers:
		f.misreport(step.Servers, piernotch.Gone)
	case scenario.RelistServers:
		f.misreport(step.Servers, piernotch.Ready)
	case scenario.DelayReports:
		f.loadReportDelay.Add(int64(step.Length))
	case scenario.DelayDiscovery:
		f.discovery.extraDelay.Add(int64(step.Length))
	case scenario.CorruptResponses:
		f.malformedShare.Add(int64(step.Size * shareUnit))
	case scenario.RepeatResponses:
		f.repeats.Store(&responseRepeats{share: step.Size, maxDelay: step.Length})
	case scenario.DiscoveryDown, scenario.DiscoveryUp:
		f.discovery.setOutage(step.Action == scenario.DiscoveryDown)
	default:
		f.playServerStep(step, f.servers[step.Server])
	}
}

// playServerStep performs a step on one server. It ignores unknown actions.
func (f *Fleet) playServerStep(step *scenario.Step, server *server) {
	switch step.Action {
	case scenario.Slow:
		f.slow(server, step.Size)
	case scenario.Pauses:
		server.withModel(
			func(model *servermodel.Server, now time.Duration) { model.SetPauses(now, step.Every, step.Length) },
		)
	case scenario.Overload:
		server.withModel(func(model *servermodel.Server, now time.Duration) {
			model.SetOverloaded(now)
			server.overloaded = true
		})
	case scenario.Drain:
		f.drain(server)
	case scenario.Exit:
		f.end(server)
	case scenario.Start:
		f.start(server)
	case scenario.Vanish:
		server.silence()
		f.discovery.publishAfter(server.number, piernotch.Gone, f.realization.Discovery.FailureDetectionDelay)
	}
}

// slow makes a server slower by a factor. The factors of overlapping slowdowns multiply.
func (f *Fleet) slow(server *server, factor float64) {
	server.withModel(func(model *servermodel.Server, now time.Duration) {
		server.slowdown *= factor
		model.SetSlow(now, server.slowdown)
	})
}

// drain starts to drain a server and, if the server was up, schedules its listing as Draining.
func (f *Fleet) drain(server *server) {
	up := false
	server.withModel(func(model *servermodel.Server, now time.Duration) {
		up = model.State() == servermodel.Up
		model.Drain(now)
	})
	if up {
		f.discovery.publishAfter(server.number, piernotch.Draining, f.realization.Discovery.RemovalDelay)
	}
}

// misreport lists servers in a given state at once: Gone by mistake, or Ready to correct that. It skips servers
// that are not up.
func (f *Fleet) misreport(servers []int, state piernotch.State) {
	for _, number := range servers {
		server := f.servers[number]
		server.mu.Lock()
		up := server.model.State() == servermodel.Up
		startedAt := server.model.Started()
		server.mu.Unlock()
		if up {
			f.discovery.publish(number, state, startedAt)
		}
	}
}

// end ends a server's process and schedules its listing as Gone.
func (f *Fleet) end(server *server) {
	server.crash()
	f.discovery.publishAfter(server.number, piernotch.Gone, f.realization.Discovery.RemovalDelay)
}

// start starts a server's process and schedules its listing as Ready. An error goes to Err.
func (f *Fleet) start(server *server) {
	if err := server.start(); err != nil {
		f.recordError(err)
		return
	}
	f.discovery.publishAfter(server.number, piernotch.Ready, f.realization.Discovery.AddDelay)
}

// scheduleJoin creates a server with the spec of step.Server and schedules its start. In a Takeover, the new
// server gets the address of step.Server.
func (f *Fleet) scheduleJoin(step *scenario.Step) {
	joining, err := f.add(f.realization.Like(step.Server, step.Number))
	if err != nil {
		f.recordError(fmt.Errorf("a server that joins: %w", err))
		return
	}
	joining.model.Crash(0) // down until the step
	f.schedule(step.At, func() {
		if step.Action == scenario.Takeover {
			address := f.servers[step.Server].currentAddress()
			joining.mu.Lock()
			joining.address = address
			joining.mu.Unlock()
		}
		f.start(joining)
	})
}
