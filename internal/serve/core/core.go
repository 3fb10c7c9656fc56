package core

import (
	"context"
	"log/slog"
	"time"

	"piernotch"
	"piernotch/internal/serve/overrides"
	"piernotch/internal/timingwheel"
)

// TickInterval is the resolution of all timers. Tick events should come at this interval.
const TickInterval = 5 * time.Millisecond

// Core is the reducer. It must be used from one goroutine; create it with New.
type Core struct {
	settings      piernotch.Settings
	balancer      *piernotch.Balancer
	now           time.Duration // never goes back
	timers        *timingwheel.Wheel
	effects       []Effect // of the event being handled
	deferred      []func() // calls into the module to make once its present call has returned
	lastRequestID piernotch.RequestID

	requests      map[piernotch.RequestID]*request // not released yet
	exchanges     map[ExchangeID]*request          // without a response
	openClientIDs map[string]struct{}              // clients' request IDs without a response

	servers        map[piernotch.ServerID]*server
	serversByName  map[string]*server
	starts         startTimes
	endpointsKnown bool
	discovery      string // address
	healthChecks   map[piernotch.ServerID]*timingwheel.Timer

	overrides overrides.Overrides
	processID overrides.ProcessID // of this process, in the overrides' timestamps
	routes    []Route

	shuttingDown     bool
	stoppedListening bool
	respondBy        time.Duration // while shutting down: the latest deadline of a request

	debug bool // log every request

	// Counts are the totals so far.
	Counts Counts
}

// Options is what a reducer starts from.
type Options struct {
	Settings  piernotch.Settings
	Seed      uint64              // of the module's random choices
	Now       time.Duration       // the first reading of the clock
	Discovery string              // address of the discovery service
	ProcessID overrides.ProcessID // distinguishes this process from others of the same balancer
}

// New returns a reducer without endpoints. An error means that the settings cannot be used.
func New(options Options) (*Core, error) {
	core := &Core{
		settings:      options.Settings,
		now:           options.Now,
		timers:        timingwheel.New(TickInterval, options.Now),
		requests:      map[piernotch.RequestID]*request{},
		exchanges:     map[ExchangeID]*request{},
		openClientIDs: map[string]struct{}{},
		servers:       map[piernotch.ServerID]*server{},
		serversByName: map[string]*server{},
		starts:        startTimes{byName: map[string]serverStart{}},
		discovery:     options.Discovery,
		healthChecks:  map[piernotch.ServerID]*timingwheel.Timer{},
		processID:     options.ProcessID,
		routes:        routesOf(options.Settings.Classes),
	}
	balancer, err := piernotch.New(options.Settings, options.Seed, host{core})
	if err != nil {
		return nil, err
	}
	core.balancer = balancer
	core.debug = slog.Default().Enabled(context.Background(), slog.LevelDebug)
	return core, nil
}

// Handle processes an event that happened at now and returns the effects to carry out, in order. A
// time before that of an earlier call counts as that call's time. The slice is valid until the next
// call.
func (c *Core) Handle(now time.Duration, event Event) []Effect {
	c.now = max(c.now, now)
	c.effects = c.effects[:0]
	c.reduce(event)
	c.runDeferred()
	if c.stoppedListening && len(c.exchanges) == 0 {
		c.emit(Exit{})
	}
	return c.effects
}

func (c *Core) reduce(event Event) {
	switch event := event.(type) {
	case RequestReceived:
		c.handleRequestReceived(event)
	case ClientDisconnected:
		c.handleClientDisconnected(event)
	case AttemptConnected:
		c.handleAttemptConnected(event)
	case AttemptCompleted:
		c.handleAttemptCompleted(event)
	case HealthCheckCompleted:
		c.handleHealthCheckCompleted(event)
	case LoadReported:
		c.handleLoadReported(event)
	case EndpointUpdate:
		c.handleEndpointUpdate(event)
	case Tick:
		c.timers.Advance(c.now)
	case SettingsChanged:
		c.handleSettingsChanged(event)
	case AdminCommand:
		c.handleAdminCommand(event)
	case PeerOverrides:
		c.handlePeerOverrides(event)
	case PeerSnapshot:
		c.balancer.Restore(event.Snapshot)
	case Shutdown:
		c.handleShutdown()
	}
}

// emit appends an effect to those of the event being handled.
func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

// deferCall has call run after the module's present call has returned.
func (c *Core) deferCall(call func()) { c.deferred = append(c.deferred, call) }

// runDeferred runs the deferred calls, and those that they defer in turn, in order.
func (c *Core) runDeferred() {
	for len(c.deferred) > 0 {
		call := c.deferred[0]
		c.deferred = c.deferred[:copy(c.deferred, c.deferred[1:])]
		call()
	}
}

// Snapshot returns what the module has learnt about the traffic, for another process of this
// balancer.
func (c *Core) Snapshot() piernotch.Snapshot { return c.balancer.Snapshot() }

// LogState logs the module's state at level debug.
func (c *Core) LogState() {
	if c.debug {
		slog.Debug("state", "module", c.balancer.String())
	}
}
