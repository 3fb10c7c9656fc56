package transport

import (
	"errors"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
	"piernotch/internal/controlgroup/watch"
)

// Errors of a connection. They are wrapped with what was received.
var (
	ErrInvalidFrame     = errors.New("invalid frame")
	ErrIncompatiblePeer = errors.New("incompatible peer")
	ErrClosed           = errors.New("connection is closed")
)

// ErrorCode is the error of a response as it is sent. 0 is no error.
type ErrorCode uint8

// errorsByCode has the error of each code. Codes are part of the wire format: new ones go to the end.
var errorsByCode = []error{
	nil,
	lease.ErrHeld,
	lease.ErrNotHeld,
	protocol.ErrNotLeader,
	protocol.ErrOutcomeUnknown,
	protocol.ErrOverloaded,
	protocol.ErrNameInUse,
	watch.ErrVersionGap,
	watch.ErrStaleToken,
	watch.ErrTooLarge,
}

// codeOutcomeUnknown stands for every error without a code of its own.
const codeOutcomeUnknown ErrorCode = 4

// ErrorCodeOf returns the code of an error, that of protocol.ErrOutcomeUnknown for one without a code.
func ErrorCodeOf(err error) ErrorCode {
	if err == nil {
		return 0
	}
	for code, known := range errorsByCode {
		if known != nil && errors.Is(err, known) {
			return ErrorCode(code)
		}
	}
	return codeOutcomeUnknown
}

// Err returns the error of a code: nil for 0, protocol.ErrOutcomeUnknown for a code that this program
// does not know.
func (c ErrorCode) Err() error {
	if int(c) < len(errorsByCode) {
		return errorsByCode[c]
	}
	return protocol.ErrOutcomeUnknown
}
