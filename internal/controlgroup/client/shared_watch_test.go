package client

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/watch"
)

// A balancer whose settings change to another discovery must poll for itself, and not rely on a holder that
// still polls the old one.
func TestHolderPollingAnotherDiscoveryIsIgnored(t *testing.T) {
	c := Start(controlgroup.Config{
		Name: "g", Self: "a", LeaseDuration: time.Second, WatchDuty: "watch",
		Voters: []controlgroup.Voter{{Name: "v", Address: "127.0.0.1:1"}},
	}, nil)
	defer c.Close(0)
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
