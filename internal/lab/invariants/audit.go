// Package invariants judges the rules from what clients, servers and discovery saw: what
// went over the wire, and when. It asks no balancer about itself. The model feeds it
// in simulated time; whoever stands at the sockets of real balancers can feed it the
// same observations.
//
// The rules are: one final answer for each request taken, in time (Lost); nothing
// that may have run is sent again beyond what its class allows, and no refusal says
// otherwise (Repeated); nothing new to a server a while after it was told that it
// drains or is gone (Drain); no cold server is pushed over by balancers that knew of
// its start (Cold).
package invariants

import (
	"fmt"
	"slices"
	"time"

	"piernotch"
	"piernotch/internal/lab/idtable"
)

// Rule is one of the four rules.
type Rule uint8

// Rules.
const (
	Lost Rule = iota
	Repeated
	Drain
	Cold
	rules
)

// String names a rule as reports do.
func (r Rule) String() string { return [...]string{"lost", "repeated", "drain", "cold"}[r] }

// MarshalText makes reports readable.
func (r Rule) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads them back.
func (r *Rule) UnmarshalText(text []byte) error {
	for k := range rules {
		if k.String() == string(text) {
			*r = k
			return nil
		}
	}
	return fmt.Errorf("%q is no rule", text)
}

// Result is a final answer as the client got it.
type Result uint8

// Answers.
const (
	Served Result = iota
	Rejected
	Failed
)

// String names an answer.
func (a Result) String() string { return [...]string{"served", "refused", "failed"}[a] }

// Limits are what the rules are measured by.
type Limits struct {
	Slack          time.Duration // a final answer may be so much later than the deadline
	Grace          time.Duration // sends may go on for so long after a drain was told
	FallFor        time.Duration // the span over which a fall's work is counted
	MaxAttempts    int
	HedgedRequests bool
	Classes        []piernotch.Class
	Zone, Cell     func(server int) int // of keyed classes; nil: there are none
}

// Violation is one broken rule.
type Violation struct {
	Rule     Rule          `json:"rule"`
	At       time.Duration `json:"at_ns"`
	Instance int           `json:"instance"`
	Request  uint64        `json:"request,omitempty"`
	Server   int           `json:"server"` // -1: none
	Message  string        `json:"what"`
	Steps    []string      `json:"steps,omitempty"` // what was seen of the request or the server
}

// String is the break in one line.
func (b Violation) String() string {
	s := fmt.Sprintf("%s at %.6f s: balancer %d", b.Rule, b.At.Seconds(), b.Instance)
	if b.Request != 0 {
		s += fmt.Sprintf(", request %d", b.Request)
	}
	if b.Server >= 0 {
		s += fmt.Sprintf(", server %d", b.Server)
	}
	return s + ": " + b.Message
}

// maxBreaks bounds the breaks that are kept whole; all are counted.
const maxBreaks = 50

// mostTold bounds the attempts of a request that are remembered.
const mostTold = 16

type shot struct {
	at     time.Duration
	server int32
	unrun  bool // it is proved that it never ran
	over   bool
	began  bool // a server took it in
	ran    bool // a server ran it
}

type request struct {
	inst     int32
	class    int8
	answered bool
	answer   Result
	taken    time.Duration
	deadline time.Duration
	done     time.Duration
	shots    []shot
}

type pair struct{ inst, server int32 }

type push struct {
	at   time.Duration
	inst int32
	told bool
	work float64
}

// Checker judges. Its methods must be called in the order of time.
type Checker struct {
	fig      Limits
	requests idtable.Table[request]
	due      map[int64][]uint64 // by when their answers must be there, in steps
	step     int64              // steps that have been looked at
	away     map[pair]time.Duration
	born     map[pair]time.Duration
	pushes   map[int32][]push
	counts   [rules]int
	breaks   []Violation
	spare    [][]shot
	latest   time.Duration // of sends after a drain was told
}

// New returns an auditor.
func New(fig Limits) *Checker {
	return &Checker{
		fig: fig, due: map[int64][]uint64{}, away: map[pair]time.Duration{}, born: map[pair]time.Duration{},
		pushes: map[int32][]push{},
	}
}

// lookEvery is how often overdue answers are looked for.
const lookEvery = 100 * time.Millisecond

func (a *Checker) broke(b Violation) {
	a.counts[b.Rule]++
	if len(a.breaks) < maxBreaks {
		a.breaks = append(a.breaks, b)
	}
}

// Count is how often a rule was broken.
func (a *Checker) Count(r Rule) int { return a.counts[r] }

// DrainLatest is the latest that anything was sent after a drain was told.
func (a *Checker) DrainLatest() time.Duration { return a.latest }

// Violations returns the first breaks.
func (a *Checker) Violations() []Violation { return a.breaks }

// PendingRequests is how many requests have no final answer yet.
func (a *Checker) PendingRequests() int {
	n := 0
	a.requests.Each(func(_ uint64, r *request) {
		if !r.answered {
			n++
		}
	})
	return n
}

// RequestReceived says that a balancer has a client's request, whole. Numbers must rise.
func (a *Checker) RequestReceived(at time.Duration, inst int, id uint64, class int, deadline time.Duration) {
	r := a.requests.Put(id)
	*r = request{inst: int32(inst), class: int8(class), taken: at, deadline: deadline}
	if n := len(a.spare); n > 0 {
		r.shots, a.spare = a.spare[n-1], a.spare[:n-1]
	}
	k := int64((deadline+a.fig.Slack)/lookEvery) + 1
	a.due[k] = append(a.due[k], id)
}

// RequestAnswered says that a final answer left for the client.
func (a *Checker) RequestAnswered(at time.Duration, id uint64, answer Result) {
	r := a.requests.Get(id)
	if r == nil || r.answered {
		server, inst := -1, -1
		if r != nil {
			inst = int(r.inst)
		}
		a.broke(Violation{Lost, at, inst, id, server, answer.String() + ": a second final answer, or one to nobody", a.steps(id)})
		return
	}
	if at > r.deadline+a.fig.Slack {
		a.broke(Violation{Lost, at, int(r.inst), id, -1, fmt.Sprintf("%s %v after its deadline", answer, at-r.deadline), a.steps(id)})
	}
	r.answered, r.answer, r.done = true, answer, at
	switch answer {
	case Served:
		if !slices.ContainsFunc(r.shots, func(s shot) bool { return s.ran }) {
			a.broke(Violation{Lost, at, int(r.inst), id, -1, "served, but no server ran it", a.steps(id)})
		}
	case Rejected:
		if k := a.class(r); k != nil && (k.RetrySafety == piernotch.NonIdempotent || k.RetrySafety == piernotch.IdempotencyKey && k.DedupScope != piernotch.DedupEverywhere) {
			for _, s := range r.shots {
				if !s.unrun {
					a.broke(Violation{Repeated, at, int(r.inst), id, int(s.server), "refused what may have run", a.steps(id)})
					break
				}
			}
		}
	}
	a.release(id, r)
}

// RequestExcused says that nothing is owed any more: the client left, or its balancer was
// killed.
func (a *Checker) RequestExcused(at time.Duration, id uint64) {
	if r := a.requests.Get(id); r != nil && !r.answered {
		r.answered, r.answer, r.done = true, Failed, at
		a.release(id, r)
	}
}

// RequestDropped says that a balancer ended the connection of a request without an answer.
func (a *Checker) RequestDropped(at time.Duration, id uint64) {
	if r := a.requests.Get(id); r != nil && !r.answered {
		a.broke(Violation{Lost, at, int(r.inst), id, -1, "its connection was ended without an answer", a.steps(id)})
		a.RequestExcused(at, id)
	}
}

func (a *Checker) class(r *request) *piernotch.Class {
	if r.class < 0 || int(r.class) >= len(a.fig.Classes) {
		return nil
	}
	return &a.fig.Classes[r.class]
}

// release forgets a request that is answered and has nothing out.
func (a *Checker) release(id uint64, r *request) {
	if !r.answered || slices.ContainsFunc(r.shots, func(s shot) bool { return !s.over }) {
		return
	}
	if r.shots != nil {
		a.spare = append(a.spare, r.shots[:0])
	}
	a.requests.Delete(id)
}

// AttemptSent says that an attempt left a balancer for a server. Attempts are numbered from
// 0 in the order of their sending.
func (a *Checker) AttemptSent(at time.Duration, inst int, id uint64, server int) {
	told, ok := a.away[pair{int32(inst), int32(server)}]
	if ok {
		a.latest = max(a.latest, at-told)
	}
	if ok && at > told+a.fig.Grace {
		a.broke(Violation{Drain, at, inst, id, server, fmt.Sprintf("sent %v after it was told that the server leaves", at-told), a.steps(id)})
	}
	r := a.requests.Get(id)
	if r == nil || r.answered {
		a.broke(Violation{Lost, at, inst, id, server, "sent after its final answer", a.steps(id)})
		if r == nil {
			return
		}
	}
	a.repeat(at, r, id, server)
	if len(r.shots) < mostTold {
		r.shots = append(r.shots, shot{at: at, server: int32(server)})
	}
}

// repeat judges a further attempt.
func (a *Checker) repeat(at time.Duration, r *request, id uint64, server int) {
	k := a.class(r)
	if k == nil || len(r.shots) == 0 {
		return
	}
	bad := func(what string) {
		a.broke(Violation{Repeated, at, int(r.inst), id, server, what, a.steps(id)})
	}
	if len(r.shots) >= a.fig.MaxAttempts {
		bad(fmt.Sprintf("attempt %d of %d allowed", len(r.shots)+1, a.fig.MaxAttempts))
	}
	var first *shot
	out := false
	for i := range r.shots {
		s := &r.shots[i]
		if !s.unrun && first == nil {
			first = s
		}
		out = out || !s.over
	}
	if out && !a.fig.HedgedRequests {
		bad("a second copy, which is not allowed here")
	}
	if first == nil {
		return
	}
	switch {
	case k.RetrySafety == piernotch.NonIdempotent:
		bad("sent again, though an earlier attempt may have run")
	case k.RetrySafety == piernotch.IdempotencyKey && at > first.at+k.DedupWindow:
		bad("sent again after the time in which repeats are dropped")
	case k.RetrySafety == piernotch.IdempotencyKey && k.DedupScope == piernotch.DedupInZone && a.fig.Zone(server) != a.fig.Zone(int(first.server)):
		bad("sent again to another zone")
	case k.RetrySafety == piernotch.IdempotencyKey && k.DedupScope == piernotch.DedupInCell && a.fig.Cell(server) != a.fig.Cell(int(first.server)):
		bad("sent again to another cell")
	}
}

func (a *Checker) shot(id uint64, n int) (*request, *shot) {
	r := a.requests.Get(id)
	if r == nil || n < 0 || n >= len(r.shots) {
		return nil, nil
	}
	return r, &r.shots[n]
}

// AttemptAccepted says that a server took an attempt in: from here on it may run.
func (a *Checker) AttemptAccepted(id uint64, n int) {
	if _, s := a.shot(id, n); s != nil {
		s.began = true
	}
}

// AttemptExecuted says that a server ran an attempt, or a part of it.
func (a *Checker) AttemptExecuted(at time.Duration, id uint64, n int) {
	r, s := a.shot(id, n)
	if s == nil {
		return
	}
	s.ran = true
	if k := a.class(r); k == nil || k.RetrySafety != piernotch.NonIdempotent {
		return
	}
	for i := range r.shots {
		if i != n && r.shots[i].ran {
			a.broke(Violation{Repeated, at, int(r.inst), id, int(s.server), "ran a second time", a.steps(id)})
			return
		}
	}
}

// AttemptCompleted says that the balancer knows how an attempt ended, and whether what it was
// told proves that it never ran.
func (a *Checker) AttemptCompleted(id uint64, n int, unrun bool) {
	if r, s := a.shot(id, n); s != nil {
		s.over, s.unrun = true, unrun
		a.release(id, r)
	}
}

// EndpointNotified says that a balancer was told of a server's state by the list. Born is when
// the server's process started; 0: long ago.
func (a *Checker) EndpointNotified(at time.Duration, inst, server int, state piernotch.State, born time.Duration) {
	p := pair{int32(inst), int32(server)}
	if state == piernotch.Ready {
		delete(a.away, p)
		if born > 0 {
			a.born[p] = born
		}
		return
	}
	if _, ok := a.away[p]; !ok {
		a.away[p] = at
	}
}

// BalancerRestarted says that a balancer starts with nothing: what its forerunner was told
// does not count.
func (a *Checker) BalancerRestarted(inst int) {
	for p := range a.away {
		if p.inst == int32(inst) {
			delete(a.away, p)
		}
	}
	for p := range a.born {
		if p.inst == int32(inst) {
			delete(a.born, p)
		}
	}
}

// SlowStartWork says that work from a balancer arrived at a cold server.
func (a *Checker) SlowStartWork(at time.Duration, inst, server int, born time.Duration, work float64) {
	list := a.pushes[int32(server)]
	for len(list) > 0 && list[0].at <= at-a.fig.FallFor {
		list = list[1:]
	}
	told := a.born[pair{int32(inst), int32(server)}] == born
	a.pushes[int32(server)] = append(list, push{at, int32(inst), told, work})
}

// ServerCollapsed says that a cold server was pushed over. It breaks the rule if two thirds of
// what it was sent came from balancers that knew of its start.
func (a *Checker) ServerCollapsed(at time.Duration, server int) {
	list := a.pushes[int32(server)]
	total, told := 0.0, 0.0
	by := map[int32]float64{}
	last := -1
	for _, p := range list {
		total += p.work
		by[p.inst] += p.work
		last = int(p.inst)
		if p.told {
			told += p.work
		}
	}
	if total == 0 || told < total*2/3 {
		return
	}
	var steps []string
	for _, p := range list {
		knew := ""
		if p.told {
			knew = ", which knew of its start"
		}
		steps = append(steps, fmt.Sprintf("%.6f s: %.1f ms of work from balancer %d%s", p.at.Seconds(), p.work, p.inst, knew))
	}
	a.broke(Violation{Cold, at, last, 0, server, fmt.Sprintf("pushed over by %.0f ms of work within %v, from %d balancers", total, a.fig.FallFor, len(by)), steps})
}

// CheckOverdue finds answers that are overdue. It is to be called now and then, and at the
// end.
func (a *Checker) CheckOverdue(now time.Duration) {
	for ; a.step <= int64(now/lookEvery); a.step++ {
		for _, id := range a.due[a.step] {
			r := a.requests.Get(id)
			if r == nil || r.answered {
				continue
			}
			a.broke(Violation{Lost, now, int(r.inst), id, -1, fmt.Sprintf("no final answer %v after its deadline", now-r.deadline), a.steps(id)})
			r.answered, r.answer, r.done = true, Failed, now
			a.release(id, r)
		}
		delete(a.due, a.step)
	}
}

// steps tells in words what was seen of a request.
func (a *Checker) steps(id uint64) []string {
	r := a.requests.Get(id)
	if r == nil {
		return []string{"no more is known of it: it was never taken, or it had its final answer and nothing was out"}
	}
	name := fmt.Sprintf("class %d", r.class)
	if k := a.class(r); k != nil {
		name = k.Name
	}
	out := []string{fmt.Sprintf("%.6f s: balancer %d takes it, %s, deadline %.6f s", r.taken.Seconds(), r.inst, name, r.deadline.Seconds())}
	for i, s := range r.shots {
		line := fmt.Sprintf("%.6f s: attempt %d to server %d", s.at.Seconds(), i, s.server)
		switch {
		case s.ran:
			line += ", which ran it"
		case s.unrun:
			line += ", proved unrun"
		case s.began:
			line += ", which took it in"
		}
		if !s.over {
			line += ", still out"
		}
		out = append(out, line)
	}
	if r.answered {
		out = append(out, fmt.Sprintf("%.6f s: %s", r.done.Seconds(), r.answer))
	}
	return out
}
