package eventloop

import (
	"errors"
	"slices"
	"syscall"
)

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

// localErrors are errors of dials and writes that report a shortage on this machine.
var localErrors = []error{
	ErrDescriptorsExhausted, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
}

// IsLocal reports whether an error of a dial or write shows a shortage on this machine, such as of descriptors or
// memory. It says nothing about the peer.
func IsLocal(err error) bool {
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(err, local) })
}

// isShortage reports whether a read failed for lack of memory. The connection and its data are still there.
func isShortage(err error) bool {
	return errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS)
}
