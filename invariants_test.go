package piernotch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// invariantChecker is a Host that checks every action. Requests go only to ready servers, retries respect the
// class's retry safety, attempts stay within their limit, and each request gets one final response in time.
type invariantChecker struct {
	t                *testing.T
	set              Settings
	now              time.Duration
	requests         map[RequestID]*trackedRequest
	unavailableSince map[ServerID]time.Duration // according to the endpoint list
	entries          map[ServerID]Endpoint
	violations       []string
	timers           []time.Duration
}

type trackedRequest struct {
	Request
	attempts  []trackedAttempt
	responses int
}

type trackedAttempt struct {
	server    ServerID
	startedAt time.Duration
	done      bool
	status    Status
}

func (c *invariantChecker) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *invariantChecker) StartAttempt(id RequestID, to ServerID, _ time.Duration) {
	r := c.requests[id]
	if r.responses > 0 {
		c.violate("attempt for %d after its response", id)
	}
	if at, ok := c.unavailableSince[to]; ok && c.now > at {
		c.violate("sent to %d, which is not ready", to)
	}
	class := c.set.Classes[r.Class]
	for _, t := range r.attempts {
		if t.done && t.status.NeverExecuted() {
			continue
		}
		first, second := c.entries[t.server], c.entries[to]
		sameScope := class.DedupScope == DedupEverywhere ||
			class.DedupScope == DedupInZone && first.Zone == second.Zone ||
			class.DedupScope == DedupInCell && first.Cell == second.Cell
		deduplicated := sameScope && c.now <= t.startedAt+class.DedupWindow
		if class.RetrySafety == NonIdempotent || class.RetrySafety == IdempotencyKey && !deduplicated {
			c.violate("class %d sent again from %d to %d", r.Class, t.server, to)
		}
		break
	}
	if len(r.attempts) >= c.set.Limits.MaxAttempts {
		c.violate("attempt %d of %d", len(r.attempts), id)
	}
	r.attempts = append(r.attempts, trackedAttempt{server: to, startedAt: c.now})
}

func (c *invariantChecker) mayHaveExecuted(r *trackedRequest) bool {
	return slices.ContainsFunc(r.attempts, func(t trackedAttempt) bool { return !t.done || !t.status.NeverExecuted() })
}

func (c *invariantChecker) Reject(id RequestID, _ time.Duration) {
	r := c.requests[id]
	class := c.set.Classes[r.Class]
	deduplicated := class.RetrySafety == IdempotencyKey && class.DedupScope == DedupEverywhere
	harmless := class.RetrySafety == Idempotent || deduplicated
	if c.mayHaveExecuted(r) && !harmless {
		c.violate("rejected %d, which may have executed", id)
	}
	c.respond(id)
}

func (c *invariantChecker) Fail(id RequestID) { c.respond(id) }

func (c *invariantChecker) respond(id RequestID) {
	r := c.requests[id]
	r.responses++
	if r.responses > 1 || c.now > r.Deadline+20*ms {
		c.violate("response %d for %d, %v after its deadline", r.responses, id, c.now-r.Deadline)
	}
}

func (c *invariantChecker) CancelAttempt(RequestID, int) {}

func (c *invariantChecker) HealthCheck(ServerID) {}

func (c *invariantChecker) WatchEndpoints() {}

func (c *invariantChecker) SetTimer(d time.Duration, _ uint32) { c.timers = append(c.timers, c.now+d) }

// completeRandomAttempt ends an attempt of a random request. Servers whose ID is a multiple of 5
// never respond before the timeout.
func (c *invariantChecker) completeRandomAttempt(b *Balancer, rng *rand.Rand, live []RequestID) {
	if len(live) == 0 {
		return
	}
	id := live[rng.IntN(len(live))]
	r := c.requests[id]
	for i := range r.attempts {
		if t := &r.attempts[i]; !t.done && t.server%5 != 0 {
			statuses := []Status{OK, OK, OK, OK, Error, Full, ConnectFailed, Reset}
			c.complete(b, r, i, statuses[rng.IntN(len(statuses))])
			return
		}
	}
}

// complete ends attempt i of a request with the status s, and reports its outcome to the Balancer.
func (c *invariantChecker) complete(b *Balancer, r *trackedRequest, i int, s Status) {
	t := &r.attempts[i]
	t.done, t.status = true, s
	if s == OK {
		r.responses = max(r.responses, 1)
	}
	b.HandleOutcome(c.now, Outcome{
		ID: r.ID, Attempt: i, Server: t.server, Status: s, Latency: c.now - t.startedAt, RequestDone: r.responses > 0,
	})
}

// timeOutOverdue times out the attempts in flight past their request's deadline, and returns the requests that
// are still open. A request that has no response 20 ms after its deadline is a violation.
func (c *invariantChecker) timeOutOverdue(b *Balancer, live []RequestID) []RequestID {
	return slices.DeleteFunc(live, func(id RequestID) bool {
		r := c.requests[id]
		open := false
		for i := range r.attempts {
			if r.attempts[i].done {
				continue
			}
			if c.now < r.Deadline {
				open = true
				continue
			}
			c.complete(b, r, i, Timeout)
		}
		if c.now > r.Deadline+20*ms && r.responses == 0 {
			c.violate("request %d got no response", id)
			return true
		}
		return r.responses > 0 && !open
	})
}

// runRandomEvents plays 20000 random events and returns the violations. It calls breakGuard, unless that is
// nil, after each event.
func runRandomEvents(t *testing.T, seed uint64, breakGuard func(*Balancer)) []string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	s := testSettings()
	s.Limits.HealthChecks, s.KeyAffinity = seed%2 == 0, seed%3 == 0
	c := &invariantChecker{t: t, set: s, now: time.Second, requests: map[RequestID]*trackedRequest{},
		unavailableSince: map[ServerID]time.Duration{}, entries: map[ServerID]Endpoint{}}
	b, err := New(s, seed, c)
	if err != nil {
		t.Fatal(err)
	}
	list := testEndpoints(6, 2)
	for _, e := range list {
		c.entries[e.ID] = e
	}
	b.UpdateEndpoints(c.now, UpdateCached, list)
	next := RequestID(1)
	var live []RequestID
	for range 20000 {
		c.now += time.Duration(rng.IntN(4)) * ms
		for i := 0; i < len(c.timers); i++ {
			if c.timers[i] <= c.now {
				c.timers = slices.Delete(c.timers, i, i+1)
				b.Timer(c.now, tickToken)
				break
			}
		}
		switch k := rng.IntN(20); {
		case k < 9:
			r := Request{ID: next, Class: rng.IntN(len(s.Classes)), Key: uint64(rng.IntN(5)),
				Deadline: c.now + time.Duration(5+rng.IntN(1500))*ms, CostHint: rng.ExpFloat64() * 20}
			c.requests[next] = &trackedRequest{Request: r}
			live = append(live, next)
			next++
			b.HandleRequest(c.now, r)
		case k < 10:
			e := &list[rng.IntN(len(list))]
			e.State = State(rng.IntN(3))
			if rng.IntN(3) > 0 {
				e.State = Ready
			}
			if rng.IntN(4) == 0 {
				e.StartedAt = c.now
			}
			delete(c.unavailableSince, e.ID)
			if e.State != Ready {
				c.unavailableSince[e.ID] = c.now - 1
			}
			b.UpdateEndpoints(c.now, UpdateDelta, []Endpoint{*e})
		case k < 11 && len(live) > 0:
			id := live[rng.IntN(len(live))]
			if c.requests[id].responses == 0 {
				c.requests[id].responses++
				b.ClientDisconnected(c.now, id)
			}
		default:
			c.completeRandomAttempt(b, rng, live)
		}
		live = c.timeOutOverdue(b, live)
		if breakGuard != nil {
			breakGuard(b)
		}
	}
	return c.violations
}

func TestInvariantsHoldOverRandomEvents(t *testing.T) {
	for seed := range uint64(6) {
		if violations := runRandomEvents(t, seed, nil); len(violations) > 0 {
			t.Errorf("seed %d: %d violations, first: %s", seed, len(violations), violations[0])
		}
	}
}

// The checker must detect a Balancer that retries requests that are not idempotent, or sends to draining
// servers.
func TestInvariantCheckDetectsBrokenGuard(t *testing.T) {
	retryAll := func(b *Balancer) {
		b.settings.Classes = slices.Clone(b.settings.Classes)
		for i := range b.settings.Classes {
			b.settings.Classes[i].RetrySafety = Idempotent
		}
	}
	if len(runRandomEvents(t, 1, retryAll)) == 0 {
		t.Error("retries of requests that are not idempotent went unnoticed")
	}
	sendToDraining := func(b *Balancer) {
		for _, to := range b.endpoints.sorted {
			to.State = Ready
		}
		b.groupsStale = true
	}
	if len(runRandomEvents(t, 1, sendToDraining)) == 0 {
		t.Error("requests to draining servers went unnoticed")
	}
}
