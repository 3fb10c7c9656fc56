package downstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/core"
)

// What is read shortly after a stall may have arrived when it began.
func TestArrivalTimeAfterAStall(t *testing.T) {
	now := time.Minute
	d := New(func(core.Event) {}, func() time.Duration { return now }, func() bool { return true }, 256)
	require.Equal(t, now, d.arrivalTime())

	d.Stalled(time.Second)
	require.Equal(t, time.Minute-time.Second, d.arrivalTime())

	now += stallReadTime - 1
	d.Stalled(10 * time.Millisecond) // what came in the first stall may still not have been read
	require.Equal(t, time.Minute-time.Second, d.arrivalTime())

	now += stallReadTime
	require.Equal(t, now, d.arrivalTime())
}
