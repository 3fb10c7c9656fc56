package piernotch

import "time"

// RequestID identifies a request until it has its final response and no attempt is in flight.
type RequestID uint64

// ServerID identifies a server. It survives a restart of the server's process.
type ServerID uint32

// RetrySafety is what a class permits once an attempt may have executed.
type RetrySafety uint8

// The values of RetrySafety.
const (
	Idempotent     RetrySafety = iota // may execute any number of times
	IdempotencyKey                    // repeats are discarded within DedupScope and DedupWindow
	NonIdempotent                     // must not execute twice
)

// DedupScope is the set of servers that discard each other's repeats.
type DedupScope uint8

// The values of DedupScope.
const (
	DedupEverywhere DedupScope = iota // all servers
	DedupInZone                       // the servers of one zone
	DedupInCell                       // the servers of one cell
)

// Class describes one kind of request.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a response within it has its full weight; positive
	Deadline         time.Duration // after which clients give up; not below LatencyObjective
	PriorityWeight   float64       // of a response; not negative
	LateWeightShare  float64       // share of the weight that a response after the objective has
	RetrySafety      RetrySafety
	DedupScope       DedupScope    // for IdempotencyKey only
	DedupWindow      time.Duration // for IdempotencyKey only: how long repeats are discarded
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name        string
	QuotaPerSec float64 // requests per second, over all balancers; 0: unlimited
}

// Limits is what the deployment permits.
type Limits struct {
	MaxAttempts    int           // attempts of a request, the first included; at least 1
	HedgedRequests bool          // two attempts of a request may be in flight at once
	CancelAttempts bool          // attempts may be cancelled
	HealthChecks   bool          // ejected servers may be health checked
	RetryAfter     bool          // rejections may advise when to come back
	MaxRetryAfter  time.Duration // bound on that advice
}

// Rules holds the parameters of discovery and slow start.
type Rules struct {
	PollInterval      time.Duration // where discovery has to be polled: at least this often
	SlowStartCapacity float64       // share of its capacity that a server starts with, in [0, 1]
	SlowStartDuration time.Duration // time after its start at which it has all of it
	OverloadWindow    time.Duration // overload that lasts so long fails a server in slow start; 0: unknown
}

// Settings configures a Balancer. Names in it are labels for people: no decision depends on one.
type Settings struct {
	BalancerCount    int           // balancers of the deployment, this one included; at least 1
	Zone             int           // this balancer's zone, an index of Zones
	Zones            []string      // names of all zones
	Classes          []Class       // at least one
	Tenants          []Tenant      // none: no quotas
	Tick             time.Duration // resolution of the clock
	PollDiscovery    bool          // the endpoint list comes only after Host.WatchEndpoints
	KeyAffinity      bool          // a server serves a key that it served lately with less work
	Limits           Limits
	Rules            Rules
	OverQuotaWeight  float64 // factor on the weight of a request over its tenant's quota
	WeightPerRequest bool    // the weight is for each request, whatever its work
}

// State is the state of a server in the endpoint list.
type State uint8

// The values of State.
const (
	Ready    State = iota // may get requests
	Draining              // gets no new requests
	Gone                  // is not listed any more
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        ServerID
	Zone      int // an index of Settings.Zones
	Cell      int // failure domain within the zone
	State     State
	Size      float64       // capacity relative to other servers; positive
	StartedAt time.Duration // clock time of its last start; 0: long ago
}

// UpdateKind is how an event of the endpoint list is to be read.
type UpdateKind uint8

// The values of UpdateKind.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // all entries; a server that is missing is gone
	UpdateCached                   // all entries that this process last had, maybe stale
	UpdateFailed                   // no entries: discovery did not respond or closed the connection
)

// Request is a client's request on arrival.
type Request struct {
	ID       RequestID
	Class    int           // an index of Settings.Classes
	Tenant   int           // an index of Settings.Tenants; any other value: no tenant
	Key      uint64        // of what the request is about; 0: none
	Deadline time.Duration // clock time at which the client gives up
	CostHint float64       // expected work in ms; NaN, infinite or not positive: none
}

// Status is how an attempt ended.
type Status uint8

// The values of Status.
const (
	OK            Status = iota // a good response
	Error                       // any other response, malformed ones included
	Full                        // rejected by the server before execution
	Timeout                     // no response within the attempt's timeout
	ConnectFailed               // no connection
	Reset                       // the connection broke before the response
	Cancelled                   // cancelled by the balancer or its host
	NotSent                     // given up before it was written
)

var statuses = [...]string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "not_sent"}

// String returns the status's name in logs and traces. The status must be one of the constants.
func (s Status) String() string { return statuses[s] }

// NeverExecuted reports whether the status proves that the server did not execute the request.
func (s Status) NeverExecuted() bool {
	return s == Full || s == ConnectFailed || s == NotSent
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID          RequestID
	Attempt     int // attempts of a request are numbered from 0, in sending order
	Server      ServerID
	Status      Status
	Latency     time.Duration // from the start of the attempt
	RequestDone bool          // the request has its final response
}

// LoadReport is a server's report of its load, which counts what all balancers sent. It is some
// time old when it arrives.
type LoadReport struct {
	Inflight           float64 // requests that the server holds
	CompletedPerSecond float64 // requests that it completes per second; 0: unknown
}

// Host carries out a Balancer's decisions, in the order of the calls. The Balancer calls it on the
// goroutine of the event, before the event's method returns; a Host must not call the Balancer back.
type Host interface {
	// StartAttempt starts the next attempt of a request. The attempt ends with an Outcome, after
	// timeout at the latest; 0 means the client's deadline.
	StartAttempt(id RequestID, to ServerID, timeout time.Duration)
	// CancelAttempt ends an attempt that is in flight.
	CancelAttempt(id RequestID, attempt int)
	// Reject gives the request its final response: not executed, or trying again does no harm. A retryAfter of
	// 0 is no advice.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail gives the request its final response, without a promise.
	Fail(id RequestID)
	// HealthCheck checks a server and reports by HealthCheckCompleted.
	HealthCheck(b ServerID)
	// WatchEndpoints subscribes to changes of the endpoint list.
	WatchEndpoints()
	// SetTimer asks for a call of Timer with the token after d.
	SetTimer(d time.Duration, token uint32)
}
