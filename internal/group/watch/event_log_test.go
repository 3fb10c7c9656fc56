package watch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"piernotch/internal/group"
)

func TestAFeedLeadsEveryFollowerToTheLastVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f EventLog
		version, token := uint64(0), uint64(1)
		known := map[int]uint64{} // versions of followers
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			p := group.WatchEvent{Source: "d", FromVersion: version, ToVersion: version + 1}
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				p.Whole, p.FromVersion = true, 0
			case 1:
				p.FromVersion, p.ToVersion = version+3, version+4 // something between was lost
			case 2:
				token++ // another holds the duty, which begins with a whole list
				p.Whole, p.FromVersion = true, 0
			case 3:
				require.ErrorIs(t, f.Append(token-1, group.WatchEvent{Source: "d", Whole: true, ToVersion: version + 9}), map[bool]error{true: ErrStaleToken}[f.token == token])
				if f.token < token {
					version = version + 9
				}
				continue
			}
			if f.Append(token, p) == nil {
				version = p.ToVersion
			}
			who := rapid.IntRange(0, 3).Draw(t, "follower")
			for _, p := range f.Since("d", known[who]) {
				take, missing := p.Follows("d", known[who])
				require.False(t, missing)
				if take {
					require.Greater(t, p.ToVersion, known[who])
					known[who] = p.ToVersion
				}
			}
			if _, last, any := f.Version(); any {
				require.GreaterOrEqual(t, known[who], last)
			}
		}
	})
}

func TestWhatIsOlderIsNotTaken(t *testing.T) {
	for _, c := range []struct {
		p             group.WatchEvent
		take, missing bool
	}{
		{group.WatchEvent{Source: "d", FromVersion: 5, ToVersion: 6}, true, false},
		{group.WatchEvent{Source: "d", FromVersion: 6, ToVersion: 7}, false, true},
		{group.WatchEvent{Source: "d", FromVersion: 4, ToVersion: 5}, false, false},
		{group.WatchEvent{Source: "d", Whole: true, ToVersion: 4}, false, false},
		{group.WatchEvent{Source: "d", Whole: true, ToVersion: 9}, true, false},
		{group.WatchEvent{Source: "d", FromVersion: 9, ToVersion: 9}, false, true},
		{group.WatchEvent{Source: "d", FromVersion: 5, ToVersion: 5}, false, false},
		{group.WatchEvent{Source: "e", Whole: true, ToVersion: 9}, false, false},
	} {
		take, missing := c.p.Follows("d", 5)
		require.Equal(t, c.take, take, c.p)
		require.Equal(t, c.missing, missing, c.p)
	}
}

// Many that lose their holder at once do not all ask discovery at once, and stop when there is one again.
func TestFollowersFallBackSpreadOverTime(t *testing.T) {
	const n = 300
	var all []*Follower
	for i := range n {
		f := NewFollower(DefaultTiming, rand.New(rand.NewPCG(uint64(i), 1)), 0)
		require.True(t, f.Heartbeat(time.Second, 7))
		all = append(all, f)
	}
	asking := func(at time.Duration) (k int) {
		for _, f := range all {
			if f.ShouldPoll(at, false) {
				k++
			}
		}
		return k
	}
	lost := time.Second
	require.Zero(t, asking(lost+DefaultTiming.HeartbeatTimeout-1))
	require.InDelta(t, n/2, asking(lost+DefaultTiming.HeartbeatTimeout+DefaultTiming.TimeoutJitter/2), n/8)
	require.Equal(t, n, asking(lost+DefaultTiming.HeartbeatTimeout+DefaultTiming.TimeoutJitter))
	require.Less(t, DefaultTiming.HeartbeatTimeout+DefaultTiming.TimeoutJitter, 6*time.Second)
	for _, f := range all {
		require.False(t, f.Heartbeat(20*time.Second, 6), "a holder that has been replaced")
	}
	require.Equal(t, n, asking(20*time.Second))
	for _, f := range all {
		require.True(t, f.Heartbeat(20*time.Second, 8))
		require.True(t, f.ShouldPoll(20*time.Second, true), "who holds the duty asks")
	}
	require.Zero(t, asking(20*time.Second))
}

func TestAHolderWhoseWatchFailsSaysNothing(t *testing.T) {
	h := NewHolder(DefaultTiming, 0)
	require.True(t, h.HeartbeatDue(time.Second))
	require.False(t, h.HeartbeatDue(time.Second+1))
	h.PollFailed()
	require.False(t, h.HeartbeatDue(2*time.Second))
	h.PollSucceeded(3 * time.Second)
	require.True(t, h.HeartbeatDue(3*time.Second))
	require.False(t, h.HeartbeatDue(3*time.Second+DefaultTiming.PollTimeout))
}
