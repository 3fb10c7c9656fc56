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
	serversPerTick    = 256  // from this many servers on, not every tick reviews them

	// maxTickInterval bounds the time between ticks if all latency objectives are long. Actions that wait for
	// a tick, such as the next subscription to the endpoint list, must not wait longer.
	maxTickInterval = 250 * time.Millisecond

	tickToken = 1 // identifies the tick timer in SetTimer and Timer

	// ticksToDispatch is the number of tick intervals within which a waiting request is certain to be tried
	// again: two, because the next tick may be late by a whole interval.
	ticksToDispatch = 2
	// lightWorkShare is the share of the latency objective below which a request's work is light. Only light
	// requests indicate overload by their latency: a heavy request may be late on an idle server.
	lightWorkShare = 1.0 / 4
	// lateDivisor sets when a response is late: when its latency (for load shedding) or its queueing delay
	// (for the lanes) is over half of the objective. This leaves time to act before the objective is missed.
	lateDivisor = 2
	// maxNeededDivisor caps the latency that is expected of a waiting request at half of its objective. The
	// estimate comes from other requests; an estimate that is too high must not by itself get the request
	// rejected.
	maxNeededDivisor = 2

	millisecondsPerSecond = 1000

	// seedMix makes the two halves of the random generator's seed differ: 2^64 divided by the golden ratio.
	seedMix = 0x9e3779b97f4a7c15
)

// Balancer makes the decisions of one balancer process. Its methods must not be called concurrently, nor from
// within a call to its Host. Create it with New.
type Balancer struct {
	settings          Settings
	host              Host
	rng               *rand.Rand
	started           bool // the first event has arrived
	tickInterval      time.Duration
	ticks             int
	shortestObjective time.Duration // shortest LatencyObjective of all classes

	// The servers, the groups of servers that may get requests, and the open requests.
	endpoints   endpointSet
	groups      [localityCount]serverGroup
	groupsStale bool             // a server was ejected, readmitted or allowed a trial since the last rebuild
	levels      []selectionLevel // in the order in which they are tried
	maxSpillers float64          // expected number of other zones' balancers that may spill to a server

	requests requestTable

	// Limits on requests and attempts.
	retryBudget retrybudget.Budget
	admission   admission.Controller // load shedding, priorities and the limit on the queue
	quotas      quota.Limiter

	windowSeed uint64 // makes this balancer's slow start draws independent of other balancers'
	slowStart  slowstart.Controller

	// Estimates over all traffic.
	workload           workload.Model
	latency            latency.Overall
	laneBalance        lanes.Balance
	sendRate           estimate.Rate // ms of work per second that this balancer sends to all servers
	peakCompletionRate loadreport.PeakRate

	subscription subscription.Schedule // to the endpoint list
}

// New returns a Balancer that acts through host, or a *SettingsError if a setting cannot be used. The seed
// determines all random draws: equal settings, seeds and events give equal actions.
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

// ensureStarted starts the tick timer, the subscription schedule and the rate estimates at the first event.
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

// HandleRequest handles a client's request, which gets one final response unless its client disconnects. It
// ignores a request with an unknown class or the ID of an open request.
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

// HandleOutcome handles the end of an attempt: it may retry the request or give its final response, and
// dispatches waiting requests. It ignores attempts that are unknown or have already ended.
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

// ClientDisconnected closes a request whose client has disconnected. The request gets no final response.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	b.ensureStarted(now)
	if request := b.requests.find(id); request != nil && !request.done {
		b.closeRequest(request)
	}
}

// ResponseStarted records that an attempt's response is being forwarded to the client. From then on, the
// request is not retried, and none of its attempts is cancelled. The server counts as responding.
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

// AttemptAllowed reports whether an attempt may still be written now that it has a connection. While the
// attempt waited for the connection, its request may have got the response or passed the deadline, its server
// may have started to drain, or the class's deduplication window may have closed.
func (b *Balancer) AttemptAllowed(now time.Duration, id RequestID, attemptNumber int) bool {
	request := b.requests.find(id)
	if request == nil || request.done || now >= request.Deadline {
		return false
	}
	started := request.findAttempt(attemptNumber)
	return started != nil && started.server.available() && request.mayWriteAttempt(now, attemptNumber)
}

// Timer runs a tick and sets the timer for the next. A tick subscribes to the endpoint list if that is due,
// and reviews the servers (in a large fleet only every few ticks), the load shedding and every open request.
// Timer ignores tokens of other timers.
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
	reviewEvery := 1 + len(b.endpoints.sorted)/serversPerTick // a review of a large fleet takes long
	if b.ticks%reviewEvery == 0 {
		b.reviewServers(now)
	}
	b.updateExpectedWork()
	b.admission.Tick()
	// Backwards, because a review may remove requests: the last request moves to the place of a removed one.
	for i := len(b.requests.open) - 1; i >= 0; i = min(i, len(b.requests.open)) - 1 {
		b.reviewRequest(now, b.requests.open[i])
	}
}

// reviewServers ends slow starts and starts health checks that are due. It then rebuilds the groups, updates
// the peak completion rate and the concurrency limits, and lets old shares of late responses decay.
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

// reviewRequest dispatches a waiting request, or gives the final response if the request would wait too long.
// For a request with an overdue attempt, it ejects silent servers and may start a hedged request.
func (b *Balancer) reviewRequest(now time.Duration, request *openRequest) {
	switch {
	case request.waiting():
		b.dispatchOrQueue(now, request)
	case request.needsResponse() && b.ejectSilent(now, request):
		b.hedge(now, request)
	}
}

// dispatchOrQueue dispatches a request or, if no server can take it now, leaves it waiting. A request that
// would wait too long gets its final response instead.
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

// dispatchWaiting dispatches waiting requests in order of precedence, until no server can take the next
// request.
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

// dispatch starts an attempt of the request. It returns false if no server can take the request now.
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

// mayStartAttempt reports whether an attempt of the request may start on the server. Every attempt must pass
// this guard. AttemptAllowed repeats some of these checks before the attempt is written.
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

// startAttempt sends the request to the server and counts the attempt. The caller has checked
// mayStartAttempt.
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

// attemptDeadline returns the clock time at which a response stops being worth the server's work: the
// client's deadline if a late response has some weight and no work is shed, otherwise the latency objective.
func (b *Balancer) attemptDeadline(request *openRequest) time.Duration {
	if request.class.LateWeightShare > 0 && !b.admission.Shedding() {
		return request.Deadline
	}
	return request.objective
}

// endAttempt records the end of an attempt and returns the attempt. It takes the attempt off the inflight
// counts of the request, the server and, if the server was warm, the group's concurrency limit.
func (b *Balancer) endAttempt(request *openRequest, outcome Outcome) *attempt {
	ended := request.attemptEnded(outcome.Attempt, outcome.Status)
	target := ended.server
	target.attemptEnded(request.work)
	if ended.warm {
		b.groups[target.locality].concurrency.Ended()
	}
	return ended
}

// recordOutcome updates the estimates, the lanes, the load shedding and the server's failure detection from
// the outcome of an attempt. It may eject the server or end its ejection.
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
		// The server has responded to nothing since the attempt was sent. This counts as a late response of
		// the server's locality, but is no reason to shed: other servers may be idle.
		b.admission.ObserveSilence(int(target.locality))
		b.recordFailure(now, target, outlier.SilentTimeout)
	case outcome.Status == Timeout:
		b.recordLatency(now, request, target, outcome.Latency)
	case outcome.Status == OK:
		b.workload.ObserveResponse(request.Class, outcome.Latency)
		b.recordLatency(now, request, target, outcome.Latency)
		b.recordGoodResponse(now, target)
	case outcome.Status == Full:
		// A server that rejects everything must not attract requests by responding fast: its rejections count
		// as failures, which eject it, and as late responses for load shedding, but not in latency estimates.
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

// recordLatency updates the latency estimates from a response or a timeout. Depending on whether the response
// was late, it adjusts the lanes and, for a light request, load shedding.
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
	if request.work < lightWorkShare*objectiveMs {
		b.observeResponse(step, admission.Response{
			Locality: int(target.locality), Late: took > objective/lateDivisor,
		})
	}
}

// retryOrRespond retries a request after one of its attempts has ended, if possible and unless that attempt
// timed out. Without a retry or another attempt in flight, the request gets its final response. A request
// that is already done is only released.
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

// hedge starts another attempt of a request that has an overdue attempt: within the retry budget, at most
// once per request, and never while work is shed.
func (b *Balancer) hedge(now time.Duration, request *openRequest) {
	if !request.hedged && !b.admission.Shedding() && b.mayRetry(now, request) && b.dispatch(now, request) {
		request.markHedged()
		b.retryBudget.Spend()
	}
}

// mayRetry reports whether the retry budget allows a retry or hedge and the request's objective has not
// passed.
func (b *Balancer) mayRetry(now time.Duration, request *openRequest) bool {
	return b.retryBudget.Available() && now < request.objective
}

// rejectOrFail gives the final response and closes the request. The response is a rejection if sending the
// request again is certainly harmless, otherwise a failure.
func (b *Balancer) rejectOrFail(request *openRequest) {
	if request.repeatIsHarmless() {
		b.host.Reject(request.ID, b.admission.RetryAfter())
	} else {
		b.host.Fail(request.ID)
	}
	b.closeRequest(request)
}

// closeRequest marks a request as done, and releases its record if no attempt is in flight. It cancels the
// attempts in flight if Limits.CancelAttempts is set and no response is being forwarded.
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
