package upstream

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/eventloop"
)

// Regression: a shortage of descriptors or memory on this machine counted as failed connections of every server, which
// ejected them all and had them return in slow start.
func TestShortageOnThisMachineIsNoFailureOfServer(t *testing.T) {
	dialError := func(errno syscall.Errno) error { return &net.OpError{Op: "dial", Err: errno} }
	for _, test := range []struct {
		stage Stage
		err   error
		want  piernotch.Status
	}{
		{Connecting, dialError(syscall.EMFILE), piernotch.NotSent},
		{Connecting, dialError(syscall.ENOBUFS), piernotch.NotSent},
		{Connecting, eventloop.ErrDescriptorsExhausted, piernotch.NotSent},
		{Writing, syscall.ENOMEM, piernotch.NotSent},
		{Connecting, dialError(syscall.ECONNREFUSED), piernotch.ConnectFailed},
		{Connecting, errors.New("timeout"), piernotch.ConnectFailed},
		{Writing, syscall.ECONNRESET, piernotch.ConnectFailed},
		{AwaitingResponse, syscall.ENOMEM, piernotch.Reset},
		{Malformed, syscall.ENOMEM, piernotch.Error},
	} {
		t.Run(fmt.Sprintf("%v %v", test.stage, test.err), func(t *testing.T) {
			err := &AttemptError{Stage: test.stage, Err: test.err}
			require.Equal(t, test.want, err.Status())
		})
	}
}
