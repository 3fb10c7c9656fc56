package piernotch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSlowStartLimitsRequestRate(t *testing.T) {
	list := testEndpoints(3, 2)
	list[0].StartedAt = 900 * ms
	list[4].StartedAt = 900 * ms // a cold one elsewhere
	b, h := newTestBalancer(t, testSettings(), list)
	work := map[BackendID]float64{}
	for i := range 1000 {
		now := time.Second + time.Duration(i)*5*ms
		r := newTestRequest(RequestID(i), idempotentClass, 10)
		r.Deadline = now + time.Second
		b.HandleRequest(now, r)
		work[h.last().to] += 10
		completeAttempt(b, now, r.ID, 0, h.last().to, OK)
	}
	warm := (work[2] + work[3]) / 2
	if work[1] == 0 || work[1] > 0.5*warm {
		t.Errorf("a cold backend got %.0f, a warm one %.0f", work[1], warm)
	}
	if work[5] > 0 {
		t.Error("a cold backend of another zone got work that its zone does not need")
	}
	// Heavy requests from many proxies at once pushed one over.
	cold := b.backends[1]
	r := b.newRequest(7*time.Second, Request{ID: 5000, Deadline: 9 * time.Second, CostHint: 500})
	cold.nextSlowStartSend = 0
	if b.mayStartAttempt(7*time.Second, r, cold) {
		t.Error("a cold backend may get a heavy request")
	}
	r.work = 1
	if !b.mayStartAttempt(7*time.Second, r, cold) {
		t.Error("a cold backend may get nothing at all")
	}
	cold.inflight = 1
	if b.mayStartAttempt(7*time.Second, r, cold) {
		t.Error("a cold backend may hold two requests of one proxy")
	}
}

// A zone of which only the cold backend is left is not a small zone.
func TestSlowStartRateDoesNotGrowWhenEndpointsLeave(t *testing.T) {
	list := testEndpoints(4, 2)
	list[0].StartedAt = 900 * ms
	b, _ := newTestBalancer(t, testSettings(), list)
	for i := range 100 {
		b.groups[0].sendRate.add(time.Second+time.Duration(i)*10*ms, 10)
	}
	now := 2 * time.Second
	before := b.warmSendRate(now)
	for i := 1; i < 4; i++ {
		list[i].State = Gone
	}
	b.UpdateEndpoints(now, UpdateDelta, list[1:4])
	if after := b.warmSendRate(now); after > 2*before {
		t.Errorf("what a cold backend may get rose from %.1f to %.1f as the others went", before, after)
	}
}

// TestSlowStartRateFollowsReportedCompletionRate: a zone is lost and comes back cold. What
// this proxy sends a second fell with the fleet; what warm ones answered for all did not.
func TestSlowStartRateFollowsReportedCompletionRate(t *testing.T) {
	gap := func(report bool) time.Duration {
		b, _ := newTestBalancer(t, manyBalancersSettings(), testEndpoints(4, 2))
		if report {
			for id := range BackendID(8) {
				b.LoadReported(time.Second, id+1, LoadReport{Inflight: 2, CompletedPerSecond: 30})
			}
		}
		b.reviewBackends(time.Second)
		b.meanWork = 25
		b.sendRate.add(time.Second, 100)
		to := b.backends[1]
		b.startSlowStart(2*time.Second, to, 2*time.Second)
		return b.slowStartInterval(2*time.Second, to)
	}
	// 30 a second, three times a fifth of them, for 40 proxies of the zone.
	require.InDelta(t, 40/(30*0.2*3), gap(true).Seconds(), 0.1)
	require.Greater(t, gap(false), gap(true))
}

// TestIdleBackendInSlowStartGetsMore: it warms with work, sooner than is promised.
func TestIdleBackendInSlowStartGetsMore(t *testing.T) {
	b, _ := newTestBalancer(t, manyBalancersSettings(), testEndpoints(2, 1))
	b.meanWork = 25
	b.sendRate.add(time.Second, 50)
	to := b.backends[1]
	b.startSlowStart(time.Second, to, time.Second)
	slow := b.slowStartInterval(time.Second, to)
	b.LoadReported(time.Second, 1, LoadReport{Inflight: 9, CompletedPerSecond: 200})
	require.Equal(t, slow, b.slowStartInterval(time.Second, to), "it holds a queue: no more")
	b.LoadReported(time.Second, 1, LoadReport{Inflight: 0, CompletedPerSecond: 200})
	require.Less(t, b.slowStartInterval(time.Second, to), slow)
}

// TestSlowStartDrawPreventsOverloadByManyBalancers: what many proxies may send it each, and did not
// while they were idle, must not come from all of them in the moment in which all are busy.
func TestSlowStartDrawPreventsOverloadByManyBalancers(t *testing.T) {
	s := manyBalancersSettings()
	s.Rules.OverloadWindow = 2 * time.Second
	const warm, work, multiple = 10.0, 50.0, 2.5 // answers a second, ms each, and the rule's multiple
	born, most, all := 2*time.Second, 0.0, 0.0
	for round := range uint64(10) {
		sends := 0.0
		for i := range uint64(s.BalancerCount / len(s.Zones)) {
			b, err := New(s, round<<32+i, &recorder{})
			require.NoError(t, err)
			b.UpdateEndpoints(time.Second, UpdateFull, testEndpoints(4, 2))
			for id := range BackendID(8) {
				b.LoadReported(time.Second, id+1, LoadReport{Inflight: 2, CompletedPerSecond: warm})
			}
			b.reviewBackends(time.Second)
			b.meanWork = work
			to := b.backends[1]
			b.startSlowStart(born, to, born)
			for now := born + 3*time.Second; now < born+5*time.Second; now += 20 * ms {
				r := b.newRequest(now, Request{ID: RequestID(now), Class: idempotentClass, Deadline: now + time.Second, CostHint: work})
				if b.mayStartAttempt(now, r, to) {
					b.startAttempt(now, r, to)
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

// Where there are fewer proxies than zones, a cold backend of a zone that has none is everybody's:
// left alone, it would get nothing until it counts as warm.
func TestSlowStartBackendInZoneWithoutBalancerIsUsed(t *testing.T) {
	for _, c := range []struct {
		zones []string
		used  bool
	}{{[]string{"a", "b"}, false}, {[]string{"a", "b", "c", "d"}, true}} {
		s := testSettings()
		s.Zones = c.zones
		list := testEndpoints(1, len(c.zones))
		for i := 1; i < len(list); i++ {
			list[i].StartedAt = 900 * ms
		}
		b, h := newTestBalancer(t, s, list)
		away := 0
		for i := range 400 {
			now := time.Second + time.Duration(i)*10*ms
			first := len(h.attempts)
			for k := range 4 { // more than the own zone takes at once
				r := newTestRequest(RequestID(4*i+k), idempotentClass, 10)
				r.Deadline = now + time.Second
				b.HandleRequest(now, r)
			}
			for _, at := range h.attempts[first:] {
				if at.to != list[0].ID {
					away++
				}
				completeAttempt(b, now+5*ms, at.id, 0, at.to, OK)
			}
			b.Timer(now+6*ms, tickToken)
		}
		require.Equal(t, c.used, away > 0, c.zones)
		require.Less(t, away, 300, "and still sent little")
	}
}
