package watch

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/lease"
)

func TestEventLogLeadsEveryFollowerToTheLastVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log EventLog
		version, token := uint64(0), lease.Token(1)
		followerVersions := map[int]uint64{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			e := controlgroup.WatchEvent{Source: "d", FromVersion: version, ToVersion: version + 1}
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				e.Complete, e.FromVersion = true, 0
			case 1:
				e.FromVersion, e.ToVersion = version+3, version+4 // a change before this one was lost
			case 2:
				token++ // a new holder starts with a complete list
				e.Complete, e.FromVersion = true, 0
			case 3: // the previous holder publishes once more
				err := log.Append(token-1, controlgroup.WatchEvent{Source: "d", Complete: true, ToVersion: version + 9})
				if log.token == token {
					require.ErrorIs(t, err, ErrStaleToken)
				} else {
					require.NoError(t, err)
				}
				if log.token < token {
					version += 9
				}
				continue
			}
			if log.Append(token, e) == nil {
				version = e.ToVersion
			}
			follower := rapid.IntRange(0, 3).Draw(t, "follower")
			for _, e := range log.Since("d", followerVersions[follower]) {
				apply, missing := e.Follows("d", followerVersions[follower])
				require.False(t, missing)
				if apply {
					require.Greater(t, e.ToVersion, followerVersions[follower])
					followerVersions[follower] = e.ToVersion
				}
			}
			if _, last, hasEvents := log.Version(); hasEvents {
				require.GreaterOrEqual(t, followerVersions[follower], last)
			}
		}
	})
}

func TestFollowsAppliesOnlyNewerEventsOfTheSameSource(t *testing.T) {
	for _, c := range []struct {
		event          controlgroup.WatchEvent
		apply, missing bool
	}{
		{controlgroup.WatchEvent{Source: "d", FromVersion: 5, ToVersion: 6}, true, false},
		{controlgroup.WatchEvent{Source: "d", FromVersion: 6, ToVersion: 7}, false, true},
		{controlgroup.WatchEvent{Source: "d", FromVersion: 4, ToVersion: 5}, false, false},
		{controlgroup.WatchEvent{Source: "d", Complete: true, ToVersion: 4}, false, false},
		{controlgroup.WatchEvent{Source: "d", Complete: true, ToVersion: 9}, true, false},
		{controlgroup.WatchEvent{Source: "d", FromVersion: 9, ToVersion: 9}, false, true},
		{controlgroup.WatchEvent{Source: "d", FromVersion: 5, ToVersion: 5}, false, false},
		{controlgroup.WatchEvent{Source: "e", Complete: true, ToVersion: 9}, false, false},
	} {
		apply, missing := c.event.Follows("d", 5)
		require.Equal(t, c.apply, apply, c.event)
		require.Equal(t, c.missing, missing, c.event)
	}
}
