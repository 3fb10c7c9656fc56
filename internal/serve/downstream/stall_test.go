package downstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/core"
)

// A request that waited during a stall of the process must not count as new, or its response would come too late.
func TestArrivalTimeAfterAStall(t *testing.T) {
	now := time.Minute
	d := New(func(core.Event) {}, func() time.Duration { return now }, func() bool { return true }, 256)
	require.Equal(t, now, d.arrivalTime())

	d.Stalled(time.Second)
	require.Equal(t, time.Minute-time.Second, d.arrivalTime())

	now += stallReadTime - 1
	d.Stalled(10 * time.Millisecond) // data that arrived in the first stall may still be unread
	require.Equal(t, time.Minute-time.Second, d.arrivalTime())

	now += stallReadTime
	require.Equal(t, now, d.arrivalTime())
}
