package simulation

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/lab/scenario"
)

// What is taken is always the first of what is there, also while more is planned.
func TestTheCalendarNeverGoesBack(t *testing.T) {
	var c eventQueue
	rng := rand.New(rand.NewPCG(2, 2))
	now := time.Duration(0)
	for range 3000 {
		c.plan(time.Duration(rng.IntN(1000000)), priorityMessage, eventScript, 0, 0)
	}
	for range 100000 {
		e, ok := c.pop()
		require.True(t, ok)
		require.GreaterOrEqual(t, e.at, now)
		now = e.at
		c.plan(now+time.Duration(rng.IntN(1000000)), priorityMessage, eventScript, 0, 0)
	}
}

func TestTheCalendarKeepsTheOrderOfTimeThenKindThenPlanning(t *testing.T) {
	var c eventQueue
	rng := rand.New(rand.NewPCG(1, 1))
	var want []plannedEvent
	for i := range 5000 {
		at, prio := time.Duration(rng.IntN(50)), uint8(rng.IntN(9))
		c.plan(at, prio, eventScript, uint64(i), 0)
		want = append(want, plannedEvent{at: at, order: uint64(prio)<<56 | uint64(i+1), id: uint64(i)})
		if rng.IntN(3) == 0 {
			e, _ := c.pop()
			want = slices.DeleteFunc(want, func(w plannedEvent) bool { return w.id == e.id })
		}
	}
	slices.SortFunc(want, func(x, y plannedEvent) int {
		if x.before(&y) {
			return -1
		}
		return 1
	})
	for _, w := range want {
		e, ok := c.pop()
		require.True(t, ok)
		require.Equal(t, w.id, e.id)
	}
	_, ok := c.pop()
	require.False(t, ok)
}

// An answer that arrives in the very microsecond of a time-out is an answer.
func TestAnAnswerWinsOverATimeoutInTheSameMicrosecond(t *testing.T) {
	s, err := scenario.Parse("tie.toml", []byte(`
name = "tie"
length_s = 1
[zones]
same_ms = 1
client_ms = 0
jitter = 0
[balancers]
count = 1
[fleet]
servers = 1
weights = "none"
[traffic]
load = 0
hints = "exact"
[[kind]]
name = "one"
handshake_rtts = 0
[[class]]
name = "read"
dist = "fixed"
work_ms = 10
aim_ms = 1000
deadline_ms = 1000
`))
	require.NoError(t, err)
	for timeout, want := range map[time.Duration]piernotch.Status{12 * time.Millisecond: piernotch.OK, 12*time.Millisecond - time.Microsecond: piernotch.Timeout} {
		d, err := s.Draw(1)
		require.NoError(t, err)
		w, err := New(d, faulty{NewInProcess(), func(_ time.Duration, _ []Event, a []Action) []Action {
			for i := range a {
				if a[i].Kind == ActionStartAttempt { // 1 ms there, 10 ms of work, 1 ms back
					a[i].Delay = timeout
				}
			}
			return a
		}})
		require.NoError(t, err)
		w.schedule(100*time.Millisecond, func() { w.traffic.clientArrives(w) })
		r, err := w.Run()
		require.NoError(t, err)
		require.Positive(t, w.counters.Outcomes[want], "time-out after %v: %v", timeout, r.Ended)
		require.Zero(t, w.counters.Outcomes[piernotch.OK]*w.counters.Outcomes[piernotch.Timeout])
	}
}

func TestATroubleHitsItsServersAndEnds(t *testing.T) {
	calm := play(t, NewInProcess(), "base", 3)
	for _, c := range []struct {
		what string
		set  []string
		hurt func(r *Result) bool
	}{
		{"slow", []string{"part=0.5", "size=8"}, func(r *Result) bool { return r.Service < calm.Service }},
		{"vanish", []string{"part=0.3"}, func(r *Result) bool { return r.Ended["timeout"]+r.Ended["connect_failed"] > calm.Ended["timeout"]+5 }},
		{"crash", []string{"part=0.3"}, func(r *Result) bool { return r.Ended["reset"]+r.Ended["connect_failed"] > 0 }},
		{"heavy_tail", []string{"part=0.1", "size=20"}, func(r *Result) bool { return r.P99 > calm.P99 }},
		{"burst", []string{"size=3"}, func(r *Result) bool { return r.Requests > calm.Requests*6/5 }},
		{"shrink", []string{"size=2"}, func(r *Result) bool { return r.Requests < calm.Requests*9/10 }},
		{"balancer_crash", []string{"part=0.5"}, func(r *Result) bool { return r.Tries > calm.Tries }},
		{"discovery_outage", nil, func(r *Result) bool { return r.Requests == calm.Requests }},
		{"replace", []string{"part=1", "ramp_s=3"}, func(r *Result) bool { return r.Ended["full"] > 0 }},
		{"join", []string{"part=0.5"}, func(r *Result) bool { return r.Service > calm.Service-0.05 }},
	} {
		text := "include = \"base\"\n[[trouble]]\nkind = \"" + c.what + "\"\nat_s = 10\nfor_s = 15\n"
		for _, kv := range c.set {
			text += kv + "\n"
		}
		s, err := scenario.Parse(c.what, []byte(text))
		require.NoError(t, err)
		d, err := s.Draw(3)
		require.NoError(t, err)
		w, err := New(d, NewInProcess())
		require.NoError(t, err)
		r, err := w.Run()
		require.NoError(t, err)
		require.True(t, c.hurt(r), "%s: %+v", c.what, r.Ended)
		require.Zero(t, r.Broken(), "%s: %v", c.what, r.Breaks)
		if c.what != "heavy_tail" && c.what != "burst" && c.what != "shrink" { // those change the traffic
			require.Equal(t, calm.Requests, r.Requests, c.what)
		}
	}
}
