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
		Name: "g", Self: "a", Length: time.Second, Watch: "watch", Voters: []group.Voter{{Name: "v", Address: "127.0.0.1:1"}},
	}, nil)
	defer m.Close(0)
	took := 0
	l := m.Lists("old", func(group.Post) { took++ })
	hear := func() (asks bool) {
		m.mu.Lock()
		m.lists.heard(1, group.Post{Source: "old", Whole: true, To: 1})
		m.mu.Unlock()
		asks, _ = l.Asks("old")
		return asks
	}
	require.False(t, hear())
	require.Equal(t, 1, took)
	l.Asks("new")
	m.mu.Lock()
	m.lists.follower.Word(-watch.Default.Silent-watch.Default.Spread, 1) // long ago
	m.lists.heard(1, group.Post{Source: "old", Whole: true, To: 2})
	m.mu.Unlock()
	asks, _ := l.Asks("new")
	require.True(t, asks)
	require.Equal(t, 1, took)
}
