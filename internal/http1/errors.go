package http1

import "fmt"

// Error reports a message that is not accepted. All errors that Parser.Next returns are of type
// *Error.
type Error struct {
	Status int    // of the response, if the message is a request
	Reason string // for the log and the body of the response
}

// Error returns the reason and the status.
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
