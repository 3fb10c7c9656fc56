package piernotch

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// manyProxies is a settings of which each proxy has seen nothing but what it sent itself.
func manyProxies() Settings {
	s := settings()
	s.BalancerCount = 80
	return s
}

// TestACrowdedBackendIsPassedOver: eighty proxies each hold a little at one backend, and it
// says so. Without its word it gets its turn.
func TestACrowdedBackendIsPassedOver(t *testing.T) {
	b, h := start(t, manyProxies(), fleet(4, 1))
	b.LoadReported(time.Second, 2, LoadReport{Inflight: 15, CompletedPerSecond: 20})
	for i := range 40 {
		b.HandleRequest(time.Second, ask(RequestID(i), safeClass, 10))
		require.NotEqual(t, BackendID(2), h.last().to, "request %d went into the crowd", i)
		end(b, time.Second, RequestID(i), 0, h.last().to, OK)
	}
	seen := map[BackendID]bool{}
	for i := range 40 { // the report is old by now and is not believed for good
		id, now := RequestID(100+i), 8*time.Second
		b.HandleRequest(now, Request{ID: id, Class: safeClass, Deadline: now + time.Second, CostHint: 10})
		seen[h.last().to] = true
		end(b, now, id, 0, h.last().to, OK)
	}
	require.True(t, seen[2], "a report of seven seconds ago still keeps a backend out")
}

// TestNonsenseInReportsChangesNothing: what lies or cannot be read leaves the last belief.
func TestNonsenseInReportsChangesNothing(t *testing.T) {
	b, _ := start(t, manyProxies(), fleet(2, 1))
	b.LoadReported(time.Second, 1, LoadReport{Inflight: 3, CompletedPerSecond: 20})
	was := b.backends[1].crowd
	for _, l := range []LoadReport{{Inflight: -1}, {Inflight: math.NaN()}, {Inflight: 1, CompletedPerSecond: -1}} {
		b.LoadReported(2*time.Second, 1, l)
	}
	b.LoadReported(2*time.Second, 77, LoadReport{Inflight: 3})
	require.Equal(t, was, b.backends[1].crowd)
}

// TestOneThatTurnsAllAwayIsEjected: it is idle by what is held there, answers at once, and
// so drew turn after turn; its refusals also passed for a fleet that is late.
func TestOneThatTurnsAllAwayIsEjected(t *testing.T) {
	b, h := start(t, manyProxies(), fleet(6, 1))
	b.budget = 100
	drawn := 0
	for i := range 200 {
		now := time.Second + time.Duration(i)*ms
		b.HandleRequest(now, ask(RequestID(i), safeClass, 10))
		try := 0
		if h.last().to == 1 {
			drawn++
			end(b, now, RequestID(i), 0, 1, Full)
			try++
		}
		end(b, now, RequestID(i), try, h.last().to, OK)
	}
	require.LessOrEqual(t, drawn, 3)
	require.Less(t, b.pace, 3.0, "a refusal passed for a slow answer")
	require.Empty(t, h.refused)
}

// TestAColdBackendGetsItsShareThoughAFewAreLeft: a zone is lost and comes back cold. What
// this proxy sends a second fell with the fleet; what warm ones answered for all did not.
func TestAColdBackendGetsItsShareThoughAFewAreLeft(t *testing.T) {
	gap := func(report bool) time.Duration {
		b, _ := start(t, manyProxies(), fleet(4, 2))
		if report {
			for id := range BackendID(8) {
				b.LoadReported(time.Second, id+1, LoadReport{Inflight: 2, CompletedPerSecond: 30})
			}
		}
		b.survey(time.Second)
		b.meanWork = 25
		b.sent.add(time.Second, 100)
		to := b.backends[1]
		b.chill(2*time.Second, to, 2*time.Second)
		return b.coldGap(2*time.Second, to)
	}
	// 30 a second, three times a fifth of them, for 40 proxies of the zone.
	require.InDelta(t, 40/(30*0.2*3), gap(true).Seconds(), 0.1)
	require.Greater(t, gap(false), gap(true))
}

// TestAColdBackendThatHoldsNothingGetsMore: it warms with work, sooner than is promised.
func TestAColdBackendThatHoldsNothingGetsMore(t *testing.T) {
	b, _ := start(t, manyProxies(), fleet(2, 1))
	b.meanWork = 25
	b.sent.add(time.Second, 50)
	to := b.backends[1]
	b.chill(time.Second, to, time.Second)
	slow := b.coldGap(time.Second, to)
	b.LoadReported(time.Second, 1, LoadReport{Inflight: 9, CompletedPerSecond: 200})
	require.Equal(t, slow, b.coldGap(time.Second, to), "it holds a queue: no more")
	b.LoadReported(time.Second, 1, LoadReport{Inflight: 0, CompletedPerSecond: 200})
	require.Less(t, b.coldGap(time.Second, to), slow)
}

// sweepWith lets the sweep run for a while, with some requests out in the own zone and each
// backend there saying now and then that it holds so many.
func sweepWith(t *testing.T, s Settings, held float64) (*Balancer, *recorder) {
	b, h := start(t, s, fleet(6, 2))
	b.sweep = 10 * ms
	now := time.Second
	for i := range 2 + int(2*held) {
		b.HandleRequest(now, Request{ID: RequestID(1 + i), Class: safeClass, Deadline: time.Minute, CostHint: 10})
	}
	for i := range 300 {
		now += b.sweep
		for id := BackendID(1); i%50 == 0 && id <= 6; id++ {
			b.LoadReported(now, id, LoadReport{Inflight: held, CompletedPerSecond: 20})
		}
		b.survey(now)
	}
	return b, h
}

// TestAllTogetherHoldAGroupToItsAim: each of eighty keeps its own bounds and a fleet chokes
// all the same. What its servers hold on the mean tells each to give way by as much.
func TestAllTogetherHoldAGroupToItsAim(t *testing.T) {
	b, h := sweepWith(t, manyProxies(), 5)
	require.True(t, b.groups[0].full(), "limit %v", b.groups[0].limit)
	b.HandleRequest(4*time.Second, Request{ID: 100, Class: safeClass, Deadline: time.Minute, CostHint: 10})
	require.Greater(t, h.last().to, BackendID(6), "a full zone counts as empty")

	b, _ = sweepWith(t, manyProxies(), 0.1)
	require.False(t, b.groups[0].full(), "idle servers: limit %v", b.groups[0].limit)
	b, _ = sweepWith(t, settings(), 5)
	require.False(t, b.groups[0].full(), "few proxies: their own bounds do")
}

// TestManyBusyAtOnceDoNotPushAColdBackendOver: what many proxies may send it each, and did not
// while they were idle, must not come from all of them in the moment in which all are busy.
func TestManyBusyAtOnceDoNotPushAColdBackendOver(t *testing.T) {
	s := manyProxies()
	s.Rules.OverloadWindow = 2 * time.Second
	const warm, work, multiple = 10.0, 50.0, 2.5 // answers a second, ms each, and the rule's multiple
	born, most, all := 2*time.Second, 0.0, 0.0
	for round := range uint64(10) {
		sends := 0.0
		for i := range uint64(s.BalancerCount / len(s.Zones)) {
			b, err := New(s, round<<32+i, &recorder{})
			require.NoError(t, err)
			b.UpdateEndpoints(time.Second, UpdateFull, fleet(4, 2))
			for id := range BackendID(8) {
				b.LoadReported(time.Second, id+1, LoadReport{Inflight: 2, CompletedPerSecond: warm})
			}
			b.survey(time.Second)
			b.meanWork = work
			to := b.backends[1]
			b.chill(born, to, born)
			for now := born + 3*time.Second; now < born+5*time.Second; now += 20 * ms {
				r := b.newRequest(now, Request{ID: RequestID(now), Class: safeClass, Deadline: now + time.Second, CostHint: work})
				if b.may(now, r, to) {
					b.send(now, r, to)
					to.inflight-- // answered at once
					sends++
				}
			}
		}
		most, all = max(most, sends*work), all+sends*work/10
	}
	can := warm * work * (0.2 + 0.8*4/20) * 2
	require.InDelta(t, can, all, can/4, "as much as it can do, on the mean")
	require.Less(t, most, multiple*can)
}

// TestNoClassStarvesWhereThereIsNeverRoomEnough: twice as much comes as one backend answers, all
// of it in two classes. By worth alone the lesser one would get nothing for as long as it lasts.
func TestNoClassStarvesWhereThereIsNeverRoomEnough(t *testing.T) {
	s := manyProxies()
	s.Classes[unsafeClass].PriorityWeight = 3
	b, h := start(t, s, fleet(1, 1))
	served, sends := map[int]int{}, 0
	class := func(id RequestID) int { return int(id) % 2 * unsafeClass }
	for now, id := time.Second, RequestID(2); now < 9*time.Second; now += 20 * ms {
		for range 2 {
			b.HandleRequest(now, Request{ID: id, Class: class(id), Deadline: now + 2*time.Second, CostHint: 10})
			id++
		}
		if sends < len(h.sent) {
			x := h.sent[sends]
			sends++
			served[class(x.id)]++
			end(b, now, x.id, 0, x.to, OK)
		}
		if (now-time.Second)%b.sweep < 20*ms {
			b.Timer(now, sweepToken)
		}
	}
	low, high := served[safeClass], served[unsafeClass]
	require.Greater(t, low+high, 300)
	require.Greater(t, low, high/3, "%d of %d", low, low+high)
}

// TestNothingIsSentWhereItCannotBeInTime: a backend that holds five and answers one a second is
// late for certain, whatever this proxy has there. Its word is not believed for good.
func TestNothingIsSentWhereItCannotBeInTime(t *testing.T) {
	b, h := start(t, manyProxies(), fleet(1, 1))
	b.LoadReported(time.Second, 1, LoadReport{Inflight: 5, CompletedPerSecond: 1})
	b.HandleRequest(time.Second, ask(1, safeClass, 10))
	require.Empty(t, h.sent)
	b.HandleRequest(5*time.Second, Request{ID: 2, Class: safeClass, Deadline: 6 * time.Second, CostHint: 10})
	require.Len(t, h.sent, 1)
}
