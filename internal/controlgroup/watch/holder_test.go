package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHolderSendsNoHeartbeatWhileItsPollsFail(t *testing.T) {
	h := NewHolder(DefaultTiming, 0)
	require.True(t, h.HeartbeatDue(time.Second))
	require.False(t, h.HeartbeatDue(time.Second+1))
	h.PollFailed()
	require.False(t, h.HeartbeatDue(2*time.Second))
	h.PollSucceeded(3 * time.Second)
	require.True(t, h.HeartbeatDue(3*time.Second))
	require.False(t, h.HeartbeatDue(3*time.Second+DefaultTiming.PollTimeout))
}
