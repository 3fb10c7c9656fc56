package emulator

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"piernotch"
	"piernotch/internal/lab/scenario"
)

// shareUnit is the integer that stands for a share of 1: shares are stored in millionths.
const shareUnit = 1e6

// Fleet is the emulated servers of a run and their discovery service. Its methods, except Play and Close, may
// be called from any goroutine.
type Fleet struct {
	realization *scenario.Realization
	clock       Clock
	observer    Observer
	servers     []*server // including those that join later
	discovery   *Discovery
	steps       []scheduledStep
	timers      []*time.Timer // of the steps, set by Play

	loadReportDelay atomic.Int64 // ns
	malformedShare  atomic.Int64 // share of the responses, times shareUnit
	repeats         atomic.Pointer[responseRepeats]

	mu  sync.Mutex
	err error
}

// Options are the parameters of New. All but Notified are required.
type Options struct {
	Balancers int // discovery has an address for each
	Clock     Clock
	Observer  Observer
	Notified  EndpointNotified // may be nil
}

// New creates and opens the servers of a run and their discovery service. Play opens the servers
// that join later, and starts the faults. The caller must call Close.
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

// open opens discovery and the servers that exist from the beginning of the run.
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

// add creates a server with the next number, without opening it.
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

// meanWork returns the mean work of a request of a class, or of any request if the class is unknown, in ms. The
// class may be followed by a path.
func (f *Fleet) meanWork(class string) float64 {
	class, _, _ = strings.Cut(class, "/")
	for i := range f.realization.Classes {
		if f.realization.Classes[i].Name == class {
			return f.realization.Classes[i].MeanWork
		}
	}
	return f.realization.MeanWork()
}

// Discovery returns the emulated discovery service.
func (f *Fleet) Discovery() *Discovery { return f.discovery }

// Servers returns the number of servers, including those that join later.
func (f *Fleet) Servers() int { return len(f.servers) }

// Spec returns the scenario's description of a server.
func (f *Fleet) Spec(i int) scenario.Server { return f.servers[i].spec }

// Overloaded returns the number of servers that have been overloaded at any time of the run.
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

// Err returns the first error in creating or opening a server that joins later or restarts.
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

// Close stops the faults, and ends all servers and discovery.
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
