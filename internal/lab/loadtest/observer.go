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

// onSockets is how much longer every time limit is than in simulated time.
const onSockets = 50 * time.Millisecond

// crossing is how long after its answer a request may still arrive at a server: it was
// sent before. Relays hold it back for longer: by what a link delays, and for as long as a silent
// cut does not break its connection.
const (
	crossing      = 100 * time.Millisecond
	crossingLinks = crossing + 2500*time.Millisecond
)

// Judge feeds the auditor with what clients, servers and the roster see. All methods
// may be called from any goroutine.
type Judge struct {
	clock func() time.Duration
	cross time.Duration // crossing, or crossingLinks
	mu    sync.Mutex
	audit *invariants.Checker
	last  uint64
	ids   map[string]*seen
	ended []ending    // to be forgotten in time
	dying map[int]int // by balancer: reasons why it need not answer
	back  int         // requests turned back unheard by balancers that had none
}

type seen struct {
	seq      uint64
	balancer int
	attempts int
	done     time.Duration // 0: open
	paused   bool          // its balancer stood still while it was open
	skip     map[int]bool  // attempts that crossed the answer
}

type ending struct {
	id string
	at time.Duration
}

// NewJudge returns a judge of a day. Zone and cell tell where a server is.
func NewJudge(day *scenario.Day, clock func() time.Duration, zone, cell func(int) int) *Judge {
	fig := invariants.Limits{
		Slack: day.Rules.Slack + onSockets, Grace: day.Rules.Grace + onSockets, FallFor: day.Rules.Fall.For,
		MaxAttempts: day.Settings.Limits.MaxAttempts, HedgedRequests: day.Settings.Limits.HedgedRequests, Zone: zone, Cell: cell,
	}
	for _, c := range day.Classes {
		fig.Classes = append(fig.Classes, c.Class)
	}
	return &Judge{clock: clock, cross: crossing, audit: invariants.New(fig), ids: map[string]*seen{}, dying: map[int]int{}}
}

// Taken implements load.Observer.
func (j *Judge) Taken(id string, balancer, class int, deadline time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock()
	j.last++
	j.ids[id] = &seen{seq: j.last, balancer: balancer}
	j.audit.RequestReceived(now, balancer, j.last, class, deadline)
	for len(j.ended) > 0 && now-j.ended[0].at > 10*time.Second {
		delete(j.ids, j.ended[0].id)
		j.ended = j.ended[1:]
	}
}

// Ended implements load.Observer. A request without an answer when its time is up has
// failed and is not lost; one whose balancer ended the connection is, unless the
// balancer was killed, which Killed says beforehand.
func (j *Judge) Ended(id string, answer load.Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock()
	s := j.ids[id]
	if s == nil || s.done != 0 {
		return
	}
	s.done = now
	j.ended = append(j.ended, ending{id, now})
	if answer == load.Unreached && j.dying[s.balancer] == 0 {
		j.back++
	}
	// Who stands still cannot be in time. But what came meanwhile must not be served late.
	if s.paused || j.dying[s.balancer] > 0 && (answer == load.Refused || answer == load.Failed) {
		j.audit.RequestExcused(now, s.seq)
		return
	}
	switch answer {
	case load.Served:
		j.audit.RequestAnswered(now, s.seq, invariants.Served)
	case load.Refused:
		j.audit.RequestAnswered(now, s.seq, invariants.Rejected)
	case load.Failed:
		j.audit.RequestAnswered(now, s.seq, invariants.Failed)
	case load.Broken:
		if j.dying[s.balancer] > 0 {
			j.audit.RequestExcused(now, s.seq)
			return
		}
		j.audit.RequestDropped(now, s.seq)
	default:
		j.audit.RequestExcused(now, s.seq)
	}
}

// Killed excuses all that a balancer holds, and what it is given until it is Restarted:
// its process is about to be killed.
func (j *Judge) Killed(balancer int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock()
	j.dying[balancer]++
	for id, s := range j.ids {
		if s.balancer == balancer && s.done == 0 {
			s.done = now
			j.ended = append(j.ended, ending{id, now})
			j.audit.RequestExcused(now, s.seq)
		}
	}
}

// Restarted says that a balancer begins anew.
func (j *Judge) Restarted(balancer int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.dying, balancer)
	j.audit.BalancerRestarted(balancer)
}

// TurnedBack is how many requests met a connection that was closed under them, by a balancer that
// was neither killed nor stopped.
func (j *Judge) TurnedBack() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.back
}

// Paused excuses a balancer from answering in time, until it is Revived: it stands still. What it
// has may go on afterwards.
func (j *Judge) Paused(balancer int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.dying[balancer]++
	for _, s := range j.ids {
		s.paused = s.paused || s.balancer == balancer && s.done == 0
	}
}

// Revived says that what was Killed of a balancer is gone, and another process of it serves on.
func (j *Judge) Revived(balancer int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.dying[balancer] = max(j.dying[balancer]-1, 0)
}

// Sent implements emulator.Observer.
func (j *Judge) Sent(id string, server int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.ids[id]
	if s == nil {
		return -1
	}
	now := j.clock()
	n := s.attempts
	s.attempts++
	if s.done != 0 && now-s.done < j.cross {
		if s.skip == nil {
			s.skip = map[int]bool{}
		}
		s.skip[n] = true
		return n
	}
	j.audit.AttemptSent(now, s.balancer, s.seq, server)
	return n
}

// of finds an attempt that is judged. The lock is held.
func (j *Judge) of(id string, n int) *seen {
	s := j.ids[id]
	if s == nil || s.skip[n] {
		return nil
	}
	return s
}

// Began implements emulator.Observer.
func (j *Judge) Began(id string, n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.of(id, n); s != nil {
		j.audit.AttemptAccepted(s.seq, n)
	}
}

// Ran implements emulator.Observer.
func (j *Judge) Ran(id string, n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.of(id, n); s != nil {
		j.audit.AttemptExecuted(j.clock(), s.seq, n)
	}
}

// Over implements emulator.Observer.
func (j *Judge) Over(id string, n int, unrun bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.of(id, n); s != nil {
		j.audit.AttemptCompleted(s.seq, n, unrun)
	}
}

// Reached implements emulator.Observer.
func (j *Judge) Reached(id string, server int, started time.Duration, work float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.ids[id]; s != nil {
		j.audit.SlowStartWork(j.clock(), s.balancer, server, started, work)
	}
}

// Fell implements emulator.Observer.
func (j *Judge) Fell(server int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.audit.ServerCollapsed(j.clock(), server)
}

// Told is called when the roster has told a balancer of a server.
func (j *Judge) Told(balancer, server int, state piernotch.State, born time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.audit.EndpointNotified(j.clock(), balancer, server, state, born)
}

// Verdict ends the judging.
func (j *Judge) Verdict() *invariants.Checker {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.audit.CheckOverdue(j.clock() + time.Minute)
	return j.audit
}
