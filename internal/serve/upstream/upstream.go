package upstream

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/memory"
)

// Upstream holds the connection pools of all endpoints. It must be used on the
// event loop's owning goroutine only.
type Upstream struct {
	loop         *eventloop.Loop
	emit         func(core.Event)
	now          func() time.Duration
	idleTimeout  time.Duration
	dialTimeout  time.Duration
	pools        map[core.Endpoint]*pool
	attempts     map[core.AttemptRef]*attempt
	healthChecks map[*attempt]struct{}
	history      responseHistory
	singleUse    singleUse

	requestMemory, responseMemory *memory.Pool

	// ConnectionsOpened counts the dials so far, including failed ones. The count is logged. The number
	// of a connection is the count at its dial.
	ConnectionsOpened int
	// UnsolicitedData counts, for the log, surplus data from servers: bytes directly behind a response, data while no
	// response is due, and second responses to earlier requests.
	UnsolicitedData int

	lastReportWarning time.Duration // when an invalid load report was last logged; 0: never
}

// Options configures a new Upstream. All fields are required.
type Options struct {
	Loop        *eventloop.Loop
	Emit        func(core.Event)     // receives the events, on the loop's owning goroutine
	Now         func() time.Duration // the core's clock
	KeepAlive   time.Duration        // see SetTimeouts
	DialTimeout time.Duration        // see SetTimeouts
	// RequestMemory is charged for the unsent part of requests, ResponseMemory for incomplete responses.
	RequestMemory, ResponseMemory *memory.Pool
}

// New returns an Upstream without connections.
func New(options Options) *Upstream {
	upstream := &Upstream{
		loop:         options.Loop,
		emit:         options.Emit,
		now:          options.Now,
		pools:        map[core.Endpoint]*pool{},
		attempts:     map[core.AttemptRef]*attempt{},
		healthChecks: map[*attempt]struct{}{},
		history:      newResponseHistory(),
		singleUse:    singleUse{lateRepeats: map[core.Endpoint]time.Duration{}},

		requestMemory:  options.RequestMemory,
		responseMemory: options.ResponseMemory,
	}
	upstream.SetTimeouts(options.KeepAlive, options.DialTimeout)
	return upstream
}

// SetTimeouts sets keepAlive, the idle time after which servers close a connection,
// and dialTimeout, the time limit for a dial. Upstream closes idle connections after
// three quarters of keepAlive: a request that is written while the server closes its
// side would be lost.
func (u *Upstream) SetTimeouts(keepAlive, dialTimeout time.Duration) {
	u.idleTimeout = keepAlive * 3 / 4
	u.dialTimeout = dialTimeout
}

// StartAttempt assigns a connection to an attempt, or queues the attempt until
// a connection is free. The core receives AttemptConnected, or AttemptCompleted if no
// connection can be established.
func (u *Upstream) StartAttempt(effect core.StartAttempt) {
	attempt := &attempt{
		ref:       effect.Ref,
		pool:      u.poolFor(effect.To),
		request:   effect.Message,
		requestID: strings.Clone(effect.Message.ID),
		class:     strings.Clone(http1.FirstSegment(effect.Message.Target)),
		digest:    digestRequest(effect.Message),
		deadline:  u.now() + effect.Timeout,
	}
	u.attempts[effect.Ref] = attempt
	attempt.pool.acquire(attempt)
}

// WriteAttempt writes an attempt's request to its connection. It does nothing if
// the attempt has ended or has no connection.
func (u *Upstream) WriteAttempt(ref core.AttemptRef) {
	attempt := u.attempts[ref]
	if attempt != nil && attempt.connection != nil {
		attempt.connection.writeRequest(u.now())
	}
}

// CancelAttempt ends an attempt without an event. If its request was written, its
// connection is closed, so that a late response is not mistaken for the
// response to another request.
func (u *Upstream) CancelAttempt(ref core.AttemptRef) {
	if attempt := u.attempts[ref]; attempt != nil {
		u.cancel(attempt)
	}
}

// CloseIdle closes the free connections to an endpoint that is draining or gone.
// Connections in use are closed when they become free. The next attempt or health
// check for the endpoint makes its connections reusable again.
func (u *Upstream) CloseIdle(endpoint core.Endpoint) {
	if pool := u.pools[endpoint]; pool != nil {
		pool.startDraining()
	}
}

// Shed closes idle connections to free descriptors, until at most keep are left: those
// that have been idle longest. Connections that are in use or still settling stay open.
func (u *Upstream) Shed(keep int) {
	var idle []*connection
	for _, pool := range u.pools {
		idle = append(idle, pool.idle...)
	}
	excess := len(idle) - keep
	if excess <= 0 {
		return
	}
	slices.SortFunc(idle, func(a, b *connection) int { return cmp.Compare(a.lastActivity, b.lastActivity) })
	for _, connection := range idle[:excess] {
		connection.pool.closeOldestIdle(1)
	}
}

// Tick must be called once per core.TickInterval. It makes settled connections
// available, closes connections that were idle for too long, removes unused pools of
// draining endpoints, fails attempts whose response has stalled, and ends overdue health
// checks. All other timeouts of attempts, except that of dials, belong to the core.
func (u *Upstream) Tick() {
	now := u.now()
	u.endOverdueHealthChecks(now)
	u.updateRequestMemory()
	u.failStalledAttempts(now)
	for endpoint, pool := range u.pools {
		pool.releaseSettled(now)
		pool.closeExpiredIdle(now)
		if pool.draining && pool.unused() {
			delete(u.pools, endpoint)
		}
	}
}

// poolFor returns the pool of an endpoint, and creates it if there is none.
func (u *Upstream) poolFor(endpoint core.Endpoint) *pool {
	existing := u.pools[endpoint]
	if existing != nil {
		return existing
	}
	created := &pool{upstream: u, endpoint: endpoint}
	u.pools[endpoint] = created
	return created
}
