package clustersim

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"piernotch/internal/group/failpoint"
	"piernotch/internal/group/lease"
	"piernotch/internal/group/protocol"
)

// member is a process that wants all duties, and acts under those that it holds.
type member struct {
	*node
	me      lease.Process
	holders []*lease.Holder // by duty
	tokens  []uint64        // of the last answer, for who does not look
	leader  int             // the voter to ask
}

func duty(i int) lease.Duty { return lease.Duty(fmt.Sprintf("d%d", i)) }

func (m *member) start() {
	m.me = lease.Process{Name: fmt.Sprintf("m%d", m.number), Incarnation: uint64(m.life)}
	m.leader = m.w.rng.IntN(m.w.size.Voters)
	m.want()
	m.after(time.Duration(m.w.rng.Int64N(int64(looks))), m.turn)
}

func (m *member) want() {
	m.holders, m.tokens = nil, make([]uint64, m.w.size.Duties)
	for i := range m.w.size.Duties {
		m.holders = append(m.holders, lease.NewHolder(Terms, m.me, duty(i)))
	}
}

func (m *member) leave() {
	for i, h := range m.holders {
		h.Release()
		m.tokens[i] = 0
	}
}

func (m *member) nudge(d lease.Duty) {
	for i, h := range m.holders {
		if duty(i) == d {
			h.RetryNow()
		}
	}
}

func (m *member) handOn() {
	to := m.w.nodes[m.w.size.Voters+m.w.rng.IntN(m.w.size.Members)]
	for i, h := range m.holders {
		if a, is := h.Transfer(m.now(), to.member.me); is {
			m.tokens[i] = 0
			m.ask(i, a)
		}
	}
	m.after(5*time.Second, m.want)
}

// turn asks what there is to ask, and acts.
func (m *member) turn() {
	m.after(looks, m.turn)
	for i, h := range m.holders {
		pause := 200*time.Millisecond + time.Duration(m.w.rng.Int64N(int64(500*time.Millisecond)))
		if a, is := h.NextRequest(m.now(), pause); is {
			m.ask(i, a)
		}
		if token, may := m.look(i); may && m.w.rng.IntN(3) == 0 {
			// The process may stop here, or have much else to do: the act comes when it goes on.
			gap := 5 * time.Millisecond
			if m.w.rng.IntN(12) == 0 {
				gap = 6 * time.Second
			}
			m.after(time.Duration(m.w.rng.Int64N(int64(gap))), func() { m.act(duty(i), token) })
		}
	}
	if m.w.rng.IntN(6) == 0 {
		i := m.w.rng.IntN(m.w.size.Duties)
		m.call(protocol.Request{Kind: protocol.Read, Command: lease.Command{Duty: duty(i)}}, func(protocol.Response) {})
	}
}

func (m *member) look(i int) (uint64, bool) {
	token, may := m.holders[i].Token(m.now())
	if failpoint.Enabled("no-look") {
		token, may = m.tokens[i], m.tokens[i] > 0
	}
	if may {
		m.w.alone(m, i)
		m.w.span(duty(i), token, m.me.Name)
	}
	return token, may
}

// span notes that a duty is held now.
func (w *world) span(d lease.Duty, token uint64, name string) {
	all := w.result.Spans
	for i := len(all) - 1; i >= 0; i-- {
		if s := &all[i]; s.Duty == string(d) && s.Token == token && s.Member == name {
			s.To = w.now
			return
		}
	}
	w.result.Spans = append(all, Span{string(d), token, name, w.now, w.now})
}

// alone breaks the run if another process holds the duty by its own clock at this moment.
func (w *world) alone(m *member, i int) {
	if gap := w.now - w.free[duty(i)]; gap > 2*looks {
		w.result.Unheld += gap.Seconds()
	}
	w.free[duty(i)] = w.now
	for _, n := range w.nodes[w.size.Voters : w.size.Voters+w.size.Members] {
		if o := n.member; o != m && n.up {
			if token, may := o.holders[i].Token(o.now()); may {
				w.broke("duty %d is held by m%d and, under token %d, by m%d", i, m.number, token, o.number)
			}
		}
	}
}

// act has all receivers do something under a token.
func (m *member) act(d lease.Duty, token uint64) {
	w := m.w
	for _, r := range w.nodes[w.size.Voters+w.size.Members:] {
		w.send(m.number, r.number, func() { r.receive(d, token, m.number) })
	}
}

// receive does an act, or refuses it.
func (n *node) receive(d lease.Duty, token uint64, from int) {
	w := n.w
	ok, fresh := n.fence.Admit(d, token)
	if !ok {
		w.result.Fenced++
		return
	}
	if token < n.seen[d] {
		w.broke("receiver %d did an act for %s under token %d after one under %d", n.number, d, token, n.seen[d])
	}
	if fresh { // kept before it is done
		if n.seen == nil {
			n.seen = map[lease.Duty]uint64{}
		}
		n.seen[d] = max(n.seen[d], token)
	}
	if w.acts[d] == nil {
		w.acts[d] = map[uint64]int{}
	}
	if who, is := w.acts[d][token]; is && who != from {
		w.broke("token %d of %s was acted under by m%d and m%d", token, d, who, from)
	}
	w.acts[d][token] = from
	w.result.Acts++
	w.note(uint64(w.now), token, uint64(from))
}

// ask asks the group for a holder, and has it hear the answer.
func (m *member) ask(i int, a lease.Request) {
	h := m.holders[i]
	m.call(protocol.RequestFor(a), func(b protocol.Response) {
		if !protocol.IsFinal(b.Err) {
			h.RequestLost(a.Seq)
			return
		}
		h.HandleResponse(m.now(), a.Seq, b.Grant, b.Err)
		if b.Err == nil && (a.Renew || a.Command.Op == lease.Acquire) {
			m.tokens[i] = b.Grant.Token
		}
	})
}

// Call is one question as its asker saw it, and the group's answer.
type Call struct {
	Question protocol.Request
	From, To time.Duration
	Grant    lease.Grant
	Err      error
	answered bool
}

// call asks a voter, and keeps the question for the judge.
func (m *member) call(q protocol.Request, then func(protocol.Response)) {
	w := m.w
	n := len(w.calls)
	w.calls = append(w.calls, Call{Question: q, From: w.now})
	to := m.leader
	answered := false
	m.after(time.Second, func() {
		if !answered {
			m.leader = w.rng.IntN(w.size.Voters)
		}
	})
	w.send(m.number, to, func() {
		v := w.nodes[to].voter
		v.ask(q, func(a protocol.Response) {
			w.send(to, m.number, func() {
				answered = true
				if errors.Is(a.Err, protocol.ErrNotLeader) {
					m.leader = w.rng.IntN(w.size.Voters)
				}
				if c := &w.calls[n]; !c.answered {
					c.To, c.Grant, c.Err, c.answered = w.now, a.Grant, a.Err, true
				}
				then(a)
			})
		})
	})
}

// finish judges the run as a whole.
func (w *world) finish() {
	for i := range w.size.Duties {
		held := slices.ContainsFunc(w.nodes[w.size.Voters:w.size.Voters+w.size.Members], func(n *node) bool {
			_, may := n.member.holders[i].Token(n.now())
			return may
		})
		if !held {
			w.broke("duty %d is held by nobody, %v after the last fault", i, Calm)
		}
		for range w.acts[duty(i)] {
			w.result.Grants++
		}
	}
	w.result.Unheld /= w.size.Length.Seconds() * float64(w.size.Duties)
	told := slices.DeleteFunc(slices.Clone(w.calls), func(c Call) bool { return !c.answered || !protocol.IsFinal(c.Err) })
	w.result.Broken = append(w.result.Broken, Linear(told)...)
}

// watched bounds how long a call that only tells something may take and still be judged in a history
// that is hard: many that a stopped voter answers at once can have happened in any order, and trying all
// takes for ever.
const watched = 3 * time.Second

// Linear tells what of a history of answered calls cannot have happened one after the other.
func Linear(calls []Call) []string {
	by := map[lease.Duty][]porcupine.Operation{}
	for i, c := range calls {
		d := c.Question.Command.Duty
		by[d] = append(by[d], porcupine.Operation{ClientId: i, Input: c, Call: int64(c.From), Return: int64(c.To)})
	}
	var out []string
	for _, d := range slices.Sorted(maps.Keys(by)) {
		ops := by[d]
		verdict := porcupine.CheckOperationsTimeout(table, ops, time.Second)
		if verdict == porcupine.Unknown {
			verdict = porcupine.CheckOperationsTimeout(table, slices.DeleteFunc(ops, func(o porcupine.Operation) bool {
				c := o.Input.(Call)
				return (c.Question.Kind != protocol.Propose || c.Err != nil) && c.To-c.From > watched
			}), 20*time.Second)
		}
		switch verdict {
		case porcupine.Illegal:
			out = append(out, fmt.Sprintf("the calls about %s cannot have happened one after the other", d))
		case porcupine.Unknown:
			out = append(out, fmt.Sprintf("the calls about %s could not be judged in time", d))
		}
	}
	return out
}

// known is what the calls so far tell of one duty.
type known struct {
	last   uint64
	holder lease.Process
	over   bool // that grant has ended, whoever asks
}

// sees tells whether an answer may show a grant, and what is known then. Grants that nobody was told of
// may lie between, and each may end by itself at any time; but tokens rise, one has one holder, and what
// has ended does not come back.
func (k known) sees(g lease.Grant) (bool, known) {
	ok := g.Token > k.last || g.Token == k.last && g.Holder == k.holder && !k.over
	return ok, known{g.Token, g.Holder, false}
}

// table is what the calls are checked against. Calls without an answer are left out: what they may have
// done shows in later answers.
var table = porcupine.Model{
	Init: func() any { return known{} },
	Step: func(state, input, _ any) (bool, any) {
		k, c := state.(known), input.(Call)
		switch {
		case c.Err == nil && c.Question.Command.Op == lease.Release:
			ok, next := k.sees(lease.Grant{Holder: c.Question.Command.Process, Token: c.Question.Command.Token})
			next.over = true
			return ok, next
		case c.Err == nil, errors.Is(c.Err, lease.ErrHeld):
			return k.look(c.Grant)
		case c.Question.Kind == protocol.Read: // held by nobody
			k.over = true
		}
		return true, k // refused: what was asked about may still stand for a moment
	},
}

func (k known) look(g lease.Grant) (bool, any) {
	ok, next := k.sees(g)
	return ok, next
}
