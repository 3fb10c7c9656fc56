// Package piernotch makes the decisions of a reverse proxy that spreads
// requests over HTTP servers: which backend gets a request, when to try again,
// when to refuse, and what to believe of a backend's health.
//
// This file is the interface: the settings, what happens (events) and what can
// be done about it (the Host). The decisions are all in balancer.go.
//
// A Balancer is single-threaded and does no I/O. Whoever embeds it calls one
// method per event with the present clock, and carries out what the Balancer
// asks of its Host before the next call. Equal events and seeds give equal
// actions.
package piernotch

import "time"

// RequestID names a request for as long as the proxy owes it an answer.
type RequestID uint64

// BackendID names a backend. It survives a restart of the backend's process.
type BackendID uint32

// Effect says what a class permits once an attempt may have run.
type Effect uint8

// Effects.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // repeats are discarded within Scope and Window
	Unsafe               // must not run twice
)

// Scope is the set of backends that discard each other's repeats.
type Scope uint8

// Scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one kind of request.
type Class struct {
	Name      string
	Aim       time.Duration // an answer within this earns its full worth
	Deadline  time.Duration
	Worth     float64
	LateWorth float64 // share of the worth earned after the aim
	Effect    Effect
	Scope     Scope         // Keyed only
	Window    time.Duration // Keyed only: how long repeats are discarded
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name        string
	QuotaPerSec float64 // over all proxies; 0 means unlimited
}

// Limits says what this deployment permits.
type Limits struct {
	MaxAttempts   int
	SecondCopies  bool // two attempts of a request may be out at once
	Cancel        bool
	Probes        bool
	RetryAfter    bool // refusals may carry advice on when to come back
	MaxRetryAfter time.Duration
}

// Rules holds the figures of the rules on drains and cold starts.
type Rules struct {
	AskWithin time.Duration // discovery on request: ask at least this often
	ColdFrom  float64       // share of its capacity a backend starts with
	Cold      time.Duration // and the time by which it has all of it
	// Too much for so long, from all proxies together, pushes a cold backend over; 0: not told.
	OverloadFor time.Duration
}

// Settings is what a Balancer is told once. The names in it are labels for
// people: no decision reads one.
type Settings struct {
	Proxies        int // how many proxies there are, this one included
	Zone           int // this proxy's zone, an index into Zones
	Zones          []string
	Classes        []Class
	Tenants        []Tenant
	Tick           time.Duration // least time between two clock readings
	AskDiscovery   bool          // the list comes only when asked for
	WarmKeys       bool          // a backend that met a key lately serves it with less work
	Limits         Limits
	Rules          Rules
	OverShareWorth float64 // worth of a request beyond its tenant's share
	WorthByRequest bool    // a heavy request is worth no more than a light one of its class
}

// State is what the list says of a backend.
type State uint8

// States.
const (
	Ready State = iota
	Draining
	Gone
)

// Entry is one line of the list of backends.
type Entry struct {
	ID    BackendID
	Zone  int
	Cell  int
	State State
	Size  float64       // unitless, to compare with other backends
	Born  time.Duration // clock time of its last start; 0 means long ago
}

// ListKind says how a list event is to be read.
type ListKind uint8

// List kinds.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // everything; what is missing is gone
	ListCached                 // everything this proxy last held, maybe stale
	ListFailed                 // discovery did not answer, or hung up
)

// Request is a client's request on arrival.
type Request struct {
	ID       RequestID
	Class    int
	Tenant   int
	Key      uint64        // what the request is about; 0 means nothing
	Deadline time.Duration // clock time at which the client gives up
	Hint     float64       // expected work in milliseconds; NaN or <= 0: none
}

// Status tells how an attempt ended.
type Status uint8

// Statuses.
const (
	OK Status = iota
	Error
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	Moot
)

var statuses = [...]string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"}

func (s Status) String() string { return statuses[s] }

// NeverRan tells whether the status proves that the backend did nothing.
func (s Status) NeverRan() bool {
	return s == Full || s == ConnectFailed || s == Moot
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID      RequestID
	Attempt int // attempts of a request are numbered from 0 in sending order
	Backend BackendID
	Status  Status
	Latency time.Duration
	Closed  bool // the request has its final answer
}

// Load is a backend's own account of its load. It is some time old when it comes, and
// counts what all proxies sent.
type Load struct {
	Inflight float64 // requests that it holds
	PerSec   float64 // requests that it answers a second; 0: not said
}

// Host carries out a Balancer's decisions, in the order of the calls.
type Host interface {
	// Send starts the next attempt of a request. The attempt ends with an
	// outcome after timeout at the latest; 0 means the client's deadline.
	Send(id RequestID, to BackendID, timeout time.Duration)
	// Cancel ends the wait for one attempt.
	Cancel(id RequestID, attempt int)
	// Refuse is a final answer: not done, and trying again does no harm.
	Refuse(id RequestID, retryAfter time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id RequestID)
	// Probe examines a backend.
	Probe(b BackendID)
	// Watch subscribes to changes of the list.
	Watch()
	// SetTimer asks for a call of Timer after d.
	SetTimer(d time.Duration, token uint32)
}
