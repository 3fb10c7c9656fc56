package http1

import "fmt"

// Error is a message that is not accepted. It is the type of all errors that
// Parser.Next returns.
type Error struct {
	Status int    // of the response to a request that fails so
	Reason string // for the log and the response's body
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Reason, e.Status) }

func badRequest(reason string) *Error {
	return &Error{Status: StatusBadRequest, Reason: reason}
}

func fieldsTooLarge(reason string) *Error {
	return &Error{Status: StatusRequestHeaderFieldsTooLarge, Reason: reason}
}

func bodyTooLarge() *Error {
	return &Error{Status: StatusContentTooLarge, Reason: "body too large"}
}
