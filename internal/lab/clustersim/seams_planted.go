//go:build planted

package clustersim

import (
	"time"

	"piernotch/internal/controlgroup/consensus"
	"piernotch/internal/controlgroup/failpoint"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// faultySteps are the correctSteps, except for the enabled fault of package failpoint.
type faultySteps struct{ correctSteps }

// steps are the steps that the simulation calls.
var steps faultySteps

func (s faultySteps) monotonicTime(p *process) time.Duration {
	t := s.correctSteps.monotonicTime(p)
	if failpoint.Enabled(failpoint.WallClock) {
		t += p.wallOffset
	}
	return t
}

func (s faultySteps) admitAct(p *process, d lease.Duty, token lease.Token) (admitted, isNewest bool) {
	admitted, isNewest = s.correctSteps.admitAct(p, d, token)
	return admitted || failpoint.Enabled(failpoint.NoFence), isNewest
}

func (s faultySteps) restoreFence(p *process) {
	if !failpoint.Enabled(failpoint.FenceForgotten) {
		s.correctSteps.restoreFence(p)
	}
}

func (s faultySteps) tokenToActUnder(c *client, holder *lease.Holder) (token lease.Token, held bool) {
	if failpoint.Enabled(failpoint.NoLeaseCheck) {
		return holder.GrantedToken()
	}
	return s.correctSteps.tokenToActUnder(c, holder)
}

func (s faultySteps) handleResponse(c *client, holder *lease.Holder, seq lease.RequestSeq, response protocol.Response) {
	switch {
	case failpoint.Enabled(failpoint.CountedFromResponse):
		holder.HandleResponseLate(c.now(), seq, response.Grant, response.Err)
	case failpoint.Enabled(failpoint.DriftIgnored):
		holder.HandleResponseWithoutDrift(c.now(), seq, response.Grant, response.Err)
	default:
		s.correctSteps.handleResponse(c, holder, seq, response)
	}
}

func (s faultySteps) newStateMachine(cfg consensus.Config) (*consensus.StateMachine, error) {
	stateMachine, err := s.correctSteps.newStateMachine(cfg)
	if err == nil && failpoint.Enabled(failpoint.DiskUnchecked) {
		stateMachine.SkipAdmission()
	}
	return stateMachine, err
}

func (s faultySteps) propose(v *voter, request protocol.Request) {
	if !v.stateMachine.RespondEarly(v.now(), request) {
		s.correctSteps.propose(v, request)
	}
}

func (s faultySteps) step(v *voter, msg consensus.Message) error {
	if failpoint.Enabled(failpoint.DiskUnchecked) {
		return v.stateMachine.StepUnchecked(msg)
	}
	return s.correctSteps.step(v, msg)
}

func (s faultySteps) writeAndSend(v *voter, work consensus.Ready) {
	if failpoint.Enabled(failpoint.SentBeforeWritten) {
		v.sendMessages(work)
		work.Messages = nil
	}
	s.correctSteps.writeAndSend(v, work)
}

func (s faultySteps) replaceLostDisk(v *voter) {
	if !failpoint.Enabled(failpoint.DiskUnchecked) {
		s.correctSteps.replaceLostDisk(v)
		return
	}
	var voters []protocol.Voter
	for i := range v.sim.size.Voters {
		voters = append(voters, protocol.Voter{ID: protocol.VoterID(i + 1), Name: voterName(i)})
	}
	v.disk = disk{id: v.disk.id, startCount: v.disk.startCount, state: consensus.Bootstrap(voters)}
}
