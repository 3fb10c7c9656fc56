package clustersim

import (
	"maps"
	"time"

	"piernotch/internal/controlgroup/consensus"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// correctSteps is what voters, clients and receivers do at the points where a process of the simulation can
// be made wrong; package failpoint has the list. It is called through the variable steps.
type correctSteps struct{}

// monotonicTime returns the time of a process's monotonic clock. Each process's has another zero.
func (correctSteps) monotonicTime(p *process) time.Duration {
	return time.Duration(float64(p.sim.now)*p.clockRate) + time.Duration(p.id)*time.Hour
}

// admitAct has a receiver's fence judge an act.
func (correctSteps) admitAct(p *process, d lease.Duty, token lease.Token) (admitted, isNewest bool) {
	return p.fence.Admit(d, token)
}

// restoreFence gives a receiver that starts the tokens on its disk.
func (correctSteps) restoreFence(p *process) {
	p.fence.Restore(maps.Clone(p.persistedTokens))
}

// tokenToActUnder returns the token of a holder's lease, and whether the lease is valid now.
func (correctSteps) tokenToActUnder(c *client, holder *lease.Holder) (token lease.Token, held bool) {
	return holder.Token(c.now())
}

// handleResponse gives a holder the response to its request.
func (correctSteps) handleResponse(c *client, holder *lease.Holder, seq lease.RequestSeq, response protocol.Response) {
	holder.HandleResponse(c.now(), seq, response.Grant, response.Err)
}

// newStateMachine starts a voter's state machine on what its disk holds.
func (correctSteps) newStateMachine(cfg consensus.Config) (*consensus.StateMachine, error) {
	return consensus.New(cfg)
}

// propose hands a request to a voter's state machine.
func (correctSteps) propose(v *voter, request protocol.Request) {
	v.stateMachine.Propose(v.now(), request)
}

// step hands another voter's message to a voter's state machine.
func (correctSteps) step(v *voter, msg consensus.Message) error { return v.stateMachine.Step(msg) }

// writeAndSend writes work to a voter's disk, and afterwards sends its messages.
func (correctSteps) writeAndSend(v *voter, work consensus.Ready) { v.sync(work) }

// replaceLostDisk gives a voter whose disk was lost an empty one, with which it is another voter.
func (correctSteps) replaceLostDisk(v *voter) { v.newIdentity() }
