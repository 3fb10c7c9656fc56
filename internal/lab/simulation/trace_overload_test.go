package simulation

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/trafficrecording"
)

// roundRobinTier sends each request at once to the next ready server of the list, whatever the server's load,
// and waits for the response until the deadline.
type roundRobinTier struct {
	ready   [][]piernotch.ServerID
	next    []int
	actions []Action
}

func (h *roundRobinTier) Close() error { return nil }

func (h *roundRobinTier) Turn(now time.Duration, events []Event) ([]Action, error) {
	h.actions = h.actions[:0]
	do := func(a Action) { h.actions = append(h.actions, a) }
	for _, e := range events {
		for len(h.ready) <= e.Balancer {
			h.ready, h.next = append(h.ready, nil), append(h.next, 0)
		}
		list := &h.ready[e.Balancer]
		switch e.Kind {
		case EventStart:
			do(Action{Kind: ActionWatchEndpoints, Balancer: e.Balancer})
		case EventEndpointList:
			for _, en := range e.Entries {
				others := (*list)[:0]
				for _, id := range *list {
					if id != en.ID {
						others = append(others, id)
					}
				}
				if *list = others; en.State == piernotch.Ready {
					*list = append(*list, en.ID)
				}
			}
		case EventRequest:
			h.next[e.Balancer]++
			do(
				Action{
					Kind:     ActionStartAttempt,
					Balancer: e.Balancer,
					ID:       e.Request.ID,
					Server:   (*list)[h.next[e.Balancer]%len(*list)],
				},
			)
		case EventAttemptCompleted:
			if !e.Outcome.RequestDone {
				do(Action{Kind: ActionFail, Balancer: e.Balancer, ID: e.Outcome.ID})
			}
		}
	}
	return h.actions, nil
}

// A recorded burst meets a fleet that shrinks to half of its servers. With round robin the servers are
// overloaded and stay slow long after the burst. With the decision module, fewer servers become overloaded and more
// requests are served after the burst.
func TestRoundRobinStaysOverloadedAfterRecordedBurst(t *testing.T) {
	name := filepath.Join(t.TempDir(), "burst.pnt")
	out, err := trafficrecording.Create(
		name,
		trafficrecording.Header{Classes: []string{"segment-read"}},
		trafficrecording.Limits{Pending: 1 << 16},
	)
	require.NoError(t, err)
	gap := func(at time.Duration) time.Duration {
		if at >= 12*time.Second && at < 20*time.Second {
			return 8 * time.Millisecond
		}
		return 20 * time.Millisecond
	}
	n := 0
	for at := time.Duration(0); at < 55*time.Second; at += gap(at) {
		out.Add(trafficrecording.Record{At: at, Key: uint64(n%500 + 1), CostHint: 80, Deadline: time.Second})
		n++
	}
	require.NoError(t, out.Close())
	set := []string{
		"traffic.trace=" + name,
		"trouble.burst.size=1",
		"clients.retries=0",
		"kind.*.cancel=queued",
		"kind.*.queue_per_core=30",
		"class.segment-read.attempt_cv=0",
		"trouble.leave.at_s=10",
		"trouble.leave.for_s=6",
	}
	served := func(r *Result, from, to int) float64 {
		asked, got := 0.0, 0.0
		for _, s := range r.Seconds[from:to] {
			asked, got = asked+s.AskedWeight, got+s.ServedWeight
		}
		return got / asked
	}
	bad, good := run(t, &roundRobinTier{}, "felt-quake", 4, set...), run(t, NewInProcess(), "felt-quake", 4, set...)
	require.Equal(t, n, bad.Requests)
	require.Equal(t, n, good.Requests)
	require.Greater(t, served(bad, 0, 9), 0.9, "before the burst")
	require.Greater(t, bad.OverloadedShare, 0.3)
	require.Less(t, served(bad, 24, 34), 0.6, "the burst is over, the overload is not")
	require.Less(t, good.OverloadedShare, bad.OverloadedShare)
	require.Greater(t, served(good, 24, 34), served(bad, 24, 34)+0.2)
	require.Zero(t, good.ViolationCount(), good.Violations)
}

// A request and a drain of all servers reach a balancer in the same tick. The balancer decides at the end of the
// tick; an attempt sent then is not a violation.
func TestDrainNotifiedInSameTickPrecedesRequest(t *testing.T) {
	s, err := scenario.Load("quiet")
	require.NoError(t, err)
	s, err = s.With(
		"traffic.load=0",
		"length_s=3",
		"zones.client_ms=0",
		"zones.jitter=0",
		"fleet.servers=2",
		"balancers.count=1",
		"zones.servers=[1,0,0,0]",
	)
	require.NoError(t, err)
	d, err := s.Draw(1)
	require.NoError(t, err)
	sent := 0
	w, err := New(d, faultyTier{NewInProcess(), func(_ time.Duration, _ []Event, a []Action) []Action {
		for i := range a {
			if a[i].Kind == ActionStartAttempt {
				sent++
			}
		}
		return a
	}})
	require.NoError(t, err)
	w.schedule(time.Second+3*time.Millisecond, func() {
		w.traffic.clientArrives(w) // arrives now; the list arrives 1 ms later, in the same tick
	})
	w.schedule(time.Second+4*time.Millisecond, func() {
		for s := range w.servers {
			w.discovery.entries[s].state = piernotch.Draining
		}
		w.discovery.send(w, 0, piernotch.UpdateDelta, []serverIndex{0, 1})
	})
	r, err := w.Run()
	require.NoError(t, err)
	require.Positive(t, r.Requests)
	require.Zero(t, r.ViolationCount())
	require.LessOrEqual(t, sent, 1, "only what came first in the tick")
	require.LessOrEqual(t, r.DrainLatest, 5.0, "within the tick")
}
