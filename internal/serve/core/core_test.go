package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
)

const (
	start         = 1000 * time.Second
	discoveryAddr = "127.0.0.1:2"
)

// newClass returns a class with a deadline of 2 s.
func newClass(name string, safety piernotch.RetrySafety) piernotch.Class {
	return piernotch.Class{
		Name: name, LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, RetrySafety: safety,
	}
}

// listedServer returns s-1 as discovery lists it.
func listedServer(state piernotch.State) DiscoveredEndpoint {
	return DiscoveredEndpoint{Name: "s-1", Address: "127.0.0.1:1", Endpoint: piernotch.Endpoint{State: state, Size: 1}}
}

// newCoreWith returns a core that has one class and has received the given endpoints.
func newCoreWith(t *testing.T, class piernotch.Class, limits piernotch.Limits, endpoints ...DiscoveredEndpoint) *Core {
	t.Helper()
	settings := piernotch.Settings{
		BalancerCount: 1, Zones: []string{"a"}, Tick: TickInterval, Classes: []piernotch.Class{class}, Limits: limits,
		Rules: piernotch.Rules{SlowStartDuration: time.Second},
	}
	c, err := New(Options{Settings: settings, Seed: 1, Now: start, Discovery: discoveryAddr, ProcessID: 1})
	require.NoError(t, err)
	c.Handle(start, EndpointUpdate{Kind: piernotch.UpdateFull, Endpoints: endpoints})
	return c
}

// newCore returns a core with one class, c, which must not be retried, and one endpoint, s-1.
func newCore(t *testing.T) *Core {
	t.Helper()
	limits := piernotch.Limits{MaxAttempts: 2, CancelAttempts: true}
	return newCoreWith(t, newClass("c", piernotch.NonIdempotent), limits, listedServer(piernotch.Ready))
}

// newCoreWithHistory returns a core with two endpoints that has served 20 requests, in 10 ms each,
// so that the module can estimate latencies and may retry. It also returns the current time.
func newCoreWithHistory(t *testing.T, class piernotch.Class, limits piernotch.Limits) (*Core, time.Duration) {
	t.Helper()
	c := newCoreWith(t, class, limits,
		listedServer(piernotch.Ready),
		DiscoveredEndpoint{Name: "s-2", Address: "127.0.0.1:3", Endpoint: piernotch.Endpoint{Size: 1}},
	)
	now := start
	for i := range ExchangeID(20) {
		ref := startRequest(c, now, 100+i).Ref
		c.Handle(now, AttemptConnected{ref})
		now += 10 * time.Millisecond
		c.Handle(now, AttemptCompleted{Ref: ref, Status: piernotch.OK})
	}
	return c, now
}

// receive passes the core a request without an ID, received at start as exchange 1, and returns the effects.
func receive(c *Core) []Effect {
	return slices.Clone(c.Handle(start, RequestReceived{Exchange: 1, Deadline: start + 2*time.Second}))
}

// startRequest passes the core a request received at now and returns its first attempt.
func startRequest(c *Core, now time.Duration, exchange ExchangeID) StartAttempt {
	effects := c.Handle(now, RequestReceived{
		Exchange: exchange, ID: fmt.Sprint(exchange), CostHint: 1, Deadline: now + 2*time.Second,
	})
	return effects[0].(StartAttempt)
}

// awaitAttempt sends Ticks until another attempt starts, for up to 1 s, and returns the attempt and the
// time.
func awaitAttempt(t *testing.T, c *Core, now time.Duration) (StartAttempt, time.Duration) {
	t.Helper()
	for end := now + time.Second; now < end; {
		now += TickInterval
		for _, e := range c.Handle(now, Tick{}) {
			if s, ok := e.(StartAttempt); ok {
				return s, now
			}
		}
	}
	require.Fail(t, "no further attempt was started")
	return StartAttempt{}, 0
}
