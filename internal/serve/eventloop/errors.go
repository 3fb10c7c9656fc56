package eventloop

import "errors"

// ErrDescriptorsExhausted is the error of a dial that would exceed the descriptor limit.
var ErrDescriptorsExhausted = errors.New("descriptor limit reached")

var (
	// errPeerClosed marks an orderly close that Loop.read has seen. nbio itself reports io.EOF for
	// any close by the peer, even after a reset with nothing left to read.
	errPeerClosed = errors.New("end of the connection")
	// errBroken is passed to Handler.Closed if nbio reports io.EOF for a connection before Loop.read
	// has seen its end.
	errBroken = errors.New("connection broken")
)
