package piernotch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSlowStartLimitsRequestRate(t *testing.T) {
	list := testEndpoints(3, 2)
	list[0].StartedAt = 900 * ms
	list[4].StartedAt = 900 * ms // in the other zone
	b, h := newTestBalancer(t, testSettings(), list)
	work := map[ServerID]float64{}
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
		t.Errorf("a server in slow start got %.0f, a warm one %.0f", work[1], warm)
	}
	if work[5] > 0 {
		t.Error("a server in slow start in another zone got work that its own zone can send")
	}
	// Regression: heavy requests from many balancers at once overloaded a server in slow start.
	starting := b.endpoints.find(1)
	r := b.newRequest(7*time.Second, Request{ID: 5000, Deadline: 9 * time.Second, CostHint: 500})
	if b.mayStartAttempt(7*time.Second, r, starting) {
		t.Error("a server in slow start may get a heavy request")
	}
	r.work = 1
	if !b.mayStartAttempt(7*time.Second, r, starting) {
		t.Error("a server in slow start may get nothing at all")
	}
	starting.inflight = 1
	if b.mayStartAttempt(7*time.Second, r, starting) {
		t.Error("a server in slow start may hold two requests of one balancer")
	}
}

// allowedInterval returns the time between requests of mean work at the rate that b may send to the server.
func allowedInterval(b *Balancer, now time.Duration, target *server) time.Duration {
	rate := b.slowStart.AllowedRate(now, &target.slowStart, b.slowStartLoad(now, target))
	return time.Duration(b.workload.Mean() / rate * float64(time.Second))
}

// If all other servers leave a zone, the zone must not be mistaken for a small zone: the rate allowed to its
// last server, which is in slow start, would otherwise rise.
func TestSlowStartRateDoesNotGrowWhenEndpointsLeave(t *testing.T) {
	list := testEndpoints(4, 2)
	list[0].StartedAt = 900 * ms
	b, _ := newTestBalancer(t, testSettings(), list)
	for i := range 100 {
		b.groups[0].sendRate.Add(time.Second+time.Duration(i)*10*ms, 10)
	}
	now := 2 * time.Second
	before := b.warmSendRate(now)
	for i := 1; i < 4; i++ {
		list[i].State = Gone
	}
	b.UpdateEndpoints(now, UpdateDelta, list[1:4])
	if after := b.warmSendRate(now); after > 2*before {
		t.Errorf("the rate of a warm server rose from %.1f to %.1f as the others left", before, after)
	}
}

// When a zone fails and returns in slow start, the rate at which this balancer sends has fallen with the fleet.
// The completion rate that warm servers reported has not fallen, so it must decide the allowed rate.
func TestSlowStartRateFollowsReportedCompletionRate(t *testing.T) {
	interval := func(report bool) time.Duration {
		b, _ := newTestBalancer(t, manyBalancersSettings(), testEndpoints(4, 2))
		if report {
			for id := range ServerID(8) {
				b.LoadReported(time.Second, id+1, LoadReport{Inflight: 2, CompletedPerSecond: 30})
			}
		}
		b.reviewServers(time.Second)
		setMeanWork(t, b, 25)
		b.sendRate.Add(time.Second, 100)
		to := b.endpoints.find(1)
		b.startSlowStart(2*time.Second, to, 2*time.Second)
		return allowedInterval(b, 2*time.Second, to)
	}
	// 30 completions per second, times a capacity share of 0.2 and a loadMultiple of 3, for the zone's 40
	// balancers.
	require.InDelta(t, 40/(30*0.2*3), interval(true).Seconds(), 0.1)
	require.Greater(t, interval(false), interval(true))
}

// A server warms up by working, and may be warm before Rules.SlowStartDuration is over. It may therefore get
// more work if its load report shows that it is idle.
func TestIdleServerInSlowStartGetsMore(t *testing.T) {
	b, _ := newTestBalancer(t, manyBalancersSettings(), testEndpoints(2, 1))
	setMeanWork(t, b, 25)
	b.sendRate.Add(time.Second, 50)
	to := b.endpoints.find(1)
	b.startSlowStart(time.Second, to, time.Second)
	interval := allowedInterval(b, time.Second, to)
	b.LoadReported(time.Second, 1, LoadReport{Inflight: 9, CompletedPerSecond: 200})
	require.Equal(t, interval, allowedInterval(b, time.Second, to), "with a queue it gets no more")
	b.LoadReported(time.Second, 1, LoadReport{Inflight: 0, CompletedPerSecond: 200})
	require.Less(t, allowedInterval(b, time.Second, to), interval)
}

// An idle balancer sends less to a server in slow start than it is allowed to. If balancers could save up unused
// sends, many of them would overload the server at the moment at which all get busy.
func TestSlowStartDrawPreventsOverloadByManyBalancers(t *testing.T) {
	s := manyBalancersSettings()
	s.Rules.OverloadWindow = 2 * time.Second
	const (
		completions = 10.0 // of a warm server, per second
		work        = 50.0 // ms per request
		overload    = 2.5  // multiple of a server's capacity that overloads it
		rounds      = 10
		startedAt   = 2 * time.Second
	)
	most, mean := 0.0, 0.0
	for round := range uint64(rounds) {
		sends := 0.0
		for i := range uint64(s.BalancerCount / len(s.Zones)) {
			b, err := New(s, round<<32+i, &recorder{})
			require.NoError(t, err)
			b.UpdateEndpoints(time.Second, UpdateFull, testEndpoints(4, 2))
			for id := range ServerID(8) {
				b.LoadReported(time.Second, id+1, LoadReport{Inflight: 2, CompletedPerSecond: completions})
			}
			b.reviewServers(time.Second)
			setMeanWork(t, b, work)
			to := b.endpoints.find(1)
			b.startSlowStart(startedAt, to, startedAt)
			for now := startedAt + 3*time.Second; now < startedAt+5*time.Second; now += 20 * ms {
				r := b.newRequest(now, Request{
					ID: RequestID(now), Class: idempotentClass, Deadline: now + time.Second, CostHint: work,
				})
				if b.mayStartAttempt(now, r, to) {
					b.startAttempt(now, r, to)
					to.inflight-- // the response comes at once
					sends++
				}
			}
		}
		most = max(most, sends*work)
		mean += sends * work / rounds
	}
	capacity := completions * work * (0.2 + 0.8*4/20) * 2
	require.InDelta(t, capacity, mean, capacity/4, "on the mean it gets what its capacity allows")
	require.Less(t, most, overload*capacity)
}

// With fewer balancers than zones, some zone has no balancer of its own. Balancers of other zones must send
// to that zone's servers in slow start, which would otherwise get nothing until they are warm.
func TestSlowStartServerInZoneWithoutBalancerIsUsed(t *testing.T) {
	for _, c := range []struct {
		zones []string
		used  bool
	}{
		{[]string{"a", "b"}, false},
		{[]string{"a", "b", "c", "d"}, true},
	} {
		s := testSettings()
		s.Zones = c.zones
		list := testEndpoints(1, len(c.zones))
		for i := 1; i < len(list); i++ {
			list[i].StartedAt = 900 * ms
		}
		b, h := newTestBalancer(t, s, list)
		remote := 0
		for i := range 400 {
			now := time.Second + time.Duration(i)*10*ms
			first := len(h.attempts)
			for k := range 4 { // more than the own zone can take at once
				r := newTestRequest(RequestID(4*i+k), idempotentClass, 10)
				r.Deadline = now + time.Second
				b.HandleRequest(now, r)
			}
			for _, a := range h.attempts[first:] {
				if a.to != list[0].ID {
					remote++
				}
				completeAttempt(b, now+5*ms, a.id, 0, a.to, OK)
			}
			b.Timer(now+6*ms, tickToken)
		}
		require.Equal(t, c.used, remote > 0, c.zones)
		require.Less(t, remote, 300, "in slow start it gets little")
	}
}
