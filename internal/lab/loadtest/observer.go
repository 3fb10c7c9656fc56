package loadtest

import (
	"sync"
	"time"

	"piernotch/internal/lab/emulator"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/load"
	"piernotch/internal/lab/scenario"
)

// socketTolerance is how much longer every time limit is than in simulated time.
const socketTolerance = 50 * time.Millisecond

// How long after its final response a request may still arrive at a server, because it was sent before.
// Proxies delay it for longer: by the delay of a link, and for as long as a silent cut does not break its
// connection.
const (
	crossingTime            = 100 * time.Millisecond
	crossingTimeWithProxies = crossingTime + 2500*time.Millisecond
)

// endedRequestTTL is how long a request that has ended is remembered.
const endedRequestTTL = 10 * time.Second

// finalMargin is how far beyond the end of the run overdue requests are looked for.
const finalMargin = time.Minute

// observer feeds the invariants' checker with what clients, servers and discovery see. It implements
// load.Observer and emulator.Observer. All methods may be called from any goroutine.
type observer struct {
	clock        func() time.Duration
	crossingTime time.Duration // crossingTime, or crossingTimeWithProxies; set before the run begins

	mu           sync.Mutex // guards what follows
	checker      *invariants.Checker
	lastSequence uint64
	requests     map[string]*request // by id
	ended        []endedRequest      // in the order of time
	excused      map[int]int         // by balancer: the number of reasons why it need not respond
	// closedUnderRequest counts requests whose connection was closed unread by balancers without such a reason.
	closedUnderRequest int
}

// request is one request that clients have sent.
type request struct {
	sequence uint64 // its number in the checker
	balancer int
	sentAt   time.Duration
	attempts int
	endedAt  time.Duration // 0: it has not ended
	paused   bool          // its balancer was paused meanwhile
	ignored  map[int]bool  // attempts that crossed the final response
}

type endedRequest struct {
	id string
	at time.Duration
}

// newObserver returns an observer of a run. Zone and cell return where a server is.
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

// RequestSent implements load.Observer.
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

// RequestEnded implements load.Observer. A request without a response at its deadline has failed and is not
// lost; one whose balancer closed the connection is lost, unless the balancer was killed, which BalancerKilled
// notes beforehand.
func (o *observer) RequestEnded(id string, outcome load.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	sent := o.requests[id]
	if sent == nil || sent.endedAt != 0 {
		return
	}
	o.endLocked(id, sent, now)
	if outcome == load.WrongResponse { // nothing excuses it
		o.checker.WrongResponseSent(now, sent.sequence)
		return
	}
	excused := o.excused[sent.balancer] > 0
	if outcome == load.Unreachable && !excused {
		o.closedUnderRequest++
	}
	// A paused balancer cannot respond in time. But requests that it received meanwhile must not be served late.
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
		if sent.attempts > 0 && !excused { // the connection was closed under it, but it had been read
			o.checker.RequestDropped(now, sent.sequence)
			return
		}
		o.checker.RequestExcused(now, sent.sequence)
	default:
		o.checker.RequestExcused(now, sent.sequence)
	}
}

// endLocked notes that a request has ended. The lock is held.
func (o *observer) endLocked(id string, sent *request, now time.Duration) {
	sent.endedAt = now
	o.ended = append(o.ended, endedRequest{id, now})
}

// BalancerKilled excuses all requests that are open at a balancer, and those it is sent until BalancerRestarted:
// its process is about to be killed.
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

// killMargin is how soon before a balancer is killed a request may come that it need not respond to.
const killMargin = 100 * time.Millisecond

// BalancerKilledAtLimit does what BalancerKilled does for a balancer that had all the time to shut down which the
// platform gives: the requests that are open at it are lost, unless they came killMargin before at the most.
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

// BalancerRestarted notes that a balancer starts without any state.
func (o *observer) BalancerRestarted(balancer int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.excused, balancer)
	o.checker.BalancerRestarted(invariants.BalancerIndex(balancer))
}

// ClosedUnderRequest returns the number of requests whose connection was closed before they were read, by
// balancers that were neither killed nor paused.
func (o *observer) ClosedUnderRequest() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closedUnderRequest
}

// BalancerPaused excuses a balancer from responding in time, until BalancerRecovered. The requests open at it
// may go on afterwards.
func (o *observer) BalancerPaused(balancer int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.excused[balancer]++
	for _, sent := range o.requests {
		sent.paused = sent.paused || sent.balancer == balancer && sent.endedAt == 0
	}
}

// BalancerRecovered ends one BalancerPaused, or one BalancerKilled where another process of the balancer
// serves on.
func (o *observer) BalancerRecovered(balancer int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.excused[balancer] = max(o.excused[balancer]-1, 0)
}

// AttemptReceived implements emulator.Observer.
func (o *observer) AttemptReceived(id string, server int, timeout time.Duration) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent := o.requests[id]
	if sent == nil {
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

// attempt returns the request of an attempt that the checker knows; nil for others. The lock is held.
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

// EndpointNotified notes that discovery has notified a balancer of a server.
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

// Finish ends the observation and returns its checker.
func (o *observer) Finish() *invariants.Checker {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checker.CheckOverdue(o.clock() + finalMargin)
	return o.checker
}
