package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
)

// After a Shutdown, clients may send requests on open connections until the process ends. Such a request
// must get its response before the platform may kill the process, even if its deadline is later.
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

// A request that was open when the shutdown began, and whose server did not respond, never got a response. The
// platform waits for the longest deadline, but for no more than 3 s, and the core applied this limit only to
// requests that it received after the shutdown had begun.
func TestRequestsOpenAtShutdownGetResponseBeforeKill(t *testing.T) {
	class := newClass("c", piernotch.NonIdempotent)
	class.Deadline, class.LatencyObjective = 6*time.Second, 6*time.Second
	c, now := newCoreWithHistory(t, class, piernotch.Limits{MaxAttempts: 1, CancelAttempts: true})
	request := RequestReceived{Exchange: 1, ID: "1", CostHint: 1, Deadline: now + class.Deadline}
	attempt := c.Handle(now, request)[0].(StartAttempt)
	c.Handle(now, AttemptConnected{attempt.Ref})
	now += 10 * time.Millisecond
	c.Handle(now, Shutdown{})
	kill := now + 3700*time.Millisecond
	var response *Respond
	for ; now < kill && response == nil; now += TickInterval {
		for _, effect := range c.Handle(now, Tick{}) {
			if respond, ok := effect.(Respond); ok {
				response = &respond
			}
		}
	}
	require.NotNil(t, response)
	require.Equal(t, Failed, response.Result, "it may have run")
	require.Zero(t, c.PendingRequests())
}
