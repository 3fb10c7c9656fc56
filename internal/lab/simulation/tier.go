package simulation

import (
	"time"

	"piernotch"
	"piernotch/internal/lab/servermodel"
)

// EventKind is what a balancer hears of.
type EventKind uint8

// Event kinds.
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

// Event is one thing that a balancer hears; which fields count depends on the kind.
type Event struct {
	Kind         EventKind
	Instance     int
	Seed         uint64                 // Start
	Settings     *piernotch.Settings    // Start
	Request      piernotch.Request      // Demand
	Retry        bool                   // Demand, where clients mark repeats
	ID           piernotch.RequestID    // Gone
	Outcome      piernotch.Outcome      // Verdict
	Backend      piernotch.BackendID    // Probed
	Status       piernotch.Status       // Probed
	Latency      time.Duration          // Probed
	Load         servermodel.LoadReport // Verdict, Probed
	HasLoad      bool
	ListKind     piernotch.UpdateKind // View
	Version      uint64               // View
	Entries      []piernotch.Endpoint // View
	MachineKinds []int                // View: the kind of each entry's machine
	Token        uint32               // Timer
}

// ActionKind is what a balancer asks for.
type ActionKind uint8

// Action kinds.
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

// Action is one thing that a balancer asks for.
type Action struct {
	Kind     ActionKind
	Instance int
	ID       piernotch.RequestID
	Backend  piernotch.BackendID
	Attempt  int
	Delay    time.Duration // Send: the time-out, Refuse: the advice, SetTimer
	Token    uint32
}

// Tier hosts the balancers' decisions.
type Tier interface {
	// Turn takes all that the balancers have heard up to now, in order of instances,
	// and returns what they ask for, in order. The slice is used again by the next
	// call. An error ends the run.
	Turn(now time.Duration, events []Event) ([]Action, error)
	Close() error
}
