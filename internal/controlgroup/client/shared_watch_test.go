package client

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/lease"
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

// receive passes an event of another holder to the client.
func receive(c *Client, token lease.Token, event controlgroup.WatchEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sharedWatch.handleEventLocked(token, event)
}

// expireDeadline lets the time pass within which the last event keeps this balancer from polling.
func expireDeadline(c *Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	longAgo := -watch.DefaultTiming.HeartbeatTimeout - watch.DefaultTiming.TimeoutJitter
	c.sharedWatch.follower.EventReceived(longAgo, 0)
}

// hold makes the client the holder of the watch's duty under a token, as the group's response does.
func hold(t *testing.T, c *Client, token lease.Token) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acquire("watch")
	request, isDue := c.holders["watch"].NextRequest(c.now(), time.Second)
	require.True(t, isDue)
	c.holders["watch"].HandleResponse(c.now(), request.Seq, lease.Grant{Duty: "watch", Token: token}, nil)
	c.sharedWatch.tickLocked(c.now())
}

// logVersion returns the last version of the client's own log, and whether the log has any event.
func logVersion(c *Client) (version uint64, hasEvents bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, version, hasEvents = c.sharedWatch.log.Version()
	return version, hasEvents
}

// Regression: discovery came back with lower versions. Followers ignored the holder's lists as outdated but took its
// messages for news, so they never polled, and sent to draining servers.
func TestFollowerPollsIfHolderPublishesLowerVersions(t *testing.T) {
	for name, event := range map[string]controlgroup.WatchEvent{
		"list":      {Source: "d", Complete: true, ToVersion: 1},
		"heartbeat": {Source: "d", FromVersion: 1, ToVersion: 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := startUnconnected(t)
			shared := c.SharedWatch("d", func(controlgroup.WatchEvent) {})
			receive(c, 0, controlgroup.WatchEvent{Source: "d", FromVersion: 40, ToVersion: 40})
			polls, _ := shared.ShouldPoll("d")
			require.False(t, polls)

			expireDeadline(c)
			receive(c, 0, event)
			polls, _ = shared.ShouldPoll("d")
			require.True(t, polls)

			shared.Publish(controlgroup.WatchEvent{Source: "d", Complete: true, ToVersion: 1}) // its own poll
			receive(c, 0, event)
			polls, _ = shared.ShouldPoll("d")
			require.False(t, polls, "the versions are comparable again")
		})
	}
}

// Regression: the holder's own log rejected the lower versions, and its heartbeats went on with the old one. The
// voters' logs would reject them as well, hence the new token.
func TestHolderPublishesLowerVersionsUnderNewToken(t *testing.T) {
	c := startUnconnected(t)
	shared := c.SharedWatch("d", func(controlgroup.WatchEvent) {})
	hold(t, c, 5)
	shared.Publish(controlgroup.WatchEvent{Source: "d", Complete: true, ToVersion: 40})
	shared.Publish(controlgroup.WatchEvent{Source: "d", Complete: true, ToVersion: 1})
	version, _ := logVersion(c)
	require.Equal(t, uint64(1), version)
	_, held := c.Token("watch")
	require.False(t, held)

	c.mu.Lock()
	released := c.holders["watch"]
	c.sharedWatch.tickLocked(c.now())
	require.Same(t, released, c.holders["watch"], "not requested again before the group has confirmed the release")
	c.mu.Unlock()
}

// Regression: a member that took over published the log of polls from before, which others took for the newest list.
func TestNewHolderKeepsOnlyLogThatIsUpToDate(t *testing.T) {
	list := controlgroup.WatchEvent{Source: "d", Complete: true, ToVersion: 40}
	for name, test := range map[string]struct {
		before func(*Client, controlgroup.SharedWatch)
		kept   bool
	}{
		"own polls go on": {func(*Client, controlgroup.SharedWatch) {}, true},
		"own polls fail":  {func(_ *Client, shared controlgroup.SharedWatch) { shared.PollFailed() }, false},
		"followed another holder": {func(c *Client, _ controlgroup.SharedWatch) {
			receive(c, 4, controlgroup.WatchEvent{Source: "d", FromVersion: 40, ToVersion: 41})
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := startUnconnected(t)
			shared := c.SharedWatch("d", func(controlgroup.WatchEvent) {})
			shared.Publish(list)
			test.before(c, shared)
			hold(t, c, 5)
			_, kept := logVersion(c)
			require.Equal(t, test.kept, kept)
			_, complete := shared.ShouldPoll("d")
			require.Equal(t, !test.kept, complete)
		})
	}
}

// Regression: a holder none of whose polls succeeded kept the duty, because a missing log was looked at first.
func TestHolderWithoutSuccessfulPollReleasesDuty(t *testing.T) {
	c := startUnconnected(t)
	shared := c.SharedWatch("d", func(controlgroup.WatchEvent) {})
	hold(t, c, 5)
	shared.PollFailed()
	c.mu.Lock()
	c.sharedWatch.tickLocked(c.now())
	c.mu.Unlock()
	_, held := c.Token("watch")
	require.False(t, held)
}
