package transport

import (
	"errors"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
	"piernotch/internal/controlgroup/watch"
)

// Errors of a connection. ErrInvalidFrame and ErrIncompatiblePeer are wrapped with the cause.
var (
	ErrInvalidFrame     = errors.New("invalid frame")
	ErrIncompatiblePeer = errors.New("incompatible peer")
	ErrClosed           = errors.New("connection is closed")
)

// ErrorCode encodes the error of a response. 0 means no error.
type ErrorCode uint8

// errorsByCode lists the error of each code. The index is the code on the wire: new errors go to the end.
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

// codeOutcomeUnknown is the index of protocol.ErrOutcomeUnknown in errorsByCode.
const codeOutcomeUnknown ErrorCode = 4

// ErrorCodeOf returns the code of an error: 0 for nil, and codeOutcomeUnknown for an error without a code.
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

// Err returns the error of a code: nil for 0, and protocol.ErrOutcomeUnknown for an unknown code.
func (c ErrorCode) Err() error {
	if int(c) < len(errorsByCode) {
		return errorsByCode[c]
	}
	return protocol.ErrOutcomeUnknown
}
