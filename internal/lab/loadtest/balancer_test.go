package loadtest

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/faultproxy"
)

// A balancer that is killed right after its start, by the next fault of a schedule, must not count as one that does
// not start.
func TestProcessKilledInItsStartIsNotAFailedStart(t *testing.T) {
	t.Parallel()
	address, err := faultproxy.FreeAddress()
	require.NoError(t, err)
	killed := &balancer{program: "sleep", args: []string{"60"}, dir: t.TempDir(), address: address}
	go func() { // ends once the process has been started
		for killed.current() == nil {
			time.Sleep(time.Millisecond)
		}
		killed.signal(syscall.SIGKILL)
	}()
	require.ErrorIs(t, killed.start(context.Background()), errStoppedInStart)
}
