package emulator

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"piernotch"
	"piernotch/internal/lab/scenario"
)

// shareUnit is what a share of 1 is as a whole number: shares are kept in millionths.
const shareUnit = 1e6

// Fleet is the stand-in servers of a run and their discovery. Its methods may be called from any
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
	malformedShare  atomic.Int64 // of responses, in units of 1/shareUnit
	repeats         atomic.Pointer[responseRepeats]

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

// New creates the servers of a run and opens them and discovery. Nothing goes wrong until Play. The caller
// calls Close.
func New(realization *scenario.Realization, options Options) (*Fleet, error) {
	fleet := &Fleet{realization: realization, clock: options.Clock, observer: options.Observer}
	fleet.repeats.Store(&responseRepeats{})
	for _, spec := range realization.Servers {
		if _, err := fleet.add(spec); err != nil {
			return nil, err
		}
	}
	fleet.scheduleSteps()
	if err := fleet.open(options); err != nil {
		fleet.Close()
		return nil, err
	}
	for i := range realization.Servers {
		fleet.discovery.publish(i, piernotch.Ready, 0)
	}
	return fleet, nil
}

// open opens the servers that are there from the beginning, and discovery.
func (f *Fleet) open(options Options) error {
	for _, server := range f.servers[:len(f.realization.Servers)] {
		if err := server.open(); err != nil {
			return err
		}
	}
	var err error
	f.discovery, err = newDiscovery(f, options)
	return err
}

// add creates a server that is not open.
func (f *Fleet) add(spec scenario.Server) (*server, error) {
	number := len(f.servers)
	added, err := newServer(f, number, spec, f.realization.Seed<<16^uint64(number)+1)
	if err == nil {
		f.servers = append(f.servers, added)
	}
	return added, err
}

func (f *Fleet) malformedProbability() float64 { return float64(f.malformedShare.Load()) / shareUnit }

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
	count := 0
	for _, server := range f.servers {
		server.mu.Lock()
		if server.overloaded {
			count++
		}
		server.mu.Unlock()
	}
	return count
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
	for _, timer := range f.timers {
		timer.Stop()
	}
	for _, server := range f.servers {
		server.crash()
		server.timer.Stop()
	}
	if f.discovery != nil {
		f.discovery.close()
	}
}
