package piernotch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Nothing goes to a backend that is left out, whatever the list says of it meanwhile; back in,
// it is as cold as one that has just started, and is used again at once.
func TestWhatIsLeftOutGetsNothingAndComesBackCold(t *testing.T) {
	s := settings()
	list := fleet(2, 1)
	b, h := start(t, s, list)
	b.Exclude(0, list[0].ID)
	b.Exclude(0, list[0].ID) // a call may arrive twice
	id := RequestID(1)
	serve := func(now time.Duration) BackendID {
		b.HandleRequest(now, ask(id, safeClass, 1))
		to := h.last()
		require.Equal(t, id, to.id)
		end(b, now+ms, id, 0, to.to, OK)
		id++
		return to.to
	}
	for _, kind := range []UpdateKind{UpdateDelta, UpdateFull, UpdateCached} {
		b.UpdateEndpoints(ms, kind, list)
		for range 8 {
			require.Equal(t, list[1].ID, serve(ms))
		}
	}
	b.UpdateEndpoints(ms, UpdateFull, list[1:]) // gone
	b.UpdateEndpoints(ms, UpdateFull, list)     // and back
	require.Equal(t, list[1].ID, serve(ms))
	require.Equal(t, list[1].ID, serve(ms))

	b.Include(time.Second, list[0].ID, time.Second)
	require.GreaterOrEqual(t, b.backends[list[0].ID].coldSince, time.Duration(0))
	used := false
	for now := time.Second; now < 6*time.Second; now += 100 * ms {
		b.Timer(now, sweepToken)
		used = used || serve(now) == list[0].ID
	}
	require.True(t, used)
}

func TestOtherSettingsWhileRequestsAreUnderWay(t *testing.T) {
	s := settings()
	b, h := start(t, s, fleet(3, 1))
	b.HandleRequest(0, ask(1, safeClass, 1))
	first := h.last().to
	next := s
	next.Classes = append([]Class(nil), s.Classes...)
	next.Classes[safeClass].RetrySafety = NonIdempotent
	next.Classes = append(next.Classes, Class{Name: "new", LatencyObjective: 500 * ms, Deadline: time.Second, PriorityWeight: 9, RetrySafety: NonIdempotent})
	next.Limits.MaxAttempts = 1

	bad := next
	bad.Classes = bad.Classes[:1]
	require.ErrorContains(t, b.UpdateSettings(0, bad), "keep their places")
	bad = next
	bad.Limits.MaxAttempts = 0
	require.Error(t, b.UpdateSettings(0, bad))
	require.Equal(t, s.Limits.MaxAttempts, b.set.Limits.MaxAttempts, "nothing of it is taken")

	require.NoError(t, b.UpdateSettings(0, next))
	b.HandleRequest(ms, ask(2, len(next.Classes)-1, 1))
	require.Equal(t, RequestID(2), h.last().id)
	end(b, 2*ms, 1, 0, first, Reset) // it may have run: its class allows another, the settings do not
	require.Len(t, h.sent, 2)
	require.Equal(t, []RequestID{1}, h.refused, "it came as safe, and refusing it is true")
	require.Empty(t, h.failed)
}

func TestWhatAnotherProxyHasLearntIsTakenOnce(t *testing.T) {
	b, _ := start(t, settings(), fleet(2, 1))
	b.Restore(Snapshot{Median: -1, MeanWork: 2, LargeShare: 0.5})
	require.Zero(t, b.median)
	b.Restore(Snapshot{Median: 50, MeanWork: 80, LargeShare: 0.7, Usual: 3})
	require.Equal(t, Snapshot{50, 80, 0.7, 3}, b.Snapshot())
	b.Restore(Snapshot{Median: 1, MeanWork: 1})
	require.Equal(t, 50.0, b.median, "its own experience goes before")
}

// Where there are fewer proxies than zones, a cold backend of a zone that has none is everybody's:
// left alone, it would get nothing until it counts as warm.
func TestAColdBackendOfAZoneWithoutProxiesIsUsed(t *testing.T) {
	for _, c := range []struct {
		zones []string
		used  bool
	}{{[]string{"a", "b"}, false}, {[]string{"a", "b", "c", "d"}, true}} {
		s := settings()
		s.Zones = c.zones
		list := fleet(1, len(c.zones))
		for i := 1; i < len(list); i++ {
			list[i].StartedAt = 900 * ms
		}
		b, h := start(t, s, list)
		away := 0
		for i := range 400 {
			now := time.Second + time.Duration(i)*10*ms
			first := len(h.sent)
			for k := range 4 { // more than the own zone takes at once
				r := ask(RequestID(4*i+k), safeClass, 10)
				r.Deadline = now + time.Second
				b.HandleRequest(now, r)
			}
			for _, at := range h.sent[first:] {
				if at.to != list[0].ID {
					away++
				}
				end(b, now+5*ms, at.id, 0, at.to, OK)
			}
			b.Timer(now+6*ms, sweepToken)
		}
		require.Equal(t, c.used, away > 0, c.zones)
		require.Less(t, away, 300, "and still sent little")
	}
}
