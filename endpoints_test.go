package piernotch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/decision/subscription"
)

func TestRestartUnderSameIDStartsSlowStart(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), testEndpoints(2, 1))
	b.eject(time.Second, b.endpoints.sorted[0])
	e := testEndpoints(2, 1)[0]
	e.StartedAt = 1500 * ms
	b.UpdateEndpoints(2*time.Second, UpdateDelta, []Endpoint{e})
	to := b.endpoints.find(1)
	since, inSlowStart := to.slowStart.Since()
	if to.outlier.Ejected() || !inSlowStart || since != e.StartedAt {
		t.Fatalf("%d ejections, in slow start: %v, since %v", to.outlier.Ejections(), inSlowStart, since)
	}
}

func TestPollDiscoveryBacksOffAfterFailure(t *testing.T) {
	s := testSettings()
	s.PollDiscovery = true
	b, h := newTestBalancer(t, s, testEndpoints(2, 1))
	now := time.Second
	run := func(d time.Duration) {
		for until := now + d; now < until; now += b.tickInterval {
			b.Timer(now, tickToken)
		}
	}
	run(s.Rules.PollInterval)
	if h.watches != 1 {
		t.Fatalf("%d subscriptions within the poll interval", h.watches)
	}
	b.UpdateEndpoints(now, UpdateFailed, nil)
	if len(b.endpoints.sorted) != 2 {
		t.Fatal("a failed update emptied the list")
	}
	b.Timer(now, tickToken)
	if h.watches != 1 {
		t.Fatal("subscribed again without a backoff")
	}
	firstBackoff := s.Rules.PollInterval / 8
	run(firstBackoff * 3 / 2)
	if h.watches != 2 {
		t.Fatal("did not subscribe again")
	}
	b.UpdateEndpoints(now, UpdateFailed, nil)
	run(firstBackoff) // the second backoff is twice the first, and jitter leaves at least half of it
	if h.watches != 2 {
		t.Fatal("the backoff did not grow")
	}
	run(firstBackoff*2 + b.tickInterval)
	if h.watches != 3 {
		t.Fatal("did not subscribe after the second backoff")
	}
}

// With latency objectives of a minute, ticks without maxTickInterval would be nearly 4 s apart, and a due
// subscription would come too late. The balancer must subscribe within half of NotifyLimit.
func TestLongObjectivesDoNotDelaySubscription(t *testing.T) {
	s := testSettings()
	s.PollDiscovery = true
	s.Rules.PollInterval = time.Hour
	for i := range s.Classes {
		s.Classes[i].LatencyObjective = time.Minute
		s.Classes[i].Deadline = 2 * time.Minute
	}
	b, h := newTestBalancer(t, s, testEndpoints(2, 1))
	require.LessOrEqual(t, b.tickInterval, maxTickInterval)
	now := time.Second
	for until := now + subscription.NotifyLimit/2; now < until; now += b.tickInterval {
		b.Timer(now, tickToken)
	}
	require.Equal(t, 1, h.watches)
}
