package loadtest

import (
	"errors"
	"fmt"
)

// Errors of Run.
var (
	// ErrLinkFaultsWithSharedWatch is returned when faults of links and a shared watch are asked for.
	ErrLinkFaultsWithSharedWatch = errors.New(
		"faults of links cannot be played on balancers that share a watch: they reach servers at the same addresses",
	)
	// ErrBalancerExited is a balancer that ended though nobody had stopped it.
	ErrBalancerExited = errors.New("ended by itself")
	// ErrBalancerNotStarted is a balancer that ended before it was ready.
	ErrBalancerNotStarted = errors.New("did not start")
	// ErrBalancerNotReady is a balancer that runs and did not become ready in time.
	ErrBalancerNotReady = errors.New("is not ready")
)

// BalancerError is what went wrong with one balancer's process.
type BalancerError struct {
	Balancer int
	Stage    string // what was going on; "": its start or its service
	Err      error
	LastLog  string // the last lines of its log; "": none
}

// Error names the balancer and ends with the last lines of its log.
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
