package eventloop

import "errors"

// ErrDescriptorsExhausted says that the descriptor limit is reached.
var ErrDescriptorsExhausted = errors.New("descriptor limit reached")

var (
	// errPeerClosed is the orderly end of a connection, once it was read. The poller itself reports
	// io.EOF for any end, also where a reset has come and nothing is left to be read.
	errPeerClosed = errors.New("end of the connection")
	// errBroken is passed to the handler for an end of the poller's that was not read.
	errBroken = errors.New("connection broken")
)
