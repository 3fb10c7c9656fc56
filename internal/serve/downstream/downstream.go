package downstream

import (
	"time"

	"piernotch"
	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/memory"
)

// Downstream holds all client connections. It must be used on the event loop's
// owning goroutine only.
type Downstream struct {
	emit  func(core.Event)
	now   func() time.Duration
	ready func() bool

	requestMemory, responseMemory *memory.Pool

	routes   map[string][]core.Route // by class name
	maxWaits []time.Duration         // longest time that a client may wait, by class index
	tenants  []piernotch.Tenant

	connections  map[*connection]struct{}
	charged      map[*connection]struct{}        // connections whose request is charged to requestMemory
	pending      map[core.ExchangeID]*connection // connections whose request waits for a response
	lastExchange core.ExchangeID

	shuttingDown  bool
	drainingSince time.Duration // 0: not draining
	stall         stallWindow
	crowdedAbove  int // with more connections than this, crowdedIdleTimeout applies

	// Counts since the start of the process, for the log.
	closes         [closeReasonCount]int
	badRequests    int // malformed or incomplete
	memoryRejected int // rejected because requests had used up their memory

	memoryLogged time.Duration // when a shortage of memory was last logged; 0: never
}

// Options configures a new Downstream. All fields are required.
type Options struct {
	Emit           func(core.Event)     // receives the events, on the loop's owning goroutine
	Now            func() time.Duration // the core's clock
	Ready          func() bool          // whether requests can be served, for health checks of this process
	MaxDescriptors int                  // see SetMaxDescriptors
	// RequestMemory is charged for requests until they have their response, ResponseMemory for responses that
	// clients have not read. The Downstream sets the Reclaim of both.
	RequestMemory, ResponseMemory *memory.Pool
}

// New returns a Downstream without connections.
func New(options Options) *Downstream {
	downstream := &Downstream{
		emit:           options.Emit,
		now:            options.Now,
		ready:          options.Ready,
		requestMemory:  options.RequestMemory,
		responseMemory: options.ResponseMemory,
		connections:    map[*connection]struct{}{},
		charged:        map[*connection]struct{}{},
		pending:        map[core.ExchangeID]*connection{},
	}
	downstream.SetMaxDescriptors(options.MaxDescriptors)
	options.RequestMemory.Reclaim = downstream.rejectSlowestRequest
	options.ResponseMemory.Reclaim = downstream.closeSlowestReader
	return downstream
}

// SetMaxDescriptors sets the limit on file descriptors. While clients hold more than a quarter of them,
// crowdedIdleTimeout applies.
func (d *Downstream) SetMaxDescriptors(limit int) { d.crowdedAbove = limit / 4 }

// SetRoutes replaces the classes and tenants that requests may name. maxWaits holds the
// longest time that a client may wait, by class index. tenants must be in the order
// of the settings, because the core identifies a tenant by its index there.
func (d *Downstream) SetRoutes(routes []core.Route, maxWaits []time.Duration, tenants []piernotch.Tenant) {
	d.routes = map[string][]core.Route{}
	d.maxWaits = maxWaits
	d.tenants = tenants
	for _, route := range routes {
		d.routes[route.Name] = append(d.routes[route.Name], route)
	}
}

// StartDraining starts draining: from now on each connection is closed after its next
// response, and connections that stay idle are closed after drainIdleGrace.
func (d *Downstream) StartDraining() { d.drainingSince = d.now() }

// StopDraining ends draining: responses to further requests keep the connection open
// again, unless it must be closed for another reason.
func (d *Downstream) StopDraining() { d.drainingSince = 0 }

// Shutdown makes every further response close its connection. It cannot be undone.
func (d *Downstream) Shutdown() { d.shuttingDown = true }

// Accepted registers a new connection and returns its handler.
func (d *Downstream) Accepted(socket *eventloop.Conn) eventloop.Handler {
	accepted := &connection{
		downstream:     d,
		socket:         socket,
		parser:         http1.NewRequestParser(),
		phaseStart:     d.now() - socket.InputAge(),
		requestMemory:  d.requestMemory.NewAccount(),
		responseMemory: d.responseMemory.NewAccount(),
	}
	d.connections[accepted] = struct{}{}
	return accepted
}

// ConnectionCount returns the number of open client connections, including those
// that are being closed.
func (d *Downstream) ConnectionCount() int { return len(d.connections) }

// closesAfterResponse reports whether the process drains or shuts down. Then every
// response closes its connection.
func (d *Downstream) closesAfterResponse() bool {
	return d.shuttingDown || d.drainingSince > 0
}
