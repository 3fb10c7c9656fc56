package loadtest

import (
	"sync"
	"time"

	"piernotch/internal/lab/emulator"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/load"
	"piernotch/internal/lab/scenario"
)

// socketTolerance is added to the response slack and the drain grace that apply in simulated time.
const socketTolerance = 50 * time.Millisecond

// How long after a request's final response an attempt that was sent before it may still arrive at a server. Proxies
// before servers prolong this time: a link adds its delay, and a silent cut (blackhole) holds data back until the
// connection breaks.
const (
	crossingTime            = 100 * time.Millisecond
	crossingTimeWithProxies = crossingTime + 2500*time.Millisecond
)

// endedRequestTTL is how long the observer remembers a request that has ended.
const endedRequestTTL = 10 * time.Second

// finalMargin is how far beyond the end of the run the final check looks for overdue responses.
const finalMargin = time.Minute

// observer reports what clients, servers and discovery observe to the checker of the invariants. It implements
// load.Observer and emulator.Observer. All exported methods may be called from any goroutine.
type observer struct {
	clock        func() time.Duration
	crossingTime time.Duration // crossingTime, or crossingTimeWithProxies; set before the run begins

	mu           sync.Mutex // guards the fields below
	checker      *invariants.Checker
	lastSequence uint64
	requests     map[string]*request // by id
	ended        []endedRequest      // ordered by end
	excused      map[int]int         // by balancer: how many kills and pauses excuse it from responding
	// closedUnderRequest counts requests with the outcome load.Unreachable at balancers that were not excused.
	closedUnderRequest int
}

// request is one request that a client has sent.
type request struct {
	sequence uint64 // ID of the request in the checker
	balancer int
	sentAt   time.Duration
	attempts int
	endedAt  time.Duration // 0: the request has not ended
	paused   bool          // its balancer was paused while the request was open
	ignored  map[int]bool  // attempts that arrived within crossingTime after the request's end
}

type endedRequest struct {
	id string
	at time.Duration
}

// newObserver returns an observer of a run. zone and cell return the zone and cell of a server.
func newObserver(
	realization *scenario.Realization,
	clock func() time.Duration,
	zone, cell func(server invariants.ServerIndex) int,
) *observer {
	limits := invariants.Limits{
		Slack:          realization.Rules.ResponseSlack + socketTolerance,
		Grace:          realization.Rules.DrainGrace + socketTolerance,
		CollapseWindow: realization.Rules.Collapse.For,
		MaxAttempts:    realization.Settings.Limits.MaxAttempts,
		HedgedRequests: realization.Settings.Limits.HedgedRequests,
		Zone:           zone,
		Cell:           cell,
	}
	for _, class := range realization.Classes {
		limits.Classes = append(limits.Classes, class.Class)
	}
	return &observer{
		clock: clock, crossingTime: crossingTime, checker: invariants.New(limits),
		requests: map[string]*request{}, excused: map[int]int{},
	}
}

// RequestSent implements load.Observer. It also forgets requests that ended more than endedRequestTTL ago.
func (o *observer) RequestSent(id string, balancer, class int, deadline time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	o.lastSequence++
	o.requests[id] = &request{sequence: o.lastSequence, balancer: balancer, sentAt: now}
	o.checker.RequestReceived(invariants.ReceivedRequest{
		At: now, Balancer: invariants.BalancerIndex(balancer), ID: o.lastSequence, Class: class, Deadline: deadline,
	})
	for len(o.ended) > 0 && now-o.ended[0].at > endedRequestTTL {
		delete(o.requests, o.ended[0].id)
		o.ended = o.ended[1:]
	}
}

// RequestEnded implements load.Observer. A request whose connection the balancer closes without a response is lost,
// unless the balancer was killed or paused, or the client took the request for unread (load.Unreachable) and no attempt
// reached a server. A request that times out is not lost.
func (o *observer) RequestEnded(id string, outcome load.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	sent := o.requests[id]
	if sent == nil || sent.endedAt != 0 {
		return
	}
	o.endLocked(id, sent, now)
	if outcome == load.WrongResponse { // never excused
		o.checker.WrongResponseSent(now, sent.sequence)
		return
	}
	excused := o.excused[sent.balancer] > 0
	if outcome == load.Unreachable && !excused {
		o.closedUnderRequest++
	}
	// A paused or killed balancer cannot respond in time. But it must not serve later requests late.
	excusedFailure := excused && (outcome == load.Rejected || outcome == load.Failed || outcome == load.Disconnected)
	if sent.paused || excusedFailure {
		o.checker.RequestExcused(now, sent.sequence)
		return
	}
	switch outcome {
	case load.Served:
		o.checker.ResponseSent(now, sent.sequence, invariants.Served)
	case load.Rejected:
		o.checker.ResponseSent(now, sent.sequence, invariants.Rejected)
	case load.Failed:
		o.checker.ResponseSent(now, sent.sequence, invariants.Failed)
	case load.Disconnected:
		o.checker.RequestDropped(now, sent.sequence)
	case load.Unreachable:
		if sent.attempts > 0 && !excused { // the request had been read: an attempt reached a server
			o.checker.RequestDropped(now, sent.sequence)
			return
		}
		o.checker.RequestExcused(now, sent.sequence)
	default:
		o.checker.RequestExcused(now, sent.sequence)
	}
}

// endLocked records the end of a request. The caller holds mu.
func (o *observer) endLocked(id string, sent *request, now time.Duration) {
	sent.endedAt = now
	o.ended = append(o.ended, endedRequest{id, now})
}

// BalancerKilled excuses the open requests of a balancer that is about to be killed, and failures of later ones until
// BalancerRestarted or BalancerRecovered.
func (o *observer) BalancerKilled(balancer int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	o.excused[balancer]++
	for id, sent := range o.requests {
		if sent.balancer == balancer && sent.endedAt == 0 {
			o.endLocked(id, sent, now)
			o.checker.RequestExcused(now, sent.sequence)
		}
	}
}

// killMargin is the age up to which BalancerKilledAtLimit excuses an open request.
const killMargin = 100 * time.Millisecond

// BalancerKilledAtLimit is BalancerKilled for a balancer that had the platform's full time for a shutdown, but open
// requests sent more than killMargin ago are lost.
func (o *observer) BalancerKilledAtLimit(balancer int) {
	o.mu.Lock()
	now := o.clock()
	for id, sent := range o.requests {
		if sent.balancer == balancer && sent.endedAt == 0 && now-sent.sentAt > killMargin {
			o.endLocked(id, sent, now)
			o.checker.RequestDropped(now, sent.sequence)
		}
	}
	o.mu.Unlock()
	o.BalancerKilled(balancer)
}

// BalancerRestarted says that a balancer starts without state, and ends all its excuses.
func (o *observer) BalancerRestarted(balancer int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.excused, balancer)
	o.checker.BalancerRestarted(invariants.BalancerIndex(balancer))
}

// ClosedUnderRequest returns the value of HandoverReport.ClosedUnderRequest so far.
func (o *observer) ClosedUnderRequest() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closedUnderRequest
}

// BalancerPaused excuses a balancer from responding in time, until BalancerRecovered. Requests open at the pause are
// excused whenever they end, except for a wrong response.
func (o *observer) BalancerPaused(balancer int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.excused[balancer]++
	for _, sent := range o.requests {
		sent.paused = sent.paused || sent.balancer == balancer && sent.endedAt == 0
	}
}

// BalancerRecovered ends the excuse of one BalancerPaused, or of one BalancerKilled if another process of the
// balancer serves on.
func (o *observer) BalancerRecovered(balancer int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.excused[balancer] = max(o.excused[balancer]-1, 0)
}

// AttemptReceived implements emulator.Observer. It returns the attempt number; -1 for an unknown request, unless it is
// of a crowd. The checker does not get attempts within crossingTime after the request's end.
func (o *observer) AttemptReceived(id string, server int, timeout time.Duration) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent := o.requests[id]
	switch {
	case sent == nil && load.IsCrowdID(id):
		return 0
	case sent == nil:
		return -1
	}
	now := o.clock()
	attemptNumber := sent.attempts
	sent.attempts++
	if sent.endedAt != 0 && now-sent.endedAt < o.crossingTime {
		if sent.ignored == nil {
			sent.ignored = map[int]bool{}
		}
		sent.ignored[attemptNumber] = true
		return attemptNumber
	}
	o.checker.AttemptSent(invariants.SentAttempt{
		At:       now,
		Balancer: invariants.BalancerIndex(sent.balancer),
		Request:  sent.sequence,
		Server:   invariants.ServerIndex(server),
		Timeout:  timeout,
	})
	return attemptNumber
}

// attempt returns the request of an attempt, or nil if the request is unknown or the attempt was ignored. The caller
// holds mu.
func (o *observer) attempt(id string, attemptNumber int) *request {
	sent := o.requests[id]
	if sent == nil || sent.ignored[attemptNumber] {
		return nil
	}
	return sent
}

// AttemptAccepted implements emulator.Observer.
func (o *observer) AttemptAccepted(id string, attemptNumber int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if sent := o.attempt(id, attemptNumber); sent != nil {
		o.checker.AttemptAccepted(sent.sequence, attemptNumber)
	}
}

// AttemptExecuted implements emulator.Observer.
func (o *observer) AttemptExecuted(id string, attemptNumber int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if sent := o.attempt(id, attemptNumber); sent != nil {
		o.checker.AttemptExecuted(o.clock(), sent.sequence, attemptNumber)
	}
}

// AttemptCompleted implements emulator.Observer.
func (o *observer) AttemptCompleted(id string, attemptNumber int, proof emulator.NeverExecuted) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if sent := o.attempt(id, attemptNumber); sent != nil {
		o.checker.AttemptCompleted(sent.sequence, attemptNumber, invariants.NeverExecuted(proof))
	}
}

// SlowStartWork implements emulator.Observer.
func (o *observer) SlowStartWork(id string, server int, started time.Duration, work float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if sent := o.requests[id]; sent != nil {
		o.checker.SlowStartWork(invariants.SlowStartArrival{
			At:        o.clock(),
			Balancer:  invariants.BalancerIndex(sent.balancer),
			Server:    invariants.ServerIndex(server),
			StartedAt: started,
			Work:      work,
		})
	}
}

// ServerCollapsed implements emulator.Observer.
func (o *observer) ServerCollapsed(server int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checker.ServerCollapsed(o.clock(), invariants.ServerIndex(server))
}

// EndpointNotified tells the checker that a balancer was notified of a server's state.
func (o *observer) EndpointNotified(notified notification) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checker.EndpointNotified(invariants.NotifiedEndpoint{
		At:        o.clock(),
		Balancer:  notified.balancer,
		Server:    notified.server,
		State:     notified.state,
		StartedAt: notified.startedAt,
	})
}

// Finish checks for overdue responses and returns the checker.
func (o *observer) Finish() *invariants.Checker {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checker.CheckOverdue(o.clock() + finalMargin)
	return o.checker
}
