package piernotch

import (
	"math/rand/v2"
	"time"

	"piernotch/internal/decision/concurrency"
	"piernotch/internal/decision/lanes"
	"piernotch/internal/decision/workload"
)

const (
	ticksPerObjective = 16.0 // ticks within the shortest latency objective
	serversPerTick    = 256  // servers that can be reviewed at every tick
	tickToken         = 1    // of the timer that ticks
)

// New returns a Balancer that acts through host, or an error that names the setting it cannot use. The
// seed determines every random draw: equal seeds and events give equal actions.
func New(s Settings, seed uint64, host Host) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings: s, host: host, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		endpoints: newEndpointSet(s.Zone),
		requests:  newRequestTable(), workload: workload.New(),
	}
	if b.manyBalancers() {
		b.windowSeed = b.rng.Uint64()
	}
	for i := range b.groups {
		b.groups[i].concurrency = concurrency.New()
		b.groups[i].lanes = lanes.NewGroup(b.rng)
	}
	b.deriveFromSettings()
	return b, nil
}

// ensureStarted starts the ticks at the first event.
func (b *Balancer) ensureStarted(now time.Duration) {
	if b.started {
		return
	}
	b.started = true
	b.sendRate.Start(now)
	for i := range b.groups {
		b.groups[i].sendRate.Start(now)
	}
	b.subscription.Start(now, b.rng)
	b.host.SetTimer(b.tickInterval, tickToken)
}

// HandleRequest takes a client's request, which gets one final answer unless its client leaves. It ignores
// a request with an unknown class or the id of an open one.
func (b *Balancer) HandleRequest(now time.Duration, in Request) {
	b.ensureStarted(now)
	if in.Class < 0 || in.Class >= len(b.settings.Classes) || b.requests.find(in.ID) != nil {
		return
	}
	r := b.newRequest(now, in)
	b.observeArrival(r)
	b.retryBudget.RequestArrived()
	if b.admission.ShedsArrival(r.priority, b.rng.Float64()) {
		b.rejectOrFail(r)
		return
	}
	b.dispatchOrQueue(now, r)
}

// HandleOutcome takes the end of an attempt. One that is unknown or has ended already is ignored.
func (b *Balancer) HandleOutcome(now time.Duration, o Outcome) {
	b.ensureStarted(now)
	r := b.requests.find(o.ID)
	if r == nil || r.findOpenAttempt(o.Attempt) == nil {
		return
	}
	b.recordOutcome(now, r, b.endAttempt(r, o), o)
	r.done = r.done || o.Closed
	b.retryOrAnswer(now, r, o.Status)
	b.dispatchWaiting(now)
}

// ClientDisconnected closes a request whose client has left.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	b.ensureStarted(now)
	if r := b.requests.find(id); r != nil && !r.done {
		b.closeRequest(r)
	}
}

// ResponseStarted records that an attempt's response goes to the client: no retry or cancel from then on.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID, attemptNumber int) {
	b.ensureStarted(now)
	r := b.requests.find(id)
	if r == nil {
		return
	}
	if responding := r.findOpenAttempt(attemptNumber); responding != nil {
		r.streaming = true
		responding.server.lastAnswerAt = now
	}
}

// Timer runs a tick: it reviews the servers, the shedding and every open request.
func (b *Balancer) Timer(now time.Duration, token uint32) {
	b.ensureStarted(now)
	if token != tickToken {
		return
	}
	b.host.SetTimer(b.tickInterval, tickToken)
	if b.subscription.SubscribeIfDue(now) {
		b.host.WatchEndpoints()
	}
	b.ticks++
	reviewEvery := 1 + len(b.endpoints.sorted)/serversPerTick // a pass over a large fleet takes long
	if b.ticks%reviewEvery == 0 {
		b.reviewServers(now)
	}
	b.updateExpectedWork()
	b.admission.Tick()
	for i := len(b.requests.open) - 1; i >= 0; i = min(i, len(b.requests.open)) - 1 { // reviews release some
		b.reviewRequest(now, b.requests.open[i])
	}
}

// reviewServers ends slow starts, starts health checks and updates weights and limits.
func (b *Balancer) reviewServers(now time.Duration) {
	for _, target := range b.endpoints.sorted {
		b.slowStart.EndIfDue(now, &target.slowStart)
		b.startHealthCheckIfDue(now, target)
	}
	b.rebuildGroups(now)
	b.updatePeakCompletionRate()
	for i := range b.groups {
		b.adjustConcurrencyLimit(now, &b.groups[i])
	}
	b.admission.ReviewLateness(now)
}

// reviewRequest dispatches a waiting request, and hedges one with an overdue attempt.
func (b *Balancer) reviewRequest(now time.Duration, r *request) {
	switch {
	case r.waiting():
		b.dispatchOrQueue(now, r)
	case r.answerable() && b.ejectSilent(now, r):
		b.hedge(now, r)
	}
}

// rejectOrFail gives the final answer: rejected if trying again is certain to do no harm, else failed.
func (b *Balancer) rejectOrFail(r *request) {
	if r.repeatIsHarmless() {
		b.host.Reject(r.ID, b.admission.RetryAfter())
	} else {
		b.host.Fail(r.ID)
	}
	b.closeRequest(r)
}

// closeRequest ends a request that needs no further answer, and cancels its open attempts.
func (b *Balancer) closeRequest(r *request) {
	r.done = true
	if b.settings.Limits.CancelAttempts && !r.streaming {
		for i := range r.attempts {
			if !r.attempts[i].ended {
				b.host.CancelAttempt(r.ID, i)
			}
		}
	}
	b.requests.releaseIfFinished(r)
}
