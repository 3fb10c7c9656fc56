package emulator

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"piernotch"
	"piernotch/internal/lab/scenario"
)

// Fleet is the stand-in feed servers of a day and their discovery. Its methods may be called from any
// goroutine, but Play and Close.
type Fleet struct {
	realization *scenario.Realization
	clock       Clock
	observer    Observer
	servers     []*server // those that join later included
	discovery   *Discovery
	steps       []scheduledStep
	timers      []*time.Timer // of the steps, once they are played

	loadReportDelay atomic.Int64 // ns
	malformedShare  atomic.Int64 // of answers, in millionths

	mu  sync.Mutex
	err error // the first one
}

// Options say for whom a fleet is. All but Notified are required.
type Options struct {
	Balancers int // discovery has an address for each
	Clock     Clock
	Observer  Observer
	Notified  EndpointNotified // may be nil
}

// New creates the servers of a day and opens them and discovery. Nothing goes wrong until Play. The caller
// calls Close.
func New(realization *scenario.Realization, opts Options) (*Fleet, error) {
	f := &Fleet{realization: realization, clock: opts.Clock, observer: opts.Observer}
	for _, spec := range realization.Servers {
		if _, err := f.add(spec); err != nil {
			return nil, err
		}
	}
	f.scheduleSteps()
	if err := f.open(opts); err != nil {
		f.Close()
		return nil, err
	}
	for i := range realization.Servers {
		f.discovery.publish(i, piernotch.Ready, 0)
	}
	return f, nil
}

// open opens the servers that are there from the beginning, and discovery.
func (f *Fleet) open(opts Options) error {
	for _, s := range f.servers[:len(f.realization.Servers)] {
		if err := s.open(); err != nil {
			return err
		}
	}
	var err error
	f.discovery, err = newDiscovery(f, opts)
	return err
}

// add creates a server that is not open.
func (f *Fleet) add(spec scenario.Server) (*server, error) {
	n := len(f.servers)
	s, err := newServer(f, n, spec, f.realization.Seed<<16^uint64(n)+1)
	if err == nil {
		f.servers = append(f.servers, s)
	}
	return s, err
}

func (f *Fleet) malformedProbability() float64 { return float64(f.malformedShare.Load()) / 1e6 }

func (f *Fleet) reportDelay() time.Duration { return time.Duration(f.loadReportDelay.Load()) }

// meanWork returns the mean work of a request of a class, ms. The class may be followed by a path.
func (f *Fleet) meanWork(class string) float64 {
	class, _, _ = strings.Cut(class, "/")
	for i := range f.realization.Classes {
		if f.realization.Classes[i].Name == class {
			return f.realization.Classes[i].MeanWork
		}
	}
	return f.realization.MeanWork()
}

// Discovery returns the stand-in for discovery.
func (f *Fleet) Discovery() *Discovery { return f.discovery }

// Servers returns the number of servers, those that join later included.
func (f *Fleet) Servers() int { return len(f.servers) }

// Spec returns what a server was made of.
func (f *Fleet) Spec(i int) scenario.Server { return f.servers[i].spec }

// Overloaded returns the number of servers that were overloaded at some time.
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

// Err returns the first error of the servers since New: one could not be opened again.
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

// Close ends all servers and discovery.
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
