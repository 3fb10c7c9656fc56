package piernotch

import (
	"math"
	"math/rand/v2"
	"time"
)

// Figures of the module's own. None belongs to a deployment: each is a share, a
// count or a smoothing factor; times and rates come from Settings or observation.
const (
	groupSmoothing         = 1.0 / 16 // weight of one outcome in a running mean over a group
	backendSmoothing       = 1.0 / 6  // the same for one backend, which sees fewer outcomes
	retryBudgetShare       = 0.15     // retries and hedges, as a share of requests
	shedGain               = 1.0 / 4  // change of shedding in one shortest aim while all is late
	objectiveShare         = 0.9      // an answer is expected within this share of the time left
	minSpillers            = 3.0      // proxies of other zones that spill to one backend, or
	spillerShare           = 0.1      // such a share of all, if that is more
	totalInflightBound     = 6.0      // a backend that holds so many for each level of depth has no room
	totalInflightBoundLast = 10.0     // and so many where nothing else has any
	totalInflightBoundKey  = 8.0      // and so many for a request whose key it may know
	targetInflight         = 1.5      // what a backend should hold, on the mean of its group
	limitAdjustTime        = 0.35     // seconds in which the limit on a group changes by e at the most
	starvedBelow           = 0.8      // of the mean share that is sent, a band gets at least, if it waits
	fewBalancersPerZone    = 4.0      // so many proxies in a zone need no limit but those on their own
	slowStartMultiple      = 3.0      // a cold backend may get so many times its share: a fall is a little further
	slowStartGrowth        = 2.0      // and so many times what it last answered, if it held next to nothing
	slowStartWindows       = 8        // spans, within that of the rule, for which a send to it is drawn
	idleInflight           = 1.5      // requests, which are next to nothing
	pathMinAnswers         = 64       // answers that tell how long the way to a zone is
	pathMaxShare           = 0.75     // the most of what is out that counts as on its way
	failsClassShare        = 0.3      // a class that fails so often where others do not keeps away
	silenceDeviations      = 4.0      // silence counts from this many mean deviations on, as in TCP
	ticksPerObjective      = 16.0     // sweeps within the shortest aim
	backendsPerTick        = 256      // backends that a sweep looks at without a thought
)

const tickToken = 1

// New returns a Balancer, or an error that names the setting it cannot use.
func New(s Settings, seed uint64, host Host) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings: s, host: host, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), largeWorkShare: 0.5,
		backends: map[BackendID]*backend{}, excluded: map[BackendID]bool{},
		requests: map[RequestID]*request{}, zonePaths: map[int]*zonePath{},
	}
	if b.manyBalancers() {
		b.windowSeed = b.rng.Uint64()
	}
	for i := range b.groups { // proxies that start together must not walk the fleet in step
		b.groups[i].inflightLimit = math.Inf(1)
		b.groups[i].nextTurn = [2]int{b.rng.IntN(math.MaxInt32), b.rng.IntN(math.MaxInt32)}
	}
	b.quotas = make([]tokenBucket, len(s.Tenants))
	b.deriveFromSettings()
	return b, nil
}

// ensureStarted sets the sweep going at the first event.
func (b *Balancer) ensureStarted(now time.Duration) {
	if b.started {
		return
	}
	b.started = true
	b.sendRate.since, b.groups[0].sendRate.since, b.groups[1].sendRate.since = now, now, now
	b.nextWatchAt = now + jitter(b.rng, b.watchBackoff)
	b.host.SetTimer(b.tickInterval, tickToken)
}

// HandleRequest takes a client's request, which is owed one final answer from here on.
func (b *Balancer) HandleRequest(now time.Duration, in Request) {
	b.ensureStarted(now)
	if in.Class < 0 || in.Class >= len(b.settings.Classes) || b.requests[in.ID] != nil {
		return
	}
	r := b.newRequest(now, in)
	b.observeArrival(r)
	b.retryBudget = min(b.retryBudget+retryBudgetShare, float64(b.settings.Limits.MaxAttempts)/retryBudgetShare)
	if b.rng.Float64() < b.priorities[r.priority].rejectShare {
		b.rejectOrFail(r)
		return
	}
	if !b.dispatch(now, r) {
		b.waitOrReject(now, r)
	}
}

// HandleOutcome takes the end of an attempt.
func (b *Balancer) HandleOutcome(now time.Duration, o Outcome) {
	b.ensureStarted(now)
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	t := &r.attempts[o.Attempt]
	t.ended, t.status = true, o.Status
	r.inflight--
	t.backend.inflight--
	if t.warm {
		b.groups[t.backend.locality].inflight--
	}
	t.backend.backlog = max(t.backend.backlog-r.work, 0)
	b.recordOutcome(now, r, t, o)
	defer b.dispatchWaiting(now)
	r.done = r.done || o.Closed
	if r.done {
		b.release(r)
		return
	}
	if o.Status != Timeout && b.retryBudget >= 1 && now < r.objective && b.dispatch(now, r) {
		b.retryBudget--
		return
	}
	if r.inflight == 0 {
		b.rejectOrFail(r)
	}
}

// ClientGone ends a request whose client left.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	b.ensureStarted(now)
	if r := b.requests[id]; r != nil && !r.done {
		b.closeRequest(r)
	}
}

// ResponseStarted notes that an answer has started: the attempt is the client's now.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID, try int) {
	b.ensureStarted(now)
	if r := b.requests[id]; r != nil && try >= 0 && try < len(r.attempts) && !r.attempts[try].ended {
		r.streaming = true
		r.attempts[try].backend.lastAnswerAt = now
	}
}

// Timer runs the sweep: what is overdue, what has waited, and what drifts.
func (b *Balancer) Timer(now time.Duration, token uint32) {
	b.ensureStarted(now)
	if token != tickToken {
		return
	}
	b.host.SetTimer(b.tickInterval, tickToken)
	b.watchIfDue(now)
	b.updatePriorities(now)
	for i := len(b.openRequests) - 1; i >= 0; i = min(i, len(b.openRequests)) - 1 { // what is inspected may go
		b.reviewRequest(now, b.openRequests[i])
	}
}

func (b *Balancer) reviewRequest(now time.Duration, r *request) {
	if r.done || r.streaming {
		return
	}
	if r.inflight == 0 {
		if !b.dispatch(now, r) {
			b.waitOrReject(now, r)
		}
		return
	}
	overdue := false
	for i := range r.attempts {
		t := &r.attempts[i]
		if t.ended || now-t.sentAt < b.silenceTimeout(&b.groups[t.backend.locality], r.work) {
			continue
		}
		overdue = true
		// A hung backend takes work and says nothing; one that answered others
		// since is only slow with this one.
		if t.backend.lastAnswerAt < t.sentAt && t.backend.ejections == 0 {
			b.eject(now, t.backend)
		}
	}
	if overdue && !r.hedged && b.shedShare == 0 && b.retryBudget >= 1 && now < r.objective {
		if b.dispatch(now, r) {
			r.hedged = true
			b.retryBudget--
		}
	}
}

// reviewBackends finds who has warmed up and whose time for a trial has come, and weighs all.
func (b *Balancer) reviewBackends(now time.Duration) {
	for _, to := range b.sorted {
		if to.slowStartSince >= 0 && (now >= to.slowStartSince+b.settings.Rules.SlowStartDuration || (to.assumedRestartUntil > 0 && now >= to.assumedRestartUntil)) {
			to.slowStartSince, to.assumedRestartUntil = -1, 0
		}
		if to.ejections == 0 || now < to.trialAt || !to.available() {
			continue
		}
		if b.settings.Limits.HealthChecks && !to.healthCheckPassed && !to.healthCheckInflight {
			to.healthCheckInflight = true
			b.host.HealthCheck(to.ID)
		}
	}
	b.rebuildGroups(now)
	b.updatePeakCompletionRate()
	for i := range b.groups {
		b.adjustInflightLimit(now, &b.groups[i])
		if g := &b.groups[i]; now-g.lateUpdatedAt > b.shortestObjective*ticksPerObjective { // nobody is looking
			g.lateShare -= g.lateShare / (ticksPerObjective * ticksPerObjective)
		}
	}
}

// rejectOrFail gives the final answer: refused where that is true, else failed.
func (b *Balancer) rejectOrFail(r *request) {
	switch {
	case r.firstMaybeExecuted() == nil, r.class.RetrySafety == Idempotent, r.class.RetrySafety == IdempotencyKey && r.class.DedupScope == DedupEverywhere:
		b.host.Reject(r.ID, b.retryAfter())
	default:
		b.host.Fail(r.ID)
	}
	b.closeRequest(r)
}

// retryAfter tells a refused client how long to stay away.
func (b *Balancer) retryAfter() time.Duration {
	if !b.settings.Limits.RetryAfter || b.shedShare == 0 {
		return 0
	}
	return min(b.shortestObjective, b.settings.Limits.MaxRetryAfter)
}

// closeRequest closes a request that is owed nothing more and cancels what is still out.
func (b *Balancer) closeRequest(r *request) {
	r.done = true
	if b.settings.Limits.CancelAttempts && !r.streaming {
		for i := range r.attempts {
			if !r.attempts[i].ended {
				b.host.CancelAttempt(r.ID, i)
			}
		}
	}
	b.release(r)
}
