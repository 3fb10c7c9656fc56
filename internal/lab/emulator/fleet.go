package emulator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"piernotch"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// Fleet is the stand-in feed servers of a day and their roster.
type Fleet struct {
	day             *scenario.Day
	clock           Clock
	observer        Observer
	servers         []*server
	discovery       *Discovery
	loadReportDelay atomic.Int64 // of load reports, ns
	malformedShare  atomic.Int64 // share of answers that come spoilt, in millionths
	steps           []scheduledStep
	timers          []*time.Timer
	mu              sync.Mutex
	err             error
}

type scheduledStep struct {
	at time.Duration
	do func()
}

// New makes the servers of a day and opens them; the roster has an address for each of
// so many balancers. Nothing goes wrong until Play.
func New(day *scenario.Day, balancers int, clock Clock, watch Observer, told EndpointNotified) (*Fleet, error) {
	f := &Fleet{day: day, clock: clock, observer: watch}
	for i := range day.Servers {
		if _, err := f.add(day.Servers[i]); err != nil {
			return nil, err
		}
	}
	f.scheduleSteps()
	for _, s := range f.servers[:len(day.Servers)] {
		if err := s.open(); err != nil {
			f.Close()
			return nil, err
		}
	}
	var err error
	if f.discovery, err = newDiscovery(f, balancers, told); err != nil {
		f.Close()
		return nil, err
	}
	for i := range day.Servers {
		f.discovery.publish(i, piernotch.Ready, 0)
	}
	return f, nil
}

func (f *Fleet) add(spec scenario.Server) (*server, error) {
	n := len(f.servers)
	s, err := newServer(f, n, spec, f.day.Seed<<16^uint64(n)+1)
	if err == nil {
		f.servers = append(f.servers, s)
	}
	return s, err
}

func (f *Fleet) malformedProbability() float64 { return float64(f.malformedShare.Load()) / 1e6 }

func (f *Fleet) reportDelay() time.Duration { return time.Duration(f.loadReportDelay.Load()) }

// meanWork is what a request of a class takes on the mean, ms.
func (f *Fleet) meanWork(class string) float64 {
	class, _, _ = strings.Cut(class, "/")
	for i := range f.day.Classes {
		if f.day.Classes[i].Name == class {
			return f.day.Classes[i].MeanWork
		}
	}
	return f.day.MeanWork()
}

// Discovery is the list of the servers.
func (f *Fleet) Discovery() *Discovery { return f.discovery }

// Servers is how many there are, those that join later included.
func (f *Fleet) Servers() int { return len(f.servers) }

// Spec tells what a server was made of.
func (f *Fleet) Spec(i int) scenario.Server { return f.servers[i].spec }

// Overloaded is how many servers choked at some time.
func (f *Fleet) Overloaded() int {
	n := 0
	for _, s := range f.servers {
		s.mu.Lock()
		if s.overloaded {
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// Err is the first thing that the stand-ins could not do.
func (f *Fleet) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

func (f *Fleet) recordError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
	}
}

// Play has the day's troubles happen at their times, until the context ends.
func (f *Fleet) Play(ctx context.Context) {
	for _, s := range f.steps {
		f.timers = append(f.timers, time.AfterFunc(max(s.at-f.clock(), 0), func() {
			if ctx.Err() == nil {
				s.do()
			}
		}))
	}
}

// Close ends all servers and the roster.
func (f *Fleet) Close() {
	for _, t := range f.timers {
		t.Stop()
	}
	for _, s := range f.servers {
		s.crash()
		s.timer.Stop()
	}
	if f.discovery != nil {
		f.discovery.close()
	}
}

func (f *Fleet) schedule(t time.Duration, do func()) { f.steps = append(f.steps, scheduledStep{t, do}) }

// scheduleSteps writes the script: what the model does to its servers, done to these.
func (f *Fleet) scheduleSteps() {
	for _, s := range f.day.Steps() {
		if s.Do == scenario.Join || s.Do == scenario.Takeover {
			f.scheduleJoin(s.Server, s.Number, s.At, s.Do == scenario.Takeover)
			continue
		}
		f.schedule(s.At, func() { f.playStep(&s) })
	}
}

// playStep does one thing to servers or roster.
func (f *Fleet) playStep(s *scenario.Step) {
	var at *server
	if s.Server < len(f.servers) { // what is done to discovery alone names none
		at = f.servers[s.Server]
	}
	switch s.Do {
	case scenario.Slow:
		f.slow(at, s.Size)
	case scenario.Pauses:
		at.withModel(func(p *servermodel.Server, now time.Duration) { p.SetPauses(now, s.Every, s.Length) })
	case scenario.Choke:
		at.withModel(func(p *servermodel.Server, now time.Duration) {
			p.SetChoked(now)
			at.overloaded = true
		})
	case scenario.Drain:
		f.drain(at)
	case scenario.End:
		f.end(at)
	case scenario.Start:
		f.start(at)
	case scenario.Vanish:
		at.silence()
		f.discovery.publishAfter(at.number, piernotch.Gone, f.day.Discovery.Silent)
	case scenario.Lose:
		f.misreport(s.Servers, piernotch.Gone)
	case scenario.Regain:
		f.misreport(s.Servers, piernotch.Ready)
	case scenario.ReportsLater:
		f.loadReportDelay.Add(int64(s.Length))
	case scenario.ListLater:
		f.discovery.extraDelay.Add(int64(s.Length))
	case scenario.Spoil:
		f.malformedShare.Add(int64(s.Size * 1e6))
	case scenario.OutageBegins, scenario.OutageEnds:
		f.discovery.setOutage(s.Do == scenario.OutageBegins)
	}
}

func (f *Fleet) slow(s *server, times float64) {
	s.withModel(func(p *servermodel.Server, now time.Duration) {
		s.slow *= times
		p.SetSlow(now, s.slow)
	})
}

func (f *Fleet) drain(s *server) {
	up := false
	s.withModel(func(p *servermodel.Server, now time.Duration) {
		up = p.State() == servermodel.Up
		p.Drain(now)
	})
	if up {
		f.discovery.publishAfter(s.number, piernotch.Draining, f.day.Discovery.Notice)
	}
}

// misreport lists servers as gone that are not, or as ready again.
func (f *Fleet) misreport(servers []int, state piernotch.State) {
	for _, n := range servers {
		s := f.servers[n]
		s.mu.Lock()
		up, born := s.model.State() == servermodel.Up, s.model.Started()
		s.mu.Unlock()
		if up {
			f.discovery.publish(n, state, born)
		}
	}
}

func (f *Fleet) end(s *server) {
	s.crash()
	f.discovery.publishAfter(s.number, piernotch.Gone, f.day.Discovery.Notice)
}

func (f *Fleet) start(s *server) {
	if err := s.start(); err != nil {
		f.recordError(err)
		return
	}
	f.discovery.publishAfter(s.number, piernotch.Ready, f.day.Discovery.Add)
}

// scheduleJoin plans a new machine like another one; with takeover at that one's address.
func (f *Fleet) scheduleJoin(like, number int, at time.Duration, takeover bool) {
	s, err := f.add(f.day.Like(like, number))
	if err != nil {
		f.recordError(fmt.Errorf("a server that joins: %w", err))
		return
	}
	s.model.Crash(0)
	f.schedule(at, func() {
		if takeover {
			old := f.servers[like]
			old.mu.Lock()
			address := old.address
			old.mu.Unlock()
			s.mu.Lock()
			s.address = address
			s.mu.Unlock()
		}
		f.start(s)
	})
}
