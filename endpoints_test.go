package piernotch

import (
	"testing"
	"time"
)

func TestRestartUnderSameIDStartsSlowStart(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), testEndpoints(2, 1))
	b.eject(time.Second, b.sorted[0])
	e := testEndpoints(2, 1)[0]
	e.StartedAt = 1500 * ms
	b.UpdateEndpoints(2*time.Second, UpdateDelta, []Endpoint{e})
	if to := b.backends[1]; to.ejections != 0 || to.slowStartSince != e.StartedAt {
		t.Fatalf("ejected %d, cold since %v", to.ejections, to.slowStartSince)
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
		t.Fatalf("%d subscriptions within the time to ask", h.watches)
	}
	b.UpdateEndpoints(now, UpdateFailed, nil)
	gap := b.watchBackoff
	if len(b.sorted) != 2 {
		t.Fatal("a failed call emptied the list")
	}
	b.Timer(now, tickToken)
	if h.watches != 1 {
		t.Fatal("asked again without a pause")
	}
	run(gap)
	if h.watches != 2 {
		t.Fatal("did not ask again")
	}
	b.UpdateEndpoints(now, UpdateFailed, nil)
	if b.watchBackoff <= gap {
		t.Fatal("no back-off")
	}
}
