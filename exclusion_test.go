package piernotch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An excluded server must get no requests, whatever the endpoint list says about it. After its inclusion, the
// server is in slow start, as if it had just started, and gets requests again within seconds.
func TestExcludedServerReceivesNoRequests(t *testing.T) {
	s := testSettings()
	list := testEndpoints(2, 1)
	b, h := newTestBalancer(t, s, list)
	b.Exclude(0, list[0].ID)
	b.Exclude(0, list[0].ID) // a second call changes nothing
	id := RequestID(1)
	serve := func(now time.Duration) ServerID {
		b.HandleRequest(now, newTestRequest(id, idempotentClass, 1))
		a := h.last()
		require.Equal(t, id, a.id)
		completeAttempt(b, now+ms, id, 0, a.to, OK)
		id++
		return a.to
	}
	for _, kind := range []UpdateKind{UpdateDelta, UpdateFull, UpdateCached} {
		b.UpdateEndpoints(ms, kind, list)
		for range 8 {
			require.Equal(t, list[1].ID, serve(ms))
		}
	}
	b.UpdateEndpoints(ms, UpdateFull, list[1:]) // no longer listed
	b.UpdateEndpoints(ms, UpdateFull, list)     // listed again
	require.Equal(t, list[1].ID, serve(ms))
	require.Equal(t, list[1].ID, serve(ms))

	b.Include(time.Second, list[0].ID, time.Second)
	require.False(t, b.endpoints.find(list[0].ID).warm())
	used := false
	for now := time.Second; now < 6*time.Second; now += 100 * ms {
		b.Timer(now, tickToken)
		used = used || serve(now) == list[0].ID
	}
	require.True(t, used)
}
