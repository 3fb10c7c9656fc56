package simulation

import (
	"time"

	"piernotch"
	"piernotch/internal/lab/servermodel"
)

// EventKind determines which fields of an Event are set.
type EventKind uint8

// Event kinds. EventStart and EventStop begin and end a balancer's process.
const (
	EventStart EventKind = iota
	EventStop
	EventRequest
	EventClientGone
	EventAttemptCompleted
	EventHealthCheckCompleted
	EventEndpointList
	EventTimer
)

// Event is one input of a balancer. Which fields are set depends on the kind; the comment of a field
// names the kinds, without their prefix, that set it.
type Event struct {
	Kind        EventKind
	Balancer    int
	Seed        uint64                 // Start
	Settings    *piernotch.Settings    // Start
	Request     piernotch.Request      // Request
	Retry       bool                   // Request: marked as a retry by the client
	ID          piernotch.RequestID    // ClientGone
	Outcome     piernotch.Outcome      // AttemptCompleted
	Server      piernotch.ServerID     // HealthCheckCompleted
	Status      piernotch.Status       // HealthCheckCompleted
	Latency     time.Duration          // HealthCheckCompleted
	Load        servermodel.LoadReport // AttemptCompleted, HealthCheckCompleted: if HasLoad
	HasLoad     bool
	ListKind    piernotch.UpdateKind // EndpointList
	Version     uint64               // EndpointList
	Entries     []piernotch.Endpoint // EndpointList
	ServerKinds []int                // EndpointList: the kind of each entry's server
	Token       uint32               // Timer
}

// loadServer returns the server that made the event's load report.
func (e *Event) loadServer() piernotch.ServerID {
	if e.Kind == EventAttemptCompleted {
		return e.Outcome.Server
	}
	return e.Server
}

// ActionKind determines which fields of an Action are set.
type ActionKind uint8

// Action kinds. ActionFetchEndpoints and ActionCloseIdle come only from a Child.
const (
	ActionStartAttempt ActionKind = iota
	ActionCancelAttempt
	ActionReject
	ActionFail
	ActionHealthCheck
	ActionWatchEndpoints
	ActionFetchEndpoints
	ActionSetTimer
	ActionCloseIdle
)

// Action is one output of a balancer.
type Action struct {
	Kind     ActionKind
	Balancer int
	ID       piernotch.RequestID
	Server   piernotch.ServerID
	Attempt  int
	Delay    time.Duration // StartAttempt: timeout, Reject: Retry-After, SetTimer: delay
	Token    uint32
}

// Tier runs the decisions of all balancers. A World calls it from its own goroutine.
type Tier interface {
	// Turn passes the balancers' events since the last turn, in order of balancer index, and returns the
	// balancers' actions, in order. The returned slice is valid until the next call. An error ends the run.
	Turn(now time.Duration, events []Event) ([]Action, error)
	// Close releases the resources of the tier. It is called once, after the last Turn.
	Close() error
}
