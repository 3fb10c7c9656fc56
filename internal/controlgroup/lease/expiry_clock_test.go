package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestLeaseExpiresOnlyAfterItsHolderStopped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawRate := func(name string) float64 {
			return 1 + timing.MaxClockDrift*rapid.Float64Range(-1, 1).Draw(t, name)
		}
		clock := func(trueTime time.Duration, rate float64) time.Duration {
			return time.Duration(float64(trueTime) * rate)
		}
		holderRate := drawRate("holder")
		leaderRate := drawRate("leader")
		sent := time.Duration(rapid.IntRange(0, 1e9).Draw(t, "sent"))
		granted := sent + time.Duration(rapid.IntRange(0, 1e9).Draw(t, "to the leader"))
		responded := granted + time.Duration(rapid.IntRange(0, 4e9).Draw(t, "back"))

		holder := NewHolder(timing, processA, "x")
		request, ok := holder.NextRequest(clock(sent, holderRate), 0)
		require.True(t, ok)
		expiry := NewExpiryClock(timing, clock(granted, leaderRate), nil)
		g := Grant{Duty: "x", Holder: processA, Token: 7}
		require.NoError(t, expiry.Start(clock(granted, leaderRate), g))
		holder.HandleResponse(clock(responded, holderRate), request.Seq, g, nil)
		for at := granted; at < sent+8*time.Second; at += 10 * time.Millisecond {
			if len(expiry.Expired(clock(at, leaderRate))) > 0 {
				_, mayAct := holder.Token(clock(at, holderRate))
				require.False(t, mayAct, "%v after the request was sent", at-sent)
				return
			}
		}
		t.Fatal("the lease never expired")
	})
}

func TestExpiringLeaseIsNotRenewed(t *testing.T) {
	g := Grant{Duty: "x", Holder: processA, Token: 7}
	expiry := NewExpiryClock(timing, 0, []Grant{g})
	require.NoError(t, expiry.Renew(time.Second, "x", 7))
	require.ErrorIs(t, expiry.Renew(time.Second, "x", 6), ErrNotHeld)
	require.Empty(t, expiry.Expired(3*time.Second))
	require.Equal(t, []Command{{Op: Expire, Duty: "x", Token: 7}}, expiry.Expired(4*time.Second))
	require.ErrorIs(t, expiry.Renew(4*time.Second, "x", 7), ErrNotHeld)
	require.ErrorIs(t, expiry.Start(4*time.Second, g), ErrNotHeld, "nor by acquiring it again")
	require.Empty(t, expiry.Expired(5*time.Second))
	require.Len(t, expiry.Expired(7*time.Second), 1, "the proposal may have been lost")
	expiry.Stop("x")
	require.NoError(t, expiry.Start(8*time.Second, Grant{Duty: "x", Holder: processB, Token: 8}))
}
