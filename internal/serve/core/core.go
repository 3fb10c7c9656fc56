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
	now           time.Duration // latest time given to Handle; never goes back
	timers        *timingwheel.Wheel
	effects       []Effect // of the event being handled
	deferred      []func() // calls into the module to make once its current call has returned
	lastRequestID piernotch.RequestID

	requests      map[piernotch.RequestID]*request // not released yet
	exchanges     map[ExchangeID]*request          // requests without a response
	openClientIDs map[string]struct{}              // the clientID of each request in exchanges
	abandonedIDs  abandonedIDs

	servers        map[piernotch.ServerID]*server
	serversByName  map[string]*server
	starts         startTimes
	endpointsKnown bool
	discovery      string // address
	healthChecks   map[piernotch.ServerID]*timingwheel.Timer

	overrides overrides.Overrides
	processID overrides.ProcessID // of this process, for the timestamps of overrides
	routes    []Route

	shuttingDown     bool
	stoppedListening bool
	respondBy        time.Duration // during a shutdown: the latest deadline that a new request gets

	debug bool // log every request

	// Counts are the totals since New.
	Counts Counts
}

// Options are the arguments of New.
type Options struct {
	Settings  piernotch.Settings
	Seed      uint64              // of the module's random choices
	Now       time.Duration       // the current time, on the clock of Core.Handle
	Discovery string              // address of the discovery service
	ProcessID overrides.ProcessID // distinguishes this process from others of the same balancer
}

// New returns a reducer that knows no endpoints yet. It fails if the settings are invalid.
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

// Handle processes an event that happened at now and returns the effects to carry out, in order. If
// now is before the time of an earlier call, that time is used. The slice is valid until the next call.
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

// deferCall schedules call to run after the module's current call has returned.
func (c *Core) deferCall(call func()) { c.deferred = append(c.deferred, call) }

// runDeferred runs the deferred calls in order, including those that are deferred meanwhile.
func (c *Core) runDeferred() {
	for len(c.deferred) > 0 {
		call := c.deferred[0]
		c.deferred = c.deferred[:copy(c.deferred, c.deferred[1:])]
		call()
	}
}

// Snapshot returns the module's estimates of the traffic, for another process of this balancer to
// start from.
func (c *Core) Snapshot() piernotch.Snapshot { return c.balancer.Snapshot() }

// LogState logs the module's state at level debug.
func (c *Core) LogState() {
	if c.debug {
		slog.Debug("state", "module", c.balancer.String())
	}
}
