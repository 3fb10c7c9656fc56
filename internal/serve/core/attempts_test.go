package core

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/overrides"
)

// An attempt that waited for its connection while its server began to drain must not be sent.
func TestAttemptIsNotWrittenToDrainingServer(t *testing.T) {
	c := newCore(t)
	attempt := receive(c)[0].(StartAttempt)
	c.Handle(start, EndpointUpdate{
		Kind: piernotch.UpdateDelta, Endpoints: []DiscoveredEndpoint{listedServer(piernotch.Draining)},
	})
	effects := c.Handle(start, AttemptConnected{attempt.Ref})
	require.Contains(t, effects, CancelAttempt{attempt.Ref})
	require.NotContains(t, effects, WriteAttempt{attempt.Ref})
	require.Contains(t, effects, Respond{Exchange: 1, Result: Rejected}, "it is known that it never ran")
}

// An attempt that waited for its connection while its server was excluded must not be sent. The
// command's result must follow the persisting of the overrides.
func TestAttemptIsNotWrittenToExcludedServer(t *testing.T) {
	c := newCore(t)
	attempt := receive(c)[0].(StartAttempt)
	effects := c.Handle(start, AdminCommand{Call: 7, Action: overrides.Exclude, Server: "s-1"})
	require.Equal(t, []Effect{
		CloseIdle{Endpoint{attempt.To.Server, "127.0.0.1:1"}}, PersistOverrides{}, AdminResult{Call: 7},
	}, effects)
	effects = c.Handle(start, AttemptConnected{attempt.Ref})
	require.Equal(t, CancelAttempt{attempt.Ref}, effects[0])
	require.Equal(t, Rejected, effects[1].(Respond).Result)
	effects = c.Handle(start, AdminCommand{Call: 8, Action: overrides.Exclude, Server: "s-9"})
	require.Equal(t, []Effect{AdminResult{8, overrides.ErrUnknownServer}}, effects)
	effects = c.Handle(start, AdminCommand{Call: 9, Action: overrides.Evacuate})
	require.Equal(t, []Effect{DrainClients{true}, PersistOverrides{}, AdminResult{Call: 9}}, effects)
}

// A hedged attempt that gets its connection after the response must not be sent.
func TestHedgedAttemptIsNotWrittenAfterResponse(t *testing.T) {
	limits := piernotch.Limits{MaxAttempts: 2, HedgedRequests: true, CancelAttempts: true}
	c, now := newCoreWithHistory(t, newClass("c", piernotch.Idempotent), limits)
	first := startRequest(c, now, 1)
	c.Handle(now, AttemptConnected{first.Ref})
	hedged, now := awaitAttempt(t, c, now)
	require.Equal(t, first.Ref.Request, hedged.Ref.Request)
	effects := c.Handle(now, AttemptCompleted{Ref: first.Ref, Status: piernotch.OK})
	require.Equal(t, Served, effects[0].(Respond).Result)
	require.Contains(t, effects, CancelAttempt{hedged.Ref})
	require.NotContains(t, c.Handle(now, AttemptConnected{hedged.Ref}), WriteAttempt{hedged.Ref})
	require.Empty(t, c.requests)
}

// An attempt that is waiting for its connection when its client disconnects must not be sent,
// even if the settings do not allow attempts to be cancelled.
func TestAttemptIsNotWrittenAfterClientDisconnected(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		limits := piernotch.Limits{MaxAttempts: 2, CancelAttempts: cancel}
		c, now := newCoreWithHistory(t, newClass("c", piernotch.Idempotent), limits)
		attempt := startRequest(c, now, 1)
		require.Contains(t, c.Handle(now, ClientDisconnected{1}), CancelAttempt{attempt.Ref})
		require.NotContains(t, c.Handle(now, AttemptConnected{attempt.Ref}), WriteAttempt{attempt.Ref})
		require.Empty(t, c.requests)
	}
}

// A retry must not be written if the deduplication window has closed while the retry waited for its
// connection.
func TestRetryIsNotWrittenOutsideDedupWindow(t *testing.T) {
	class := newClass("c", piernotch.IdempotencyKey)
	class.DedupWindow = 300 * time.Millisecond
	for _, tc := range []struct {
		connectedAfter time.Duration
		written        bool
	}{
		{290 * time.Millisecond, true},
		{301 * time.Millisecond, false},
	} {
		c, sent := newCoreWithHistory(t, class, piernotch.Limits{MaxAttempts: 3, CancelAttempts: true})
		first := startRequest(c, sent, 1)
		c.Handle(sent, AttemptConnected{first.Ref})
		effects := c.Handle(sent+10*time.Millisecond, AttemptCompleted{Ref: first.Ref, Status: piernotch.Reset})
		retry := effects[0].(StartAttempt)
		effects = slices.Clone(c.Handle(sent+tc.connectedAfter, AttemptConnected{retry.Ref}))
		if tc.written {
			require.Contains(t, effects, WriteAttempt{retry.Ref})
			continue
		}
		require.NotContains(t, effects, WriteAttempt{retry.Ref})
		result := effects[1].(Respond).Result
		require.Equal(t, Rejected, result, "within the window of its own retry, repeats do no harm")
	}
}

// An attempt that waited for its connection while its server moved or restarted must not be sent: another process may
// have come up at the address.
func TestAttemptIsNotWrittenToAnotherProcess(t *testing.T) {
	moved, restarted := listedServer(piernotch.Ready), listedServer(piernotch.Ready)
	moved.Address = "127.0.0.1:9"
	restarted.Endpoint.StartedAt = start - time.Second
	for name, listed := range map[string]DiscoveredEndpoint{"moved": moved, "restarted": restarted} {
		t.Run(name, func(t *testing.T) {
			c := newCore(t)
			attempt := receive(c)[0].(StartAttempt)
			c.Handle(start, EndpointUpdate{Kind: piernotch.UpdateDelta, Endpoints: []DiscoveredEndpoint{listed}})
			effects := c.Handle(start, AttemptConnected{attempt.Ref})
			require.Contains(t, effects, CancelAttempt{attempt.Ref})
			require.NotContains(t, effects, WriteAttempt{attempt.Ref})
		})
	}
}
