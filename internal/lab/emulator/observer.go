package emulator

import (
	"time"

	"piernotch"
)

// Observer is notified of what servers see. Its methods may be called from any goroutine, with a server
// locked, and must not call back.
type Observer interface {
	// AttemptReceived says that an attempt of a request has arrived in full. It returns the attempt's
	// number among those of the request, from 0; -1 for a request that nobody sent.
	AttemptReceived(id string, server int) int
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

// EndpointNotified is called when discovery has written a server's state to a balancer. The server started
// at a time of the run. It may be called from any goroutine.
type EndpointNotified func(balancer, server int, state piernotch.State, startedAt time.Duration)

// Clock returns the time since the start of the run. It may be called from any goroutine.
type Clock func() time.Duration
