package piernotch

import (
	"math/rand/v2"
	"time"

	"piernotch/internal/decision/admission"
	"piernotch/internal/decision/concurrency"
	"piernotch/internal/decision/estimate"
	"piernotch/internal/decision/lanes"
	"piernotch/internal/decision/latency"
	"piernotch/internal/decision/loadreport"
	"piernotch/internal/decision/outlier"
	"piernotch/internal/decision/quota"
	"piernotch/internal/decision/retrybudget"
	"piernotch/internal/decision/slowstart"
	"piernotch/internal/decision/subscription"
	"piernotch/internal/decision/workload"
)

const (
	ticksPerObjective = 16.0 // ticks within the shortest latency objective
	serversPerTick    = 256  // servers that can be reviewed at every tick

	// maxTickInterval bounds the time between ticks where all objectives are long: what is due at a tick,
	// like the next subscription to the list, must not come later by more than this.
	maxTickInterval = 250 * time.Millisecond

	tickToken = 1 // of the timer that ticks

	// ticksToDispatch is the number of ticks within which a waiting request is looked at again for certain:
	// two, so that the next tick may come late by a whole interval.
	ticksToDispatch = 2
	// lightWorkShare is the share of its objective below which a request's work is light: only such
	// requests show by their latency whether there is too much load.
	lightWorkShare = 1.0 / 4
	// lateDivisor is the part of its objective from which a latency, or its queueing alone, counts as late:
	// half, so that there is time to act before the objective is missed.
	lateDivisor = 2
	// maxNeededDivisor bounds the time that a request is assumed to need, to half of its objective: what
	// is known of it is from other requests, and a waiting one must not be given up for that alone.
	maxNeededDivisor = 2

	millisecondsPerSecond = 1000

	// seedMix makes the two halves of the generator's seed differ: 2^64 divided by the golden ratio.
	seedMix = 0x9e3779b97f4a7c15
)

// Balancer makes the decisions of one process. Its methods must not be called concurrently, nor
// from within a call of its Host.
type Balancer struct {
	settings          Settings
	host              Host
	rng               *rand.Rand
	started           bool          // the first event has come
	tickInterval      time.Duration // time between ticks
	ticks             int
	shortestObjective time.Duration // the least LatencyObjective of all classes

	// What there is: servers, the groups of them that may get requests, and requests.
	endpoints   endpointSet
	groups      [localityCount]serverGroup
	groupsStale bool             // the groups no longer match the list and the ejections
	levels      []selectionLevel // tried in turn
	maxSpillers float64          // balancers of other zones that may spill to one server

	requests requestTable

	// What limits requests and attempts.
	retryBudget retrybudget.Budget
	admission   admission.Controller // shedding, priorities and the bound on the queue
	quotas      quota.Limiter

	windowSeed uint64 // makes this balancer's slow start draws differ from others'
	slowStart  slowstart.Controller

	// What is known of all traffic.
	workload           workload.Model // the expected work of requests
	latency            latency.Overall
	laneBalance        lanes.Balance
	sendRate           estimate.Rate // work sent per second
	peakCompletionRate loadreport.PeakRate

	subscription subscription.Schedule // to the endpoint list
}

// New returns a Balancer that acts through host, or an error that names the setting it cannot use. The
// seed determines every random draw: equal seeds and events give equal actions.
func New(settings Settings, seed uint64, host Host) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings: settings, host: host, rng: rand.New(rand.NewPCG(seed, seed^seedMix)),
		endpoints: newEndpointSet(settings.Zone),
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

// HandleRequest takes a client's request, which gets one final response unless its client leaves. It ignores
// a request with an unknown class or the id of an open one.
func (b *Balancer) HandleRequest(now time.Duration, arrival Request) {
	b.ensureStarted(now)
	unknownClass := arrival.Class < 0 || arrival.Class >= len(b.settings.Classes)
	if unknownClass || b.requests.find(arrival.ID) != nil {
		return
	}
	request := b.newRequest(now, arrival)
	b.observeArrival(request)
	b.retryBudget.RequestArrived()
	if b.admission.ShedsArrival(request.priority, b.rng.Float64()) {
		b.rejectOrFail(request)
		return
	}
	b.dispatchOrQueue(now, request)
}

// HandleOutcome takes the end of an attempt. One that is unknown or has ended already is ignored.
func (b *Balancer) HandleOutcome(now time.Duration, outcome Outcome) {
	b.ensureStarted(now)
	request := b.requests.find(outcome.ID)
	if request == nil || request.findOpenAttempt(outcome.Attempt) == nil {
		return
	}
	ended := b.endAttempt(request, outcome)
	b.recordOutcome(now, request, ended, outcome)
	if outcome.RequestDone {
		request.markDone()
	}
	b.retryOrRespond(now, request, outcome.Status)
	b.dispatchWaiting(now)
}

// ClientDisconnected closes a request whose client has left.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	b.ensureStarted(now)
	if request := b.requests.find(id); request != nil && !request.done {
		b.closeRequest(request)
	}
}

// ResponseStarted records that an attempt's response goes to the client: no retry or cancel from then on.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID, attemptNumber int) {
	b.ensureStarted(now)
	request := b.requests.find(id)
	if request == nil {
		return
	}
	if responding := request.findOpenAttempt(attemptNumber); responding != nil {
		request.markStreaming()
		responding.server.lastResponseAt = now
	}
}

// AttemptAllowed reports whether an attempt may still be written now that it has a connection. Meanwhile its
// request may have got its response, its server be draining, or the class's deduplication window have closed.
func (b *Balancer) AttemptAllowed(now time.Duration, id RequestID, attemptNumber int) bool {
	request := b.requests.find(id)
	if request == nil || request.done || now >= request.Deadline {
		return false
	}
	started := request.findAttempt(attemptNumber)
	return started != nil && started.server.available() && request.mayWriteAttempt(now, attemptNumber)
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
func (b *Balancer) reviewRequest(now time.Duration, request *openRequest) {
	switch {
	case request.waiting():
		b.dispatchOrQueue(now, request)
	case request.needsResponse() && b.ejectSilent(now, request):
		b.hedge(now, request)
	}
}

// dispatchOrQueue dispatches a request, lets it wait, or rejects it if it would have to wait too long.
func (b *Balancer) dispatchOrQueue(now time.Duration, request *openRequest) {
	if b.dispatch(now, request) {
		return
	}
	timeNeeded := min(b.latency.Needed(request.work), request.class.LatencyObjective/maxNeededDivisor)
	latestDispatch := min(b.attemptDeadline(request)-timeNeeded, request.queueDeadline)
	missesLatest := now+ticksToDispatch*b.tickInterval >= latestDispatch
	if missesLatest || b.queueTooLong(now, request) {
		b.rejectOrFail(request)
	}
}

// dispatchWaiting gives the capacity that has become free to the waiting requests.
func (b *Balancer) dispatchWaiting(now time.Duration) {
	for {
		var first *openRequest
		for _, request := range b.requests.open {
			if request.waiting() && (first == nil || b.precedes(request, first)) {
				first = request
			}
		}
		if first == nil || !b.dispatch(now, first) {
			return
		}
	}
}

// dispatch starts an attempt of the request, or returns false if no server can take it now.
func (b *Balancer) dispatch(now time.Duration, request *openRequest) bool {
	if b.groupsStale {
		b.rebuildGroups(now)
	}
	target := b.selectServer(now, request)
	if target == nil {
		return false
	}
	b.startAttempt(now, request, target)
	return true
}

// mayStartAttempt is the guard that every attempt passes. No other function knows these rules.
func (b *Balancer) mayStartAttempt(now time.Duration, request *openRequest, target *server) bool {
	limits := &b.settings.Limits
	if !request.needsResponse() || now >= request.Deadline || len(request.attempts) >= limits.MaxAttempts {
		return false
	}
	mayHedge := limits.HedgedRequests && request.class.RetrySafety != NonIdempotent
	if !target.available() || request.inflight > 0 && !mayHedge {
		return false
	}
	if first := request.firstMaybeExecuted(); first != nil && !request.mayRepeatOn(now, first, target) {
		return false
	}
	if !target.outlier.AllowsAttempt(now, b.outlierOptions()) {
		return false
	}
	if target.warm() {
		return !b.groups[target.locality].concurrency.Reached()
	}
	return b.slowStartAllows(now, request, target)
}

// startAttempt sends the request to the server. The guard has allowed it.
func (b *Balancer) startAttempt(now time.Duration, request *openRequest, target *server) {
	target.attemptStarted(request.work)
	target.classFailures.RecordSend(now, request.Class)
	b.sendRate.Add(now, request.work)
	if len(request.attempts) == 0 {
		b.admission.RequestForwarded(request.priority, request.work)
	}
	if target.warm() {
		b.groups[target.locality].concurrency.Started()
		b.groups[target.locality].sendRate.Add(now, request.work)
	} else {
		b.slowStart.RecordSend(now, &target.slowStart, b.slowStartLoad(now, target))
	}
	target.outlier.AttemptStarted()
	request.attemptStarted(now, target)
	b.host.StartAttempt(request.ID, target.ID, b.attemptDeadline(request)-now)
}

// attemptDeadline is when a response is no longer worth the server's work.
func (b *Balancer) attemptDeadline(request *openRequest) time.Duration {
	if request.class.LateWeightShare > 0 && !b.admission.Shedding() {
		return request.Deadline
	}
	return request.objective
}

// endAttempt records the end of an attempt and takes it off the counts of what is in flight.
func (b *Balancer) endAttempt(request *openRequest, outcome Outcome) *attempt {
	ended := request.attemptEnded(outcome.Attempt, outcome.Status)
	target := ended.server
	target.attemptEnded(request.work)
	if ended.warm {
		b.groups[target.locality].concurrency.Ended()
	}
	return ended
}

// recordOutcome updates what the outcome shows of the server and its group.
func (b *Balancer) recordOutcome(now time.Duration, request *openRequest, ended *attempt, outcome Outcome) {
	target := ended.server
	target.outlier.AttemptEnded()
	serverResponded := outcome.Status == OK || outcome.Status == Full || outcome.Status == Error
	if serverResponded {
		target.lastResponseAt = now
	}
	recordClassOutcome(request, ended, outcome)
	serverSilent := target.lastResponseAt < ended.sentAt
	switch {
	case outcome.Status == Timeout && serverSilent:
		// Its server was silent, which no tick has noticed yet: late, but no reason to shed.
		b.admission.ObserveSilence(int(target.locality))
		b.recordFailure(now, target, outlier.SilentTimeout)
	case outcome.Status == Timeout:
		b.recordLatency(now, request, target, outcome.Latency)
	case outcome.Status == OK:
		b.workload.ObserveResponse(request.Class, outcome.Latency)
		b.recordLatency(now, request, target, outcome.Latency)
		b.recordGoodResponse(now, target)
	case outcome.Status == Full:
		// A server that rejects everything must neither attract requests nor make the group look late.
		b.recordFailure(now, target, outlier.BadResponse)
		b.observeResponse(b.admission.Step(now), admission.Response{
			Locality: int(target.locality), Late: true,
		})
	case outcome.Status == ConnectFailed:
		b.recordFailure(now, target, outlier.ConnectFailure)
	case outcome.Status == Error, outcome.Status == Reset:
		b.recordFailure(now, target, outlier.BadResponse)
	}
}

// recordLatency updates the latency estimates, and moves the lanes and shedding by what is late.
func (b *Balancer) recordLatency(
	now time.Duration, request *openRequest, target *server, took time.Duration,
) {
	objective := request.class.LatencyObjective
	objectiveMs := objective.Seconds() * millisecondsPerSecond
	queueing := b.observeLatency(request, target, took)
	step := b.admission.Step(now)
	b.laneBalance.Observe(lanes.Response{
		Lane: request.lane, Late: queueing > objectiveMs/lateDivisor,
		MaxStep: step, LargeWorkShare: b.workload.LargeShare(),
	})
	if request.work < lightWorkShare*objectiveMs { // a heavy request is late on an idle server, too
		b.observeResponse(step, admission.Response{
			Locality: int(target.locality), Late: took > objective/lateDivisor,
		})
	}
}

// retryOrRespond retries a request after an attempt, or gives the final response if none is in flight.
func (b *Balancer) retryOrRespond(now time.Duration, request *openRequest, status Status) {
	switch {
	case request.done:
		b.requests.releaseIfFinished(request)
	case status != Timeout && b.mayRetry(now, request) && b.dispatch(now, request):
		b.retryBudget.Spend()
	case request.inflight == 0:
		b.rejectOrFail(request)
	}
}

// hedge starts a second attempt of a request whose first is overdue, once and not while shedding.
func (b *Balancer) hedge(now time.Duration, request *openRequest) {
	if !request.hedged && !b.admission.Shedding() && b.mayRetry(now, request) && b.dispatch(now, request) {
		request.markHedged()
		b.retryBudget.Spend()
	}
}

// mayRetry reports whether the budget has a retry left and the request can still be in time.
func (b *Balancer) mayRetry(now time.Duration, request *openRequest) bool {
	return b.retryBudget.Available() && now < request.objective
}

// rejectOrFail gives the final response: rejected if trying again is certain to do no harm, else failed.
func (b *Balancer) rejectOrFail(request *openRequest) {
	if request.repeatIsHarmless() {
		b.host.Reject(request.ID, b.admission.RetryAfter())
	} else {
		b.host.Fail(request.ID)
	}
	b.closeRequest(request)
}

// closeRequest ends a request that needs no further response, and cancels its open attempts.
func (b *Balancer) closeRequest(request *openRequest) {
	request.markDone()
	if b.settings.Limits.CancelAttempts && !request.streaming {
		for i := range request.attempts {
			if !request.attempts[i].ended {
				b.host.CancelAttempt(request.ID, i)
			}
		}
	}
	b.requests.releaseIfFinished(request)
}
