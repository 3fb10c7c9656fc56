package client

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/watch"
)

// startUnconnected starts a client that shares a watch and reaches no voter. It is closed when the test ends.
func startUnconnected(t *testing.T) *Client {
	t.Helper()
	c := Start(controlgroup.Config{
		Name: "g", Self: "a", LeaseDuration: time.Second, WatchDuty: "watch",
		Voters: []controlgroup.Voter{{Name: "v", Address: "127.0.0.1:1"}},
	}, nil)
	t.Cleanup(func() { c.Close(0) })
	return c
}

// A holder whose list is too large to be published must not go on with heartbeats for the version before: the others
// would rely on it and miss the change.
func TestListTooLargeToBePublishedEndsHeartbeats(t *testing.T) {
	c := startUnconnected(t)
	shared := c.SharedWatch("d", func(controlgroup.WatchEvent) {})
	hasEvents := func() bool { // heartbeats are sent for the last event of the log
		c.mu.Lock()
		defer c.mu.Unlock()
		_, _, hasEvents := c.sharedWatch.log.Version()
		return hasEvents
	}
	tooLarge := make([]byte, watch.MaxBodySize+1)
	shared.Publish(controlgroup.WatchEvent{Source: "d", Complete: true, ToVersion: 1})
	require.True(t, hasEvents())
	shared.Publish(controlgroup.WatchEvent{Source: "d", FromVersion: 1, ToVersion: 2, Body: tooLarge})
	require.False(t, hasEvents())
	shared.Publish(controlgroup.WatchEvent{Source: "d", Complete: true, ToVersion: 3, Body: tooLarge})
	require.False(t, hasEvents())
	require.Equal(t, "d", c.sharedWatch.oversizedSource, "no complete list is requested over and over")
	shared.Publish(controlgroup.WatchEvent{Source: "d", FromVersion: 3, ToVersion: 4})
	require.Empty(t, c.sharedWatch.oversizedSource, "after a change the list is requested again")
	shared.Publish(controlgroup.WatchEvent{Source: "d", Complete: true, ToVersion: 4})
	require.True(t, hasEvents())
}

// A balancer whose settings change to another discovery must poll for itself, and not rely on a holder that
// still polls the old one.
func TestHolderPollingAnotherDiscoveryIsIgnored(t *testing.T) {
	c := startUnconnected(t)
	updates := 0
	shared := c.SharedWatch("old", func(controlgroup.WatchEvent) { updates++ })
	receive := func(version uint64) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sharedWatch.handleEventLocked(1, controlgroup.WatchEvent{Source: "old", Complete: true, ToVersion: version})
	}
	receive(1)
	polls, _ := shared.ShouldPoll("old")
	require.False(t, polls)
	require.Equal(t, 1, updates)

	shared.ShouldPoll("new")
	c.mu.Lock()
	longAgo := -watch.DefaultTiming.HeartbeatTimeout - watch.DefaultTiming.TimeoutJitter
	c.sharedWatch.follower.EventReceived(longAgo, 1)
	c.mu.Unlock()
	receive(2)
	polls, _ = shared.ShouldPoll("new")
	require.True(t, polls)
	require.Equal(t, 1, updates)
}
