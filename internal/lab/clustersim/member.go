package clustersim

import (
	"errors"
	"fmt"
	"time"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

const (
	actInterval     = 150 * time.Millisecond // how often a member considers each duty
	minRetryPause   = 200 * time.Millisecond // before a duty that another holds is asked for again
	retryJitter     = 500 * time.Millisecond
	maxActDelay     = 5 * time.Millisecond // between the check of the lease and the act
	maxLongActDelay = 6 * time.Second      // the same for one act in twelve: longer than a lease
	callTimeout     = time.Second          // a voter that has not answered by then is left for another
	transferPause   = 5 * time.Second      // how long a member that transferred its duties does not want them
)

// member is a process that wants all duties, and acts under those that it holds.
type member struct {
	*node
	process lease.Process
	holders []*lease.Holder // by duty
	leader  int             // the voter that calls go to
}

func duty(i int) lease.Duty { return lease.Duty(fmt.Sprintf("d%d", i)) }

// started begins a new incarnation.
func (m *member) started() {
	m.process = lease.Process{Name: fmt.Sprintf("m%d", m.id), Incarnation: uint64(m.incarnation)}
	m.leader = m.sim.rng.IntN(m.sim.size.Voters)
	m.wantDuties()
	m.after(time.Duration(m.sim.rng.Int64N(int64(actInterval))), m.tick)
}

// wantDuties begins to ask for all duties.
func (m *member) wantDuties() {
	m.holders = nil
	for i := range m.sim.size.Duties {
		m.holders = append(m.holders, lease.NewHolder(LeaseTiming, m.process, duty(i)))
	}
}

func (m *member) releaseDuties() {
	for _, h := range m.holders {
		h.Release()
	}
}

// transferDuties gives the duties that are held to a random member, and wants them again later.
func (m *member) transferDuties() {
	successor := m.sim.nodes[m.sim.size.Voters+m.sim.rng.IntN(m.sim.size.Clients)].member
	for i, h := range m.holders {
		if request, held := h.Transfer(m.now(), successor.process); held {
			m.sendLeaseRequest(i, request)
		}
	}
	m.after(transferPause, m.wantDuties)
}

// retryNow asks for a duty that came free.
func (m *member) retryNow(d lease.Duty) {
	for i, h := range m.holders {
		if duty(i) == d {
			h.RetryNow()
		}
	}
}

// tick sends the requests that are due, acts under the duties that are held, and reads one now and then.
func (m *member) tick() {
	m.after(actInterval, m.tick)
	rng := m.sim.rng
	for i, h := range m.holders {
		pause := minRetryPause + time.Duration(rng.Int64N(int64(retryJitter)))
		if request, due := h.NextRequest(m.now(), pause); due {
			m.sendLeaseRequest(i, request)
		}
		if token, held := m.checkLease(i); held && rng.IntN(3) == 0 {
			m.actLater(duty(i), token)
		}
	}
	if rng.IntN(6) == 0 {
		i := rng.IntN(m.sim.size.Duties)
		m.call(protocol.Request{Kind: protocol.Read, Command: lease.Command{Duty: duty(i)}}, func(protocol.Response) {})
	}
}

// checkLease returns the token to act under now, and whether the duty is held.
func (m *member) checkLease(i int) (token uint64, held bool) {
	token, held = steps.tokenToActUnder(m, m.holders[i])
	if held {
		m.sim.checkExclusive(m, i)
		m.sim.recordHeld(duty(i), token, m.process.Name)
	}
	return token, held
}

// actLater acts some time after the check of the lease: a real process may be busy or suspended in between.
func (m *member) actLater(d lease.Duty, token uint64) {
	maxDelay := maxActDelay
	if m.sim.rng.IntN(12) == 0 {
		maxDelay = maxLongActDelay
	}
	m.after(time.Duration(m.sim.rng.Int64N(int64(maxDelay))), func() { m.act(d, token) })
}

// act has all receivers do something under a token.
func (m *member) act(d lease.Duty, token uint64) {
	for _, r := range m.sim.receivers() {
		m.sim.send(m.id, r.id, func() { r.receive(d, token, m.id) })
	}
}

// sendLeaseRequest sends a request of a holder, which gets its outcome.
func (m *member) sendLeaseRequest(i int, request lease.Request) {
	h := m.holders[i]
	m.call(protocol.RequestFor(request), func(r protocol.Response) {
		if !protocol.IsFinal(r.Err) {
			h.RequestLost(request.Seq)
			return
		}
		steps.handleResponse(m, h, request.Seq, r)
	})
}

// call sends a request to the voter that is believed to lead, and records it in the history. handle is called
// with each response that arrives.
func (m *member) call(request protocol.Request, handle func(protocol.Response)) {
	s := m.sim
	index := len(s.calls)
	s.calls = append(s.calls, Call{Request: request, SentAt: s.now})
	to := nodeID(m.leader)
	answered := false
	m.after(callTimeout, func() {
		if !answered {
			m.leader = s.rng.IntN(s.size.Voters)
		}
	})
	receive := func(r protocol.Response) {
		answered = true
		if errors.Is(r.Err, protocol.ErrNotLeader) {
			m.leader = s.rng.IntN(s.size.Voters)
		}
		s.calls[index].complete(s.now, r)
		handle(r)
	}
	s.send(m.id, to, func() {
		s.nodes[to].voter.propose(request, func(r protocol.Response) {
			s.send(to, m.id, func() { receive(r) })
		})
	})
}
