package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// acquire makes a holder send a request at now, and answers it with a grant under a token.
func acquire(t *testing.T, h *Holder, now time.Duration, token Token) {
	t.Helper()
	request, ok := h.NextRequest(now, time.Second)
	require.True(t, ok)
	h.HandleResponse(now, request.Seq, Grant{Duty: "x", Holder: processA, Token: token}, nil)
	requireToken(t, h, now, token)
}

func requireToken(t *testing.T, h *Holder, now time.Duration, want Token) {
	t.Helper()
	token, mayAct := h.Token(now)
	require.True(t, mayAct)
	require.Equal(t, want, token)
}

func requireNoToken(t *testing.T, h *Holder, now time.Duration) {
	t.Helper()
	_, mayAct := h.Token(now)
	require.False(t, mayAct)
}

func TestHolderStopsAtRenewDeadlineAndOnTransfer(t *testing.T) {
	h := NewHolder(timing, processA, "x")
	now := time.Duration(0)
	acquire(t, h, now, 1)
	_, ok := h.NextRequest(now+time.Second/2, time.Second)
	require.False(t, ok, "too early for a renewal")
	now += timing.HolderDuration()
	requireNoToken(t, h, now) // it was not renewed
	acquire(t, h, now, 2)
	request, ok := h.Transfer(now, processB)
	require.True(t, ok)
	want := Command{Op: Transfer, Duty: "x", Process: processA, Token: 2, Successor: processB}
	require.Equal(t, want, request.Command)
	requireNoToken(t, h, now)
}

func TestHolderAsksAgainAtOnceAfterALostRequest(t *testing.T) {
	now := timing.HolderDuration()
	h := NewHolder(timing, processA, "x")
	request, _ := h.NextRequest(now, time.Hour)
	h.RetryNow()
	_, ok := h.NextRequest(now, time.Hour)
	require.False(t, ok, "a response is on its way")
	h.RequestLost(request.Seq)
	_, ok = h.NextRequest(now, time.Hour)
	require.True(t, ok, "another voter is asked at once")
}

func TestHolderStopsOnReleaseAndTellsTheGroupOnce(t *testing.T) {
	now := timing.HolderDuration()
	h := NewHolder(timing, processA, "x")
	acquire(t, h, now, 3)
	h.Release()
	requireNoToken(t, h, now)
	request, ok := h.NextRequest(now, time.Second)
	require.True(t, ok)
	require.Equal(t, Release, request.Command.Op)
	h.HandleResponse(now, request.Seq, Grant{}, nil)
	_, ok = h.NextRequest(now+time.Hour, time.Second)
	require.False(t, ok)
}
