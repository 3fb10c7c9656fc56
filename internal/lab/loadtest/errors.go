package loadtest

import (
	"errors"
	"fmt"
)

// Errors of Run.
var (
	// ErrLinkFaultsWithSharedWatch is returned if Options has both faults of links and a VoterProgram.
	ErrLinkFaultsWithSharedWatch = errors.New(
		"faults of links cannot be played on balancers that share a watch: they reach servers at the same addresses",
	)
	// ErrBalancerExited means that the current process of a balancer exited without being told to.
	ErrBalancerExited = errors.New("ended by itself")
	// ErrMemoryExceeded means that a process was killed because it passed the memory limit in its configuration.
	ErrMemoryExceeded = errors.New("passed its memory limit")
	// ErrBalancerNotStarted means that a balancer's process exited before it was ready.
	ErrBalancerNotStarted = errors.New("did not start")
	// ErrBalancerNotReady means that a balancer's process runs but was not ready after startPolls health checks.
	ErrBalancerNotReady = errors.New("is not ready")
)

// UnknownCrowdError names a kind of crowd that does not exist.
type UnknownCrowdError struct{ Kind string }

func (e *UnknownCrowdError) Error() string { return fmt.Sprintf("unknown kind of crowd: %q", e.Kind) }

// BalancerError is a failure of one balancer's process.
type BalancerError struct {
	Balancer int
	Stage    string // part of the test, such as a handover; "": the balancer's start or service
	Err      error
	LastLog  string // the last lines of the balancer's log; "": none
}

// Error names the balancer, the stage and the cause, and quotes LastLog.
func (e *BalancerError) Error() string {
	text := fmt.Sprintf("balancer %d", e.Balancer)
	if e.Stage != "" {
		text += ", " + e.Stage
	}
	text += fmt.Sprintf(": %v", e.Err)
	if e.LastLog != "" {
		text += "; last log lines:\n" + e.LastLog
	}
	return text
}

// Unwrap returns the cause.
func (e *BalancerError) Unwrap() error { return e.Err }
