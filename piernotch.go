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

// RetrySafety says what a class permits once an attempt may have run.
type RetrySafety uint8

// Effects.
const (
	Idempotent     RetrySafety = iota // may run any number of times
	IdempotencyKey                    // repeats are discarded within Scope and Window
	NonIdempotent                     // must not run twice
)

// DedupScope is the set of backends that discard each other's repeats.
type DedupScope uint8

// Scopes.
const (
	DedupEverywhere DedupScope = iota
	DedupInZone
	DedupInCell
)

// Class describes one kind of request.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within this earns its full worth
	Deadline         time.Duration
	PriorityWeight   float64
	LateWeightShare  float64 // share of the worth earned after the aim
	RetrySafety      RetrySafety
	DedupScope       DedupScope    // Keyed only
	DedupWindow      time.Duration // Keyed only: how long repeats are discarded
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name        string
	QuotaPerSec float64 // over all proxies; 0 means unlimited
}

// Limits says what this deployment permits.
type Limits struct {
	MaxAttempts    int
	HedgedRequests bool // two attempts of a request may be out at once
	CancelAttempts bool
	HealthChecks   bool
	RetryAfter     bool // refusals may carry advice on when to come back
	MaxRetryAfter  time.Duration
}

// Rules holds the figures of the rules on drains and cold starts.
type Rules struct {
	PollInterval      time.Duration // discovery on request: ask at least this often
	SlowStartCapacity float64       // share of its capacity a backend starts with
	SlowStartDuration time.Duration // and the time by which it has all of it
	// Too much for so long, from all proxies together, pushes a cold backend over; 0: not told.
	OverloadWindow time.Duration
}

// Settings is what a Balancer is told once. The names in it are labels for
// people: no decision reads one.
type Settings struct {
	BalancerCount    int // how many proxies there are, this one included
	Zone             int // this proxy's zone, an index into Zones
	Zones            []string
	Classes          []Class
	Tenants          []Tenant
	Tick             time.Duration // least time between two clock readings
	PollDiscovery    bool          // the list comes only when asked for
	KeyAffinity      bool          // a backend that met a key lately serves it with less work
	Limits           Limits
	Rules            Rules
	OverQuotaWeight  float64 // worth of a request beyond its tenant's share
	WeightPerRequest bool    // a heavy request is worth no more than a light one of its class
}

// State is what the list says of a backend.
type State uint8

// States.
const (
	Ready State = iota
	Draining
	Gone
)

// Endpoint is one line of the list of backends.
type Endpoint struct {
	ID        BackendID
	Zone      int
	Cell      int
	State     State
	Size      float64       // unitless, to compare with other backends
	StartedAt time.Duration // clock time of its last start; 0 means long ago
}

// UpdateKind says how a list event is to be read.
type UpdateKind uint8

// List kinds.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // everything; what is missing is gone
	UpdateCached                   // everything this proxy last held, maybe stale
	UpdateFailed                   // discovery did not answer, or hung up
)

// Request is a client's request on arrival.
type Request struct {
	ID       RequestID
	Class    int
	Tenant   int
	Key      uint64        // what the request is about; 0 means nothing
	Deadline time.Duration // clock time at which the client gives up
	CostHint float64       // expected work in milliseconds; NaN or <= 0: none
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
	NotSent
)

var statuses = [...]string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"}

func (s Status) String() string { return statuses[s] }

// NeverExecuted tells whether the status proves that the backend did nothing.
func (s Status) NeverExecuted() bool {
	return s == Full || s == ConnectFailed || s == NotSent
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

// LoadReport is a backend's own account of its load. It is some time old when it comes, and
// counts what all proxies sent.
type LoadReport struct {
	Inflight           float64 // requests that it holds
	CompletedPerSecond float64 // requests that it answers a second; 0: not said
}

// Host carries out a Balancer's decisions, in the order of the calls.
type Host interface {
	// StartAttempt starts the next attempt of a request. The attempt ends with an
	// outcome after timeout at the latest; 0 means the client's deadline.
	StartAttempt(id RequestID, to BackendID, timeout time.Duration)
	// CancelAttempt ends the wait for one attempt.
	CancelAttempt(id RequestID, attempt int)
	// Reject is a final answer: not done, and trying again does no harm.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id RequestID)
	// HealthCheck examines a backend.
	HealthCheck(b BackendID)
	// WatchEndpoints subscribes to changes of the list.
	WatchEndpoints()
	// SetTimer asks for a call of Timer after d.
	SetTimer(d time.Duration, token uint32)
}
