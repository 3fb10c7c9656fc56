package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	a, b  = Process{"a", 1}, Process{"b", 1}
	terms = Timing{Duration: 3 * time.Second, MaxClockDrift: 0.01}
)

func TestADutyHasOneHolderAndRisingTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		var last uint64
		given := map[uint64]Process{}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := Command{
				Op:        Op(rapid.IntRange(1, 4).Draw(t, "op")),
				Duty:      Duty(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "duty")),
				Process:   rapid.SampledFrom([]Process{a, b, {"a", 2}}).Draw(t, "who"),
				Token:     uint64(rapid.IntRange(0, 12).Draw(t, "token")),
				Successor: b,
			}
			before, held := table.Holder(c.Duty)
			g, err := table.Apply(c)
			switch {
			case err != nil:
				require.True(t, c.Op != Acquire || held && before.Holder != c.Process)
				after, still := table.Holder(c.Duty)
				require.Equal(t, held, still)
				require.Equal(t, before, after, "what is refused changes nothing")
			case c.Op == Acquire && held:
				require.Equal(t, before, g, "asked again, a grant stands")
			case c.Op == Acquire || c.Op == Transfer:
				require.Greater(t, g.Token, last)
				last = g.Token
				given[g.Token] = g.Holder
			}
			var copied Table
			copied.Restore(table.Snapshot())
			require.Equal(t, table.Snapshot(), copied.Snapshot())
		}
	})
}

func TestTheGrantorLetsGoAfterTheHolderHasStopped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := func(name string) float64 { return 1 + terms.MaxClockDrift*rapid.Float64Range(-1, 1).Draw(t, name) }
		of := func(true time.Duration, rate float64) time.Duration { return time.Duration(float64(true) * rate) }
		holder, grantor := rate("holder"), rate("grantor")
		asked := time.Duration(rapid.IntRange(0, 1e9).Draw(t, "asked"))
		came := asked + time.Duration(rapid.IntRange(0, 1e9).Draw(t, "way"))
		h := NewHolder(terms, a, "x")
		ask, is := h.NextRequest(of(asked, holder), 0)
		require.True(t, is)
		k := NewExpiryClock(terms, of(came, grantor), nil)
		g := Grant{"x", a, 7}
		require.NoError(t, k.Start(of(came, grantor), g))
		h.HandleResponse(of(came+time.Duration(rapid.IntRange(0, 4e9).Draw(t, "back")), holder), ask.Seq, g, nil)
		for at := came; at < asked+8*time.Second; at += 10 * time.Millisecond {
			if len(k.Expired(of(at, grantor))) > 0 {
				_, may := h.Token(of(at, holder))
				require.False(t, may, "%v after it was asked for", at-asked)
				return
			}
		}
		t.Fatal("never let go")
	})
}

func TestNothingIsProlongedWhoseEndIsOnItsWay(t *testing.T) {
	g := Grant{"x", a, 7}
	k := NewExpiryClock(terms, 0, []Grant{g})
	require.NoError(t, k.Renew(time.Second, "x", 7))
	require.ErrorIs(t, k.Renew(time.Second, "x", 6), ErrNotHeld)
	require.Empty(t, k.Expired(3*time.Second))
	require.Equal(t, []Command{{Op: Expire, Duty: "x", Token: 7}}, k.Expired(4*time.Second))
	require.ErrorIs(t, k.Renew(4*time.Second, "x", 7), ErrNotHeld)
	require.ErrorIs(t, k.Start(4*time.Second, g), ErrNotHeld, "nor by asking for it again")
	require.Empty(t, k.Expired(5*time.Second))
	require.Len(t, k.Expired(7*time.Second), 1, "it may have been lost")
	k.Stop("x")
	require.NoError(t, k.Start(8*time.Second, Grant{"x", b, 8}))
}

func TestAHolderStopsAtOnce(t *testing.T) {
	h := NewHolder(terms, a, "x")
	now := time.Duration(0)
	take := func(token uint64) {
		ask, is := h.NextRequest(now, time.Second)
		require.True(t, is)
		h.HandleResponse(now, ask.Seq, Grant{"x", a, token}, nil)
		got, may := h.Token(now)
		require.True(t, may)
		require.Equal(t, token, got)
	}
	take(1)
	_, is := h.NextRequest(now+time.Second/2, time.Second)
	require.False(t, is, "too early for a renewal")
	now += terms.HolderDuration()
	_, may := h.Token(now)
	require.False(t, may, "it was not renewed")
	take(2)
	ask, is := h.Transfer(now, b)
	require.True(t, is)
	require.Equal(t, Command{Op: Transfer, Duty: "x", Process: a, Token: 2, Successor: b}, ask.Command)
	_, may = h.Token(now)
	require.False(t, may)

	h = NewHolder(terms, a, "x")
	ask, _ = h.NextRequest(now, time.Hour)
	h.RetryNow()
	_, is = h.NextRequest(now, time.Hour)
	require.False(t, is, "an answer is on its way")
	h.RequestLost(ask.Seq)
	_, is = h.NextRequest(now, time.Hour)
	require.True(t, is, "another voter is asked at once")

	h = NewHolder(terms, a, "x")
	take(3)
	h.Release()
	_, may = h.Token(now)
	require.False(t, may)
	ask, is = h.NextRequest(now, time.Second)
	require.True(t, is)
	require.Equal(t, Release, ask.Command.Op)
	h.HandleResponse(now, ask.Seq, Grant{}, nil)
	_, is = h.NextRequest(now+time.Hour, time.Second)
	require.False(t, is)
}

func TestAFenceRefusesWhatIsOlder(t *testing.T) {
	var f Fence
	for _, c := range []struct {
		token     uint64
		ok, fresh bool
	}{{4, true, true}, {4, true, false}, {3, false, false}, {9, true, true}, {4, false, false}} {
		ok, fresh := f.Admit("x", c.token)
		require.Equal(t, c.ok, ok)
		require.Equal(t, c.fresh, fresh)
	}
	var again Fence
	again.Restore(f.Tokens())
	ok, _ := again.Admit("x", 8)
	require.False(t, ok)
}
