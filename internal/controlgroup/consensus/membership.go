package consensus

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// membershipChange is the context of a configuration change in the log. Incarnation and Seq tell the proposing
// voter which request to respond to. Voter is the voter to be added, even if this change removes the old voter of the
// same name.
type membershipChange struct {
	Incarnation lease.Incarnation `cbor:"1,keyasint"`
	Seq         requestSeq        `cbor:"2,keyasint"`
	Voter       protocol.Voter    `cbor:"3,keyasint"`
}

// addVoter proposes the next of up to two changes: the removal of an unreachable voter of the same name, then the
// addition of the requested voter. The requester repeats the request until it is one of the voters.
func (m *StateMachine) addVoter(request protocol.Request) {
	added := request.Voter
	changeType := raftpb.ConfChangeAddNode
	changed := uint64(added.ID)
	for _, existing := range m.voters {
		switch {
		case existing.ID == added.ID:
			m.respond(request, lease.Grant{}, nil)
			return
		case existing.Name != added.Name:
		case m.isRecentlyActive(existing.ID):
			m.respond(request, lease.Grant{}, protocol.ErrNameInUse)
			return
		default:
			changeType = raftpb.ConfChangeRemoveNode
			changed = uint64(existing.ID)
		}
	}
	seq := m.addPendingProposal(request)
	data, err := cbor.Marshal(membershipChange{Incarnation: m.config.Incarnation, Seq: seq, Voter: added})
	if err == nil {
		err = m.node.ProposeConfChange(&raftpb.ConfChange{Type: changeType.Enum(), NodeId: &changed, Context: data})
	}
	if err != nil {
		m.failProposal(seq, err)
	}
}

// isRecentlyActive reports whether this leader has heard from a voter since raft's last quorum check, at most an
// election timeout ago.
func (m *StateMachine) isRecentlyActive(id protocol.VoterID) bool {
	recent := false
	m.node.WithProgress(func(other uint64, _ raft.ProgressType, progress tracker.Progress) {
		if other == uint64(id) {
			recent = progress.RecentActive
		}
	})
	return recent || id == m.config.ID
}

// applyConfChange applies a committed change of the voters. If this voter proposed the change, it responds to the
// requester.
func (m *StateMachine) applyConfChange(change *raftpb.ConfChange) error {
	var origin membershipChange
	if err := cbor.Unmarshal(change.GetContext(), &origin); err != nil {
		return fmt.Errorf("membership change: %w", err)
	}
	m.confState = m.node.ApplyConfChange(change)
	m.membershipChanged = true
	m.voters = slices.DeleteFunc(slices.Clone(m.voters), func(voter protocol.Voter) bool {
		return uint64(voter.ID) == change.GetNodeId()
	})
	var result error
	if change.GetType() == raftpb.ConfChangeAddNode {
		m.voters = append(m.voters, origin.Voter)
	} else {
		result = protocol.ErrOutcomeUnknown // the first of two changes: the requester repeats the request
	}
	if request, found := m.takePendingProposal(origin.Incarnation, origin.Seq); found {
		m.respond(request, lease.Grant{}, result)
	}
	return nil
}
