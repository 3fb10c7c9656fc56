package piernotch

import "time"

// RequestID identifies a request until it has its final response and no attempt is in flight. Of waiting
// requests of the same precedence, the one with the lowest ID is dispatched first, so IDs should increase.
type RequestID uint64

// ServerID identifies a server. It stays the same when the server's process restarts.
type ServerID uint32

// RetrySafety says whether a request of a class may be sent again after an attempt that may have executed.
type RetrySafety uint8

// The values of RetrySafety, from the least to the most restrictive.
const (
	Idempotent     RetrySafety = iota // may execute any number of times
	IdempotencyKey                    // servers discard repeats, within DedupScope and DedupWindow
	NonIdempotent                     // must not execute twice
)

// DedupScope is the set of servers that discard repeats of requests that any of them has executed.
type DedupScope uint8

// The values of DedupScope, from the widest to the narrowest.
const (
	DedupEverywhere DedupScope = iota // all servers
	DedupInZone                       // the servers of one zone
	DedupInCell                       // the servers of one cell
)

// Class describes one kind of request: its time limits, its priority and whether it may be retried.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a response within this time has its full weight; positive
	Deadline         time.Duration // clients give up after this time; at least LatencyObjective
	PriorityWeight   float64       // value of a response relative to other classes; not negative
	LateWeightShare  float64       // share of the weight that is left for a response after the objective
	RetrySafety      RetrySafety
	DedupScope       DedupScope    // for IdempotencyKey only
	DedupWindow      time.Duration // for IdempotencyKey only: time for which repeats are discarded
}

// Tenant is a customer. Requests over its quota lose priority.
type Tenant struct {
	Name        string
	QuotaPerSec float64 // requests per second, over all balancers; 0: unlimited
}

// Limits bounds retries and enables the optional actions of a Balancer.
type Limits struct {
	MaxAttempts    int           // attempts per request, including the first; at least 1
	HedgedRequests bool          // two attempts of a request may be in flight at once, unless it is NonIdempotent
	CancelAttempts bool          // attempts in flight are cancelled if their client disconnects before the response
	HealthChecks   bool          // an ejected server must pass a health check before its trial
	RetryAfter     bool          // rejections advise when to try again, while work is shed
	MaxRetryAfter  time.Duration // upper bound on the advised delay
}

// Rules holds the parameters of discovery and slow start.
type Rules struct {
	// PollInterval is the longest time that a balancer may go without polling, if discovery has to be polled. This
	// package uses it only for the first backoff (see subscription.Options).
	PollInterval      time.Duration
	SlowStartCapacity float64       // share of its capacity that a server has right after its start, in [0, 1]
	SlowStartDuration time.Duration // time from a server's start until it has its full capacity
	OverloadWindow    time.Duration // a server in slow start fails if overloaded for this long; 0: unknown
}

// Settings configures a Balancer. The names in it are labels for people; no decision depends on them.
type Settings struct {
	BalancerCount    int           // number of balancers in the deployment, including this one; at least 1
	Zone             int           // this balancer's zone, an index into Zones
	Zones            []string      // names of all zones
	Classes          []Class       // at least one
	Tenants          []Tenant      // empty: no quotas
	Tick             time.Duration // resolution of the host's clock: shortest time between ticks; not negative
	PollDiscovery    bool          // the endpoint list has to be requested with Host.WatchEndpoints
	KeyAffinity      bool          // a server needs less work for a Request.Key that it served recently
	Limits           Limits
	Rules            Rules
	OverQuotaWeight  float64 // factor on the PriorityWeight of a request over its tenant's quota
	WeightPerRequest bool    // PriorityWeight is per request, whatever its work; false: per ms of work
}

// State is the state of a server according to the endpoint list.
type State uint8

// The values of State. The zero value is Ready.
const (
	Ready    State = iota // may get requests
	Draining              // gets no new requests
	Gone                  // no longer listed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        ServerID
	Zone      int // index into Settings.Zones
	Cell      int // failure domain within the zone; its number must not recur in another zone
	State     State
	Size      float64       // capacity relative to other servers; positive
	StartedAt time.Duration // clock time of its last start; 0: long ago
}

// UpdateKind says how UpdateEndpoints interprets the entries that it gets.
type UpdateKind uint8

// The values of UpdateKind. All but UpdateFailed carry entries.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // all entries; a server that is missing is gone
	UpdateCached                   // all entries last known to this process, possibly stale
	UpdateFailed                   // no entries: discovery did not respond or closed the connection
)

// Request describes a client's request on arrival.
type Request struct {
	ID       RequestID
	Class    int           // index into Settings.Classes
	Tenant   int           // index into Settings.Tenants; any other value: no tenant
	Key      uint64        // identifies the data that the request needs, for Settings.KeyAffinity; 0: none
	Deadline time.Duration // clock time at which the client gives up
	CostHint float64       // expected work in ms; no hint if NaN, infinite or not positive
}

// Status says how an attempt or a health check ended.
type Status uint8

// The values of Status. Their order must match the names in the variable statuses.
const (
	OK            Status = iota // a response that the host counts as successful
	Error                       // any other response, including a malformed one
	Full                        // rejected by the server before execution
	Timeout                     // no response within the attempt's timeout
	ConnectFailed               // no connection was established
	Reset                       // the connection broke before the response
	Cancelled                   // cancelled by the balancer or its host
	NotSent                     // abandoned before it was written
)

var statuses = [...]string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "not_sent"}

// String returns the name of the status in logs and traces. It panics for values other than the constants.
func (s Status) String() string { return statuses[s] }

// NeverExecuted reports whether the status proves that the server did not execute the request.
func (s Status) NeverExecuted() bool {
	return s == Full || s == ConnectFailed || s == NotSent
}

// Outcome describes how one attempt ended.
type Outcome struct {
	ID          RequestID
	Attempt     int // attempt number: the attempts of a request count from 0, in sending order
	Server      ServerID
	Status      Status
	Latency     time.Duration // from the start of the attempt
	RequestDone bool          // the request has its final response, or its client is gone
}

// LoadReport is a server's report of its load from all balancers. It is already somewhat out of date when it
// arrives.
type LoadReport struct {
	Inflight           float64 // requests that the server has not completed yet
	CompletedPerSecond float64 // requests completed per second; 0: unknown
}

// Host carries out a Balancer's decisions, in the order of the calls. The Balancer calls its Host on the
// goroutine that delivers an event, before the event's method returns. The Host must not call the Balancer
// during such a call.
type Host interface {
	// StartAttempt starts the next attempt of a request. The attempt must end with an Outcome, after timeout
	// at the latest; a timeout of 0 means the client's deadline.
	StartAttempt(id RequestID, to ServerID, timeout time.Duration)
	// CancelAttempt cancels an attempt that is in flight. The attempt still ends with an Outcome.
	CancelAttempt(id RequestID, attempt int)
	// Reject gives the request its final response, which tells the client that a repeat is safe.
	// retryAfter is the delay to advise; 0: no advice.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail gives the request its final response, which does not tell whether the request was executed.
	Fail(id RequestID)
	// HealthCheck starts a health check of a server. Its result goes to Balancer.HealthCheckCompleted.
	HealthCheck(id ServerID)
	// WatchEndpoints subscribes to the endpoint list. The updates go to Balancer.UpdateEndpoints.
	WatchEndpoints()
	// SetTimer requests one call of Balancer.Timer with the token, after d.
	SetTimer(d time.Duration, token uint32)
}
