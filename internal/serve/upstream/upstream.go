package upstream

import (
	"time"

	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
)

// Response is a feed server's response with status 200. Any other response is
// only a status to the core.
type Response struct {
	ContentType string // "": the feed server named none
	Body        []byte
}

// Request is the HTTP request that an attempt sends. It is not modified, so that
// several attempts of one client request may share it.
type Request struct {
	Method         string
	Target         string // path and query
	ID             string // sent as X-Request-Id; "": no such field
	IdempotencyKey string // sent as Idempotency-Key, by which feed servers recognise a repeat; "": no such field
	ContentType    string // "": no such field
	Body           []byte
}

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

	// ConnectionsOpened counts the connections dialled so far, for the log.
	ConnectionsOpened int

	lastReportWarning time.Duration // when an invalid load report was last logged; 0: never
}

// Options is what an Upstream works with. All fields are required.
type Options struct {
	Loop        *eventloop.Loop
	Emit        func(core.Event)     // is handed events on the loop's owning goroutine
	Now         func() time.Duration // the clock of the core
	KeepAlive   time.Duration        // see SetTimeouts
	DialTimeout time.Duration        // see SetTimeouts
}

// New returns an Upstream without connections.
func New(options Options) *Upstream {
	u := &Upstream{
		loop:         options.Loop,
		emit:         options.Emit,
		now:          options.Now,
		pools:        map[core.Endpoint]*pool{},
		attempts:     map[core.AttemptRef]*attempt{},
		healthChecks: map[*attempt]struct{}{},
	}
	u.SetTimeouts(options.KeepAlive, options.DialTimeout)
	return u
}

// SetTimeouts sets after what time a feed server closes an idle connection
// (keepAlive), and how long a connection may take to be established. Idle
// connections are closed here at three quarters of keepAlive: a request that
// crosses the feed server's close is lost.
func (u *Upstream) SetTimeouts(keepAlive, dialTimeout time.Duration) {
	u.idleTimeout = keepAlive * 3 / 4
	u.dialTimeout = dialTimeout
}

// StartAttempt takes a connection for an attempt, or queues the attempt until
// one is free. The core receives AttemptConnected, or AttemptCompleted if no
// connection can be established.
func (u *Upstream) StartAttempt(effect core.StartAttempt, request *Request) {
	a := &attempt{
		ref:      effect.Ref,
		pool:     u.poolFor(effect.To),
		request:  request,
		deadline: u.now() + effect.Timeout,
	}
	u.attempts[effect.Ref] = a
	a.pool.acquire(a)
}

// WriteAttempt sends an attempt's request on the connection that it was given.
// It does nothing for an attempt that has ended or has no connection.
func (u *Upstream) WriteAttempt(ref core.AttemptRef) {
	if a := u.attempts[ref]; a != nil && a.conn != nil {
		a.conn.writeRequest(u.now())
	}
}

// CancelAttempt ends an attempt without an event. If its request was written, its
// connection is closed, so that a late response cannot reach another request.
func (u *Upstream) CancelAttempt(ref core.AttemptRef) {
	if a := u.attempts[ref]; a != nil {
		u.cancel(a)
	}
}

// CloseIdle closes the idle connections to an endpoint that is draining or gone.
// Connections in use are closed when they become free. The next attempt on the
// endpoint ends this state.
func (u *Upstream) CloseIdle(endpoint core.Endpoint) {
	if p := u.pools[endpoint]; p != nil {
		p.startDraining()
	}
}

// Shed closes the idle connections of all endpoints to free descriptors.
// Connections that are settling stay.
func (u *Upstream) Shed() {
	for _, p := range u.pools {
		p.closeOldestIdle(len(p.idle))
	}
}

// Tick must be called once per core.TickInterval. It makes settled connections
// available, closes connections that were idle for too long, fails attempts
// whose response has stalled and ends overdue health checks. All other time
// limits of attempts are the core's.
func (u *Upstream) Tick() {
	now := u.now()
	u.endOverdueHealthChecks(now)
	u.failStalledAttempts(now)
	for endpoint, p := range u.pools {
		p.releaseSettled(now)
		p.closeExpiredIdle(now)
		if p.draining && p.unused() {
			delete(u.pools, endpoint)
		}
	}
}

func (u *Upstream) poolFor(endpoint core.Endpoint) *pool {
	p := u.pools[endpoint]
	if p == nil {
		p = &pool{upstream: u, endpoint: endpoint}
		u.pools[endpoint] = p
	}
	return p
}
