package upstream

import (
	"errors"
	"fmt"
	"time"

	"piernotch"
)

// Causes of an AttemptError that are found here, not by the event loop.
var (
	errUnsolicitedData = errors.New("data received while no response was due")
	errClosedByServer  = errors.New("closed by the server")
	errResponseStalled = errors.New("response stalled")
)

// Stage is how far an attempt had come when it failed. The stages are in the
// order in which an attempt reaches them, except Malformed.
type Stage uint8

// The stages of an attempt.
const (
	Connecting       Stage = iota // nothing of the request had been written
	Writing                       // the request's last byte had not been written: it cannot have run
	AwaitingResponse              // the request had been written, no byte of a response had arrived
	ReadingResponse               // part of a response had arrived
	Malformed                     // a response arrived that cannot be parsed, or stalled
)

var stageNames = [...]string{"connecting", "writing", "awaiting_response", "reading_response", "malformed"}

// String returns the stage's name in the log.
func (s Stage) String() string { return stageNames[s] }

// AttemptError is the end of an attempt, or of a health check, without a
// response. Its stage decides whether the request may have run.
type AttemptError struct {
	Stage      Stage
	Address    string        // of the server
	Connection int           // its number in this process; 0: none was established
	Responses  int           // that the connection had carried before
	IdleFor    time.Duration // how long the connection had been idle before the attempt
	Err        error
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("%s while %s: %v", e.Address, e.Stage, e.Err)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// Status returns the attempt's outcome as the balancer classifies it.
func (e *AttemptError) Status() piernotch.Status {
	switch {
	case e.Stage < AwaitingResponse:
		return piernotch.ConnectFailed
	case e.Stage == Malformed: // the connection was up: the server has not restarted
		return piernotch.Error
	default:
		return piernotch.Reset
	}
}
