package downstream

import (
	"time"

	"piernotch"
	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
)

// Downstream holds all client connections. It must be used on the event loop's
// owning goroutine only.
type Downstream struct {
	emit  func(core.Event)
	now   func() time.Duration
	ready func() bool

	routes   map[string][]core.Route // by class name
	maxWaits []time.Duration         // longest time that a client may wait, by class index
	tenants  []piernotch.Tenant

	connections  map[*connection]struct{}
	pending      map[core.ExchangeID]*connection // connections whose request waits for a response
	lastExchange core.ExchangeID

	shuttingDown  bool
	drainingSince time.Duration // 0: not draining
	stall         stallWindow
	crowdedAbove  int // with more connections than this, crowdedIdleTimeout applies

	// Counts since the start of the process, for the log.
	closes      [closeReasonCount]int
	badRequests int // malformed or incomplete
}

// New returns a Downstream without connections. The Downstream calls emit with each
// event, on the loop's owning goroutine. now is the core's clock. ready reports whether
// requests can be served, for health checks of this process. maxDescriptors is the
// configured limit on file descriptors.
func New(emit func(core.Event), now func() time.Duration, ready func() bool, maxDescriptors int) *Downstream {
	return &Downstream{
		emit:         emit,
		now:          now,
		ready:        ready,
		connections:  map[*connection]struct{}{},
		pending:      map[core.ExchangeID]*connection{},
		crowdedAbove: maxDescriptors / 4, // see crowdedIdleTimeout
	}
}

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
		downstream: d,
		socket:     socket,
		parser:     http1.NewRequestParser(),
		phaseStart: d.now(),
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
