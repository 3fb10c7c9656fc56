package client

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/group"
	"piernotch/internal/group/watch"
)

// A balancer that was sent to another discovery does not rely on a holder that asks the old one.
func TestAHolderAtAnotherDiscoveryIsNotReliedOn(t *testing.T) {
	m := Start(group.Config{
		Name: "g", Self: "a", LeaseDuration: time.Second, Watch: "watch", Voters: []group.Voter{{Name: "v", Address: "127.0.0.1:1"}},
	}, nil)
	defer m.Close(0)
	took := 0
	l := m.SharedWatch("old", func(group.WatchEvent) { took++ })
	hear := func() (asks bool) {
		m.mu.Lock()
		m.lists.heard(1, group.WatchEvent{Source: "old", Whole: true, ToVersion: 1})
		m.mu.Unlock()
		asks, _ = l.ShouldPoll("old")
		return asks
	}
	require.False(t, hear())
	require.Equal(t, 1, took)
	l.ShouldPoll("new")
	m.mu.Lock()
	m.lists.follower.Heartbeat(-watch.DefaultTiming.HeartbeatTimeout-watch.DefaultTiming.TimeoutJitter, 1) // long ago
	m.lists.heard(1, group.WatchEvent{Source: "old", Whole: true, ToVersion: 2})
	m.mu.Unlock()
	asks, _ := l.ShouldPoll("new")
	require.True(t, asks)
	require.Equal(t, 1, took)
}
