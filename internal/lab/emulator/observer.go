package emulator

import (
	"time"

	"piernotch"
)

// Observer is notified of what servers see. Its methods may be called from any goroutine, with a server
// locked, and must not call back.
type Observer interface {
	// AttemptReceived says that an attempt of a request has arrived in full, and the timeout that came with it,
	// 0 for none. It returns the attempt's number among those of the request, from 0; -1 for a request that
	// nobody sent.
	AttemptReceived(id string, server int, timeout time.Duration) int
	// AttemptAccepted says that the server has admitted it.
	AttemptAccepted(id string, attemptNumber int)
	// AttemptExecuted says that it has run, at least in part.
	AttemptExecuted(id string, attemptNumber int)
	// AttemptCompleted says that its connection is done with it.
	AttemptCompleted(id string, attemptNumber int, proof NeverExecuted)
	// SlowStartWork says that work (ms) of a request arrived at a server in slow start, which started at a
	// time of the run.
	SlowStartWork(id string, server int, started time.Duration, work float64)
	// ServerCollapsed says that a server in slow start collapsed under its load.
	ServerCollapsed(server int)
}

// NeverExecuted says of a completed attempt that its response proved that no part of it was executed.
// Without the proof the attempt may have been executed.
type NeverExecuted bool

// Notification is what a balancer was notified of about one server.
type Notification struct {
	Balancer   int
	Server     int
	State      piernotch.State
	StartedAt  time.Duration // time of the run at which the server's process started; 0: before the run
	Generation uint64        // of the list that says so
	// Connection is the address of the peer that discovery wrote the list to. "": nothing was written, but
	// the balancer counts as notified because it had notifyLimit to ask.
	Connection string
}

// Overdue reports whether the balancer only counts as notified.
func (n Notification) Overdue() bool { return n.Connection == "" }

// EndpointNotified is called when discovery has written a server's state to a balancer, or the balancer counts
// as notified of it. It may be called from any goroutine.
type EndpointNotified func(Notification)

// Clock returns the time since the start of the run. It may be called from any goroutine.
type Clock func() time.Duration
