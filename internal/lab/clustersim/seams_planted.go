//go:build planted

package clustersim

import (
	"time"

	"piernotch/internal/controlgroup/consensus"
	"piernotch/internal/controlgroup/failpoint"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// faultySteps are the correctSteps but for the fault that is enabled.
type faultySteps struct{ correctSteps }

// steps are those of the simulation.
var steps faultySteps

func (s faultySteps) monotonicTime(n *node) time.Duration {
	t := s.correctSteps.monotonicTime(n)
	if failpoint.Enabled(failpoint.WallClock) {
		t += n.wallOffset
	}
	return t
}

func (s faultySteps) admitAct(n *node, d lease.Duty, token uint64) (admitted, isNewest bool) {
	admitted, isNewest = s.correctSteps.admitAct(n, d, token)
	return admitted || failpoint.Enabled(failpoint.NoFence), isNewest
}

func (s faultySteps) restoreFence(n *node) {
	if !failpoint.Enabled(failpoint.FenceForgotten) {
		s.correctSteps.restoreFence(n)
	}
}

func (s faultySteps) tokenToActUnder(m *member, h *lease.Holder) (token uint64, held bool) {
	if failpoint.Enabled(failpoint.NoLeaseCheck) {
		return h.GrantedToken()
	}
	return s.correctSteps.tokenToActUnder(m, h)
}

func (s faultySteps) handleResponse(m *member, h *lease.Holder, seq uint64, r protocol.Response) {
	switch {
	case failpoint.Enabled(failpoint.CountedFromResponse):
		h.HandleResponseLate(m.now(), seq, r.Grant, r.Err)
	case failpoint.Enabled(failpoint.DriftIgnored):
		h.HandleResponseWithoutDrift(m.now(), seq, r.Grant, r.Err)
	default:
		s.correctSteps.handleResponse(m, h, seq, r)
	}
}

func (s faultySteps) newMachine(cfg consensus.Config) (*consensus.Machine, error) {
	machine, err := s.correctSteps.newMachine(cfg)
	if err == nil && failpoint.Enabled(failpoint.DiskUnchecked) {
		machine.SkipAdmission()
	}
	return machine, err
}

func (s faultySteps) propose(v *voter, request protocol.Request) {
	if !v.machine.RespondEarly(v.now(), request) {
		s.correctSteps.propose(v, request)
	}
}

func (s faultySteps) step(v *voter, msg consensus.Message) error {
	if failpoint.Enabled(failpoint.DiskUnchecked) {
		return v.machine.StepUnchecked(msg)
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
		voters = append(voters, protocol.Voter{ID: uint64(i + 1), Name: voterName(i)})
	}
	v.disk = disk{id: v.disk.id, startCount: v.disk.startCount, state: consensus.Bootstrap(voters)}
}
