package downstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request that waited during a stall of the process must not count as new, or its response would come too late.
func TestArrivalTimeAfterAStall(t *testing.T) {
	now := time.Minute
	d := newDownstreamWithClock(func() time.Duration { return now })
	require.Equal(t, now, d.arrivalTime())

	d.Stalled(time.Second)
	require.Equal(t, time.Minute-time.Second, d.arrivalTime())

	now += stallReadTime - 1
	d.Stalled(10 * time.Millisecond) // data that arrived in the first stall may still be unread
	require.Equal(t, time.Minute-time.Second, d.arrivalTime())

	now += stallReadTime
	require.Equal(t, now, d.arrivalTime())
}
