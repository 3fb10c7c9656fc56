package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
)

// After a Shutdown clients send requests on their open connections for as long as the process lives.
// These get a response before the platform may kill it, however long their clients would wait.
func TestRequestsAfterShutdownGetResponseBeforeKill(t *testing.T) {
	for _, tc := range []struct{ deadline, killAfter time.Duration }{
		{2 * time.Second, 2700 * time.Millisecond},
		{6 * time.Second, 3700 * time.Millisecond},
	} {
		class := newClass("c", piernotch.NonIdempotent)
		class.Deadline, class.LatencyObjective = tc.deadline, tc.deadline
		c, now := newCoreWithHistory(t, class, piernotch.Limits{MaxAttempts: 1, CancelAttempts: true})
		c.Handle(now, Shutdown{})
		kill := now + tc.killAfter
		now += 1500 * time.Millisecond
		request := RequestReceived{Exchange: 1, ID: "1", CostHint: 1, Deadline: now + tc.deadline}
		attempt := c.Handle(now, request)[0].(StartAttempt)
		c.Handle(now, AttemptConnected{attempt.Ref})
		responded := false
		for ; now < kill && !responded; now += TickInterval {
			for _, e := range c.Handle(now, Tick{}) {
				_, isResponse := e.(Respond)
				responded = responded || isResponse
			}
		}
		require.True(t, responded, tc.deadline)
	}
}
