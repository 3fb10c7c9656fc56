package emulator

import (
	"context"
	"fmt"
	"time"

	"piernotch"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// scheduledStep is one thing that happens at a time of the day.
type scheduledStep struct {
	at time.Duration
	do func()
}

// Play has the day's incidents happen at their times, until the context ends or the fleet is closed. It is
// called once, when the day begins, and returns at once; the steps run on timers.
func (f *Fleet) Play(ctx context.Context) {
	for _, s := range f.steps {
		f.timers = append(f.timers, time.AfterFunc(max(s.at-f.clock(), 0), func() {
			if ctx.Err() == nil {
				s.do()
			}
		}))
	}
}

func (f *Fleet) schedule(at time.Duration, do func()) {
	f.steps = append(f.steps, scheduledStep{at, do})
}

// scheduleSteps schedules what the simulation does to its servers, for these.
func (f *Fleet) scheduleSteps() {
	for _, s := range f.realization.Steps() {
		if s.Action == scenario.Join || s.Action == scenario.Takeover {
			f.scheduleJoin(&s)
			continue
		}
		f.schedule(s.At, func() { f.playStep(&s) })
	}
}

// playStep does one thing to servers or discovery.
func (f *Fleet) playStep(s *scenario.Step) {
	switch s.Action {
	case scenario.DelistServers:
		f.misreport(s.Servers, piernotch.Gone)
	case scenario.RelistServers:
		f.misreport(s.Servers, piernotch.Ready)
	case scenario.DelayReports:
		f.loadReportDelay.Add(int64(s.Length))
	case scenario.DelayDiscovery:
		f.discovery.extraDelay.Add(int64(s.Length))
	case scenario.CorruptResponses:
		f.malformedShare.Add(int64(s.Size * 1e6))
	case scenario.DiscoveryDown, scenario.DiscoveryUp:
		f.discovery.setOutage(s.Action == scenario.DiscoveryDown)
	default:
		f.playServerStep(s, f.servers[s.Server])
	}
}

// playServerStep does one thing to one server.
func (f *Fleet) playServerStep(step *scenario.Step, s *server) {
	switch step.Action {
	case scenario.Slow:
		f.slow(s, step.Size)
	case scenario.Pauses:
		s.withModel(func(m *servermodel.Server, now time.Duration) { m.SetPauses(now, step.Every, step.Length) })
	case scenario.Overload:
		s.withModel(func(m *servermodel.Server, now time.Duration) {
			m.SetOverloaded(now)
			s.overloaded = true
		})
	case scenario.Drain:
		f.drain(s)
	case scenario.Exit:
		f.end(s)
	case scenario.Start:
		f.start(s)
	case scenario.Vanish:
		s.silence()
		f.discovery.publishAfter(s.number, piernotch.Gone, f.realization.Discovery.FailureDetectionDelay)
	}
}

// slow makes a server so many times slower, on top of how slow it is.
func (f *Fleet) slow(s *server, times float64) {
	s.withModel(func(m *servermodel.Server, now time.Duration) {
		s.slowdown *= times
		m.SetSlow(now, s.slowdown)
	})
}

// drain has a server shut down gracefully, if it is up.
func (f *Fleet) drain(s *server) {
	up := false
	s.withModel(func(m *servermodel.Server, now time.Duration) {
		up = m.State() == servermodel.Up
		m.Drain(now)
	})
	if up {
		f.discovery.publishAfter(s.number, piernotch.Draining, f.realization.Discovery.RemovalDelay)
	}
}

// misreport lists servers that are up in a state by mistake, or corrects that.
func (f *Fleet) misreport(servers []int, state piernotch.State) {
	for _, n := range servers {
		s := f.servers[n]
		s.mu.Lock()
		up := s.model.State() == servermodel.Up
		startedAt := s.model.Started()
		s.mu.Unlock()
		if up {
			f.discovery.publish(n, state, startedAt)
		}
	}
}

// end ends a server's process.
func (f *Fleet) end(s *server) {
	s.crash()
	f.discovery.publishAfter(s.number, piernotch.Gone, f.realization.Discovery.RemovalDelay)
}

// start starts a server's process.
func (f *Fleet) start(s *server) {
	if err := s.start(); err != nil {
		f.recordError(err)
		return
	}
	f.discovery.publishAfter(s.number, piernotch.Ready, f.realization.Discovery.AddDelay)
}

// scheduleJoin creates a server like another one and schedules its start; a takeover is at the address of
// that one.
func (f *Fleet) scheduleJoin(step *scenario.Step) {
	s, err := f.add(f.realization.Like(step.Server, step.Number))
	if err != nil {
		f.recordError(fmt.Errorf("a server that joins: %w", err))
		return
	}
	s.model.Crash(0) // it is down until then
	f.schedule(step.At, func() {
		if step.Action == scenario.Takeover {
			address := f.servers[step.Server].currentAddress()
			s.mu.Lock()
			s.address = address
			s.mu.Unlock()
		}
		f.start(s)
	})
}
