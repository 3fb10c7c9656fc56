package clustersim

import (
	"maps"
	"time"

	"piernotch/internal/controlgroup/consensus"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// correctSteps is what voters, members and receivers do at the points where a process of the simulation can
// be made wrong; package failpoint has the list. It is called through the variable steps.
type correctSteps struct{}

// monotonicTime returns the time of a node's monotonic clock. Each node's has another zero.
func (correctSteps) monotonicTime(n *node) time.Duration {
	return time.Duration(float64(n.sim.now)*n.clockRate) + time.Duration(n.id)*time.Hour
}

// admitAct has a receiver's fence judge an act.
func (correctSteps) admitAct(n *node, d lease.Duty, token uint64) (admitted, isNewest bool) {
	return n.fence.Admit(d, token)
}

// restoreFence gives a receiver that starts the tokens on its disk.
func (correctSteps) restoreFence(n *node) {
	n.fence.Restore(maps.Clone(n.persistedTokens))
}

// tokenToActUnder returns the token of a holder's lease, and whether the lease is valid now.
func (correctSteps) tokenToActUnder(m *member, h *lease.Holder) (token uint64, held bool) {
	return h.Token(m.now())
}

// handleResponse gives a holder the response to its request.
func (correctSteps) handleResponse(m *member, h *lease.Holder, seq uint64, r protocol.Response) {
	h.HandleResponse(m.now(), seq, r.Grant, r.Err)
}

// newMachine starts a voter's machine on what its disk holds.
func (correctSteps) newMachine(cfg consensus.Config) (*consensus.Machine, error) {
	return consensus.New(cfg)
}

// propose hands a request to a voter's machine.
func (correctSteps) propose(v *voter, request protocol.Request) {
	v.machine.Propose(v.now(), request)
}

// step hands another voter's message to a voter's machine.
func (correctSteps) step(v *voter, msg consensus.Message) error { return v.machine.Step(msg) }

// writeAndSend writes work to a voter's disk, and afterwards sends its messages.
func (correctSteps) writeAndSend(v *voter, work consensus.Ready) { v.sync(work) }

// replaceLostDisk gives a voter whose disk was lost an empty one, with which it is another voter.
func (correctSteps) replaceLostDisk(v *voter) { v.newIdentity() }
