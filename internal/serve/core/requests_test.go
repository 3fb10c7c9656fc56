package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
)

// The module ignores a request of a class that it does not know. The client must still get one response
// shortly after the deadline: Failed, since the core cannot promise that the request was not executed.
func TestRequestLeftOpenByModuleFailsAtDeadline(t *testing.T) {
	c := newCore(t)
	require.Empty(t, c.Handle(start, RequestReceived{Exchange: 7, Class: 99, Deadline: start + time.Second}))
	require.NotContains(t, c.Handle(start+time.Second-TickInterval, Tick{}), Exit{})
	require.Equal(t, 1, c.PendingRequests())
	effects := c.Handle(start+time.Second+2*TickInterval, Tick{})
	require.Contains(t, effects, Respond{Exchange: 7, Result: Failed, LastStatus: piernotch.NotSent})
	require.Zero(t, c.PendingRequests())
	require.Empty(t, c.requests)
}

// A response that arrives after its request was closed must have no effect.
func TestRequestGetsOneResponse(t *testing.T) {
	c := newCore(t)
	attempt := receive(c)[0].(StartAttempt)
	require.Contains(t, c.Handle(start, AttemptConnected{attempt.Ref}), WriteAttempt{attempt.Ref})
	require.Contains(t, c.Handle(start, ClientDisconnected{1}), CancelAttempt{attempt.Ref})
	require.Empty(
		t,
		c.Handle(start, AttemptCompleted{Ref: attempt.Ref, Status: piernotch.OK, Response: &ResponseMessage{}}),
	)
	require.Empty(t, c.requests)
	require.Len(t, receive(c), 1, "the client may use the ID again")
}
