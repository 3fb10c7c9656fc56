package clustersim

import (
	"errors"
	"fmt"
	"time"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

const (
	actInterval     = 150 * time.Millisecond // how often a client considers each duty
	minRetryPause   = 200 * time.Millisecond // before the next request for a duty that another process holds
	retryJitter     = 500 * time.Millisecond // at most; added to minRetryPause
	maxActDelay     = 5 * time.Millisecond   // at most, from the check of the lease to the act
	maxLongActDelay = 6 * time.Second        // at most, for one act in twelve: longer than a lease
	callTimeout     = time.Second            // without a response by then, the client picks a random voter
	transferPause   = 5 * time.Second        // before a client that transferred its duties requests them again
)

// client is a process that requests all duties, and acts under the duties that it holds.
type client struct {
	*process
	identity lease.Process
	holders  []*lease.Holder // by duty
	leader   int             // the voter that calls go to
}

func duty(i int) lease.Duty { return lease.Duty(fmt.Sprintf("d%d", i)) }

// started begins a new incarnation, with a random voter as the leader to try.
func (c *client) started() {
	c.identity = lease.Process{Name: fmt.Sprintf("c%d", c.id), Incarnation: lease.Incarnation(c.incarnation)}
	c.leader = c.sim.rng.IntN(c.sim.size.Voters)
	c.wantDuties()
	c.after(time.Duration(c.sim.rng.Int64N(int64(actInterval))), c.tick)
}

// wantDuties begins to request all duties, with new holders.
func (c *client) wantDuties() {
	c.holders = nil
	for i := range c.sim.size.Duties {
		c.holders = append(c.holders, lease.NewHolder(LeaseTiming, c.identity, duty(i)))
	}
}

func (c *client) releaseDuties() {
	for _, h := range c.holders {
		h.Release()
	}
}

// transferDuties transfers the held duties to a random client. After transferPause, the transferring client requests
// all duties again.
func (c *client) transferDuties() {
	successor := c.sim.processes[c.sim.size.Voters+c.sim.rng.IntN(c.sim.size.Clients)].client
	for i, holder := range c.holders {
		if request, held := holder.Transfer(c.now(), successor.identity); held {
			c.sendLeaseRequest(i, request)
		}
	}
	c.after(transferPause, c.wantDuties)
}

// retryNow ends the pause before the next request for a duty that came free.
func (c *client) retryNow(freed lease.Duty) {
	for i, holder := range c.holders {
		if duty(i) == freed {
			holder.RetryNow()
		}
	}
}

// tick sends the lease requests that are due. It starts an act under each held duty with a probability of 1/3, and
// reads a random duty with a probability of 1/6.
func (c *client) tick() {
	c.after(actInterval, c.tick)
	rng := c.sim.rng
	for i, holder := range c.holders {
		pause := minRetryPause + time.Duration(rng.Int64N(int64(retryJitter)))
		if request, due := holder.NextRequest(c.now(), pause); due {
			c.sendLeaseRequest(i, request)
		}
		if token, held := c.checkLease(i); held && rng.IntN(3) == 0 {
			c.actLater(duty(i), token)
		}
	}
	if rng.IntN(6) == 0 {
		i := rng.IntN(c.sim.size.Duties)
		c.call(protocol.Request{Kind: protocol.Read, Command: lease.Command{Duty: duty(i)}}, func(protocol.Response) {})
	}
}

// checkLease returns the token to act under now, and whether duty i is held. If the duty is held, checkLease records
// this and checks for a second holder.
func (c *client) checkLease(i int) (token lease.Token, held bool) {
	token, held = steps.tokenToActUnder(c, c.holders[i])
	if held {
		c.sim.checkExclusive(c, i)
		c.sim.recordHeld(duty(i), token, c.identity.Name)
	}
	return token, held
}

// actLater acts after a random delay: a real process may be paused between the check of its lease and the act.
func (c *client) actLater(d lease.Duty, token lease.Token) {
	maxDelay := maxActDelay
	if c.sim.rng.IntN(12) == 0 {
		maxDelay = maxLongActDelay
	}
	c.after(time.Duration(c.sim.rng.Int64N(int64(maxDelay))), func() { c.act(d, token) })
}

// act sends an act under a token to all receivers.
func (c *client) act(d lease.Duty, token lease.Token) {
	for _, r := range c.sim.receivers() {
		c.sim.send(c.id, r.id, func() { r.receive(d, token, c.id) })
	}
}

// sendLeaseRequest sends a request of duty i's holder, and passes the response to that holder.
func (c *client) sendLeaseRequest(i int, request lease.Request) {
	holder := c.holders[i]
	c.call(protocol.RequestFor(request), func(response protocol.Response) {
		if !protocol.IsFinal(response.Err) {
			holder.RequestLost(request.Seq)
			return
		}
		steps.handleResponse(c, holder, request.Seq, response)
	})
}

// call sends a request to c.leader, and records the request in the history. handle is called with the response, if any.
// After callTimeout without a response, or if the voter does not lead, c.leader becomes a random voter.
func (c *client) call(request protocol.Request, handle func(protocol.Response)) {
	sim := c.sim
	index := len(sim.calls)
	sim.calls = append(sim.calls, Call{Request: request, SentAt: sim.now})
	to := processID(c.leader)
	responded := false
	c.after(callTimeout, func() {
		if !responded {
			c.leader = sim.rng.IntN(sim.size.Voters)
		}
	})
	receive := func(response protocol.Response) {
		responded = true
		if errors.Is(response.Err, protocol.ErrNotLeader) {
			c.leader = sim.rng.IntN(sim.size.Voters)
		}
		sim.calls[index].complete(sim.now, response)
		handle(response)
	}
	sim.send(c.id, to, func() {
		sim.processes[to].voter.propose(request, func(response protocol.Response) {
			sim.send(to, c.id, func() { receive(response) })
		})
	})
}
