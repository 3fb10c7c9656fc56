package emulator

import (
	"time"

	"piernotch"
)

// Observer is notified of what servers see. Its methods may be called from any goroutine, with a server's lock
// held, and must not call the Fleet: that could deadlock.
type Observer interface {
	// AttemptReceived says that a server has received an attempt completely (timeout 0: none). It returns
	// the attempt number, from 0, or -1 for a request that no client sent.
	AttemptReceived(id string, server int, timeout time.Duration) int
	// AttemptAccepted says that the server has accepted the attempt.
	AttemptAccepted(id string, attemptNumber int)
	// AttemptExecuted says that the server has executed the attempt, at least in part.
	AttemptExecuted(id string, attemptNumber int)
	// AttemptCompleted says that the attempt has ended for its connection. At most a response or a reset is still
	// to be written. If the connection ended first, the server may still execute the attempt.
	AttemptCompleted(id string, attemptNumber int, proof NeverExecuted)
	// SlowStartWork says that work (ms) of a request arrived at a server in slow start. started is the time of
	// the run at which the server's process started.
	SlowStartWork(id string, server int, started time.Duration, work float64)
	// ServerCollapsed says that a server collapsed under its load in slow start.
	ServerCollapsed(server int)
}

// NeverExecuted reports, for a completed attempt, whether its response proves that no part of it was executed.
// If false, the attempt may have been executed.
type NeverExecuted bool

// Notification is the state of one server that a balancer was notified of.
type Notification struct {
	Balancer   int
	Server     int
	State      piernotch.State
	StartedAt  time.Duration // time of the run at which the server's process started; 0: before the run
	Generation uint64        // of the list; if Overdue, of the change
	// Connection is the peer address of the connection that the list was written to. It is "" if the balancer only
	// counts as notified, after notifyLimit.
	Connection string
}

// Overdue reports whether the balancer only counts as notified, after notifyLimit: this notification does not come
// from a written list.
func (n Notification) Overdue() bool { return n.Connection == "" }

// EndpointNotified is called when discovery has written a server's state to a balancer, or the balancer counts
// as notified of that state. It may be called from any goroutine.
type EndpointNotified func(Notification)

// Clock returns the time since the start of the run. It may be called from any goroutine.
type Clock func() time.Duration
