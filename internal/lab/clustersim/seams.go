package clustersim

import (
	"maps"
	"time"

	"piernotch/internal/controlgroup/consensus"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// correctSteps has the steps of voters, clients and receivers that a planted fault can replace. Package failpoint lists
// the faults. The simulation calls the steps through the variable steps.
type correctSteps struct{}

// monotonicTime returns the time of a process's monotonic clock. The clocks of two processes have different zeros.
func (correctSteps) monotonicTime(p *process) time.Duration {
	return time.Duration(float64(p.sim.now)*p.clockRate) + time.Duration(p.id)*time.Hour
}

// admitAct returns the decision of a receiver's fence on an act.
func (correctSteps) admitAct(p *process, d lease.Duty, token lease.Token) (admitted, isNewest bool) {
	return p.fence.Admit(d, token)
}

// restoreFence restores the fence of a starting receiver from the tokens on the receiver's disk.
func (correctSteps) restoreFence(p *process) {
	p.fence.Restore(maps.Clone(p.persistedTokens))
}

// tokenToActUnder returns the token of a holder's lease, and whether the lease is valid now.
func (correctSteps) tokenToActUnder(c *client, holder *lease.Holder) (token lease.Token, held bool) {
	return holder.Token(c.now())
}

// handleResponse passes a response to the holder that sent request seq.
func (correctSteps) handleResponse(c *client, holder *lease.Holder, seq lease.RequestSeq, response protocol.Response) {
	holder.HandleResponse(c.now(), seq, response.Grant, response.Err)
}

// newStateMachine creates a voter's state machine. cfg.State is the state of the voter's disk.
func (correctSteps) newStateMachine(cfg consensus.Config) (*consensus.StateMachine, error) {
	return consensus.New(cfg)
}

// propose passes a request to a voter's state machine.
func (correctSteps) propose(v *voter, request protocol.Request) {
	v.stateMachine.Propose(v.now(), request)
}

// step passes another voter's message to a voter's state machine.
func (correctSteps) step(v *voter, msg consensus.Message) error { return v.stateMachine.Step(msg) }

// writeAndSend writes work to a voter's disk, and sends the messages of work only after the write.
func (correctSteps) writeAndSend(v *voter, work consensus.Ready) { v.sync(work) }

// replaceLostDisk replaces a voter's lost disk by an empty disk with a new voter ID.
func (correctSteps) replaceLostDisk(v *voter) { v.newIdentity() }
