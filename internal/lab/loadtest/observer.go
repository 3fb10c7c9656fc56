// Package loadtest plays a scenario on real sockets: stand-in feed servers and roster,
// open-loop clients, and balancers as processes of their own, judged by internal/lab/invariants
// from what both ends saw.
package loadtest

import (
	"sync"
	"time"

	"piernotch"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/load"
	"piernotch/internal/lab/scenario"
)

// socketTolerance is how much longer every time limit is than in simulated time.
const socketTolerance = 50 * time.Millisecond

// crossing is how long after its answer a request may still arrive at a server: it was
// sent before. Relays hold it back for longer: by what a link delays, and for as long as a silent
// cut does not break its connection.
const (
	crossingTime            = 100 * time.Millisecond
	crossingTimeWithProxies = crossingTime + 2500*time.Millisecond
)

// Observer feeds the auditor with what clients, servers and the roster see. All methods
// may be called from any goroutine.
type Observer struct {
	clock              func() time.Duration
	crossingTime       time.Duration // crossing, or crossingLinks
	mu                 sync.Mutex
	checker            *invariants.Checker
	lastSequence       uint64
	requests           map[string]*request
	ended              []endedRequest // to be forgotten in time
	excused            map[int]int    // by balancer: reasons why it need not answer
	closedUnderRequest int            // requests turned back unheard by balancers that had none
}

type request struct {
	sequence uint64
	balancer int
	attempts int
	endedAt  time.Duration // 0: open
	paused   bool          // its balancer stood still while it was open
	ignored  map[int]bool  // attempts that crossed the answer
}

type endedRequest struct {
	id string
	at time.Duration
}

// NewObserver returns a judge of a day. Zone and cell tell where a server is.
func NewObserver(day *scenario.Day, clock func() time.Duration, zone, cell func(int) int) *Observer {
	fig := invariants.Limits{
		Slack: day.Rules.Slack + socketTolerance, Grace: day.Rules.Grace + socketTolerance, FallFor: day.Rules.Fall.For,
		MaxAttempts: day.Settings.Limits.MaxAttempts, HedgedRequests: day.Settings.Limits.HedgedRequests, Zone: zone, Cell: cell,
	}
	for _, c := range day.Classes {
		fig.Classes = append(fig.Classes, c.Class)
	}
	return &Observer{clock: clock, crossingTime: crossingTime, checker: invariants.New(fig), requests: map[string]*request{}, excused: map[int]int{}}
}

// RequestSent implements load.Observer.
func (j *Observer) RequestSent(id string, balancer, class int, deadline time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock()
	j.lastSequence++
	j.requests[id] = &request{sequence: j.lastSequence, balancer: balancer}
	j.checker.RequestReceived(now, balancer, j.lastSequence, class, deadline)
	for len(j.ended) > 0 && now-j.ended[0].at > 10*time.Second {
		delete(j.requests, j.ended[0].id)
		j.ended = j.ended[1:]
	}
}

// RequestEnded implements load.Observer. A request without an answer when its time is up has
// failed and is not lost; one whose balancer ended the connection is, unless the
// balancer was killed, which Killed says beforehand.
func (j *Observer) RequestEnded(id string, answer load.Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock()
	s := j.requests[id]
	if s == nil || s.endedAt != 0 {
		return
	}
	s.endedAt = now
	j.ended = append(j.ended, endedRequest{id, now})
	if answer == load.Unreachable && j.excused[s.balancer] == 0 {
		j.closedUnderRequest++
	}
	// Who stands still cannot be in time. But what came meanwhile must not be served late.
	if s.paused || j.excused[s.balancer] > 0 && (answer == load.Rejected || answer == load.Failed) {
		j.checker.RequestExcused(now, s.sequence)
		return
	}
	switch answer {
	case load.Served:
		j.checker.RequestAnswered(now, s.sequence, invariants.Served)
	case load.Rejected:
		j.checker.RequestAnswered(now, s.sequence, invariants.Rejected)
	case load.Failed:
		j.checker.RequestAnswered(now, s.sequence, invariants.Failed)
	case load.Disconnected:
		if j.excused[s.balancer] > 0 {
			j.checker.RequestExcused(now, s.sequence)
			return
		}
		j.checker.RequestDropped(now, s.sequence)
	default:
		j.checker.RequestExcused(now, s.sequence)
	}
}

// BalancerKilled excuses all that a balancer holds, and what it is given until it is Restarted:
// its process is about to be killed.
func (j *Observer) BalancerKilled(balancer int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock()
	j.excused[balancer]++
	for id, s := range j.requests {
		if s.balancer == balancer && s.endedAt == 0 {
			s.endedAt = now
			j.ended = append(j.ended, endedRequest{id, now})
			j.checker.RequestExcused(now, s.sequence)
		}
	}
}

// BalancerRestarted says that a balancer begins anew.
func (j *Observer) BalancerRestarted(balancer int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.excused, balancer)
	j.checker.BalancerRestarted(balancer)
}

// ClosedUnderRequest is how many requests met a connection that was closed under them, by a balancer that
// was neither killed nor stopped.
func (j *Observer) ClosedUnderRequest() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.closedUnderRequest
}

// BalancerPaused excuses a balancer from answering in time, until it is Revived: it stands still. What it
// has may go on afterwards.
func (j *Observer) BalancerPaused(balancer int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.excused[balancer]++
	for _, s := range j.requests {
		s.paused = s.paused || s.balancer == balancer && s.endedAt == 0
	}
}

// BalancerRecovered says that what was Killed of a balancer is gone, and another process of it serves on.
func (j *Observer) BalancerRecovered(balancer int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.excused[balancer] = max(j.excused[balancer]-1, 0)
}

// AttemptReceived implements emulator.Observer.
func (j *Observer) AttemptReceived(id string, server int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.requests[id]
	if s == nil {
		return -1
	}
	now := j.clock()
	n := s.attempts
	s.attempts++
	if s.endedAt != 0 && now-s.endedAt < j.crossingTime {
		if s.ignored == nil {
			s.ignored = map[int]bool{}
		}
		s.ignored[n] = true
		return n
	}
	j.checker.AttemptSent(now, s.balancer, s.sequence, server)
	return n
}

// attempt finds an attempt that is judged. The lock is held.
func (j *Observer) attempt(id string, n int) *request {
	s := j.requests[id]
	if s == nil || s.ignored[n] {
		return nil
	}
	return s
}

// AttemptAccepted implements emulator.Observer.
func (j *Observer) AttemptAccepted(id string, n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.attempt(id, n); s != nil {
		j.checker.AttemptAccepted(s.sequence, n)
	}
}

// AttemptExecuted implements emulator.Observer.
func (j *Observer) AttemptExecuted(id string, n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.attempt(id, n); s != nil {
		j.checker.AttemptExecuted(j.clock(), s.sequence, n)
	}
}

// AttemptCompleted implements emulator.Observer.
func (j *Observer) AttemptCompleted(id string, n int, unrun bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.attempt(id, n); s != nil {
		j.checker.AttemptCompleted(s.sequence, n, unrun)
	}
}

// SlowStartWork implements emulator.Observer.
func (j *Observer) SlowStartWork(id string, server int, started time.Duration, work float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.requests[id]; s != nil {
		j.checker.SlowStartWork(j.clock(), s.balancer, server, started, work)
	}
}

// ServerCollapsed implements emulator.Observer.
func (j *Observer) ServerCollapsed(server int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checker.ServerCollapsed(j.clock(), server)
}

// EndpointNotified is called when the roster has told a balancer of a server.
func (j *Observer) EndpointNotified(balancer, server int, state piernotch.State, born time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checker.EndpointNotified(j.clock(), balancer, server, state, born)
}

// Finish ends the judging.
func (j *Observer) Finish() *invariants.Checker {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checker.CheckOverdue(j.clock() + time.Minute)
	return j.checker
}
