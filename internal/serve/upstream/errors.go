package upstream

import (
	"errors"
	"fmt"
	"time"

	"piernotch"
	"piernotch/internal/serve/eventloop"
)

// Causes of an AttemptError that are detected here, not by the event loop or the parser.
var (
	errUnsolicitedData = errors.New("data received while no response was due")
	errClosedByServer  = errors.New("closed by the server")
	errResponseStalled = errors.New("response stalled")
)

// Stage is how far an attempt had come when it failed. The constants are in the
// order in which an attempt reaches them, except Malformed.
type Stage uint8

// The server may have executed the request if the stage is AwaitingResponse or later.
const (
	Connecting       Stage = iota // nothing of the request had been written
	Writing                       // the request's last byte was unsent, so the server cannot have executed it
	AwaitingResponse              // the request had been written, no byte of a response had arrived
	ReadingResponse               // part of a response had arrived
	Malformed                     // the response could not be parsed, stalled, or belonged to an earlier request
)

var stageNames = [...]string{"connecting", "writing", "awaiting_response", "reading_response", "malformed"}

// String returns the stage's name as logged under the key "stage".
func (s Stage) String() string { return stageNames[s] }

// AttemptError is the failure of an attempt or a health check that got no valid
// response. Its stage tells whether the server may have executed the request.
type AttemptError struct {
	Stage      Stage
	Address    string        // server's address
	Connection int           // number of the connection in this process; 0: none was established
	Responses  int           // number of responses that the connection had carried before
	IdleFor    time.Duration // how long the connection had been idle before the attempt
	Err        error
}

// Error returns the server's address, the stage and the cause.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("%s while %s: %v", e.Address, e.Stage, e.Err)
}

// Unwrap returns Err, for errors.Is and errors.As.
func (e *AttemptError) Unwrap() error { return e.Err }

// Status classifies the failure for the core and the decision module.
func (e *AttemptError) Status() piernotch.Status {
	switch {
	case e.Stage < AwaitingResponse && eventloop.IsLocal(e.Err): // says nothing about the server
		return piernotch.NotSent
	case e.Stage < AwaitingResponse:
		return piernotch.ConnectFailed
	case e.Stage == Malformed: // the connection was up, so unlike a reset this is no sign of a restarted server
		return piernotch.Error
	default:
		return piernotch.Reset
	}
}
