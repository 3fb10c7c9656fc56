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

// membershipChange is the context of a configuration change in the log: who proposed it, which request it
// answers there, and the voter that wants to be added (also where the change removes another of its name).
type membershipChange struct {
	Incarnation uint64         `cbor:"1,keyasint"`
	Seq         requestSeq     `cbor:"2,keyasint"`
	Voter       protocol.Voter `cbor:"3,keyasint"`
}

// addVoter proposes one step towards the requested voter's membership: first the removal of an unreachable
// voter of its name, then its addition. The requester asks again until it is a voter.
func (m *Machine) addVoter(request protocol.Request) {
	added := request.Voter
	change := raftpb.ConfChange{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: &added.ID}
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
			change = raftpb.ConfChange{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: &existing.ID}
		}
	}
	seq := m.addPendingProposal(request)
	data, err := cbor.Marshal(membershipChange{Incarnation: m.config.Incarnation, Seq: seq, Voter: added})
	change.Context = data
	if err == nil {
		err = m.node.ProposeConfChange(&change)
	}
	if err != nil {
		m.failProposal(seq, err)
	}
}

// isRecentlyActive reports whether this leader has heard from a voter within the last election timeout.
func (m *Machine) isRecentlyActive(id uint64) bool {
	recent := false
	m.node.WithProgress(func(other uint64, _ raft.ProgressType, progress tracker.Progress) {
		if other == id {
			recent = progress.RecentActive
		}
	})
	return recent || id == m.config.ID
}

// applyConfChange applies a committed change of the voters, and answers the request that it came from.
func (m *Machine) applyConfChange(change *raftpb.ConfChange) error {
	var origin membershipChange
	if err := cbor.Unmarshal(change.GetContext(), &origin); err != nil {
		return fmt.Errorf("change of voters: %w", err)
	}
	m.confState = m.node.ApplyConfChange(change)
	m.membershipChanged = true
	m.voters = slices.DeleteFunc(slices.Clone(m.voters), func(v protocol.Voter) bool {
		return v.ID == change.GetNodeId()
	})
	var result error
	if change.GetType() == raftpb.ConfChangeAddNode {
		m.voters = append(m.voters, origin.Voter)
	} else {
		result = protocol.ErrOutcomeUnknown // the first of two steps: the requester asks again
	}
	if request, found := m.takePendingProposal(origin.Incarnation, origin.Seq); found {
		m.respond(request, lease.Grant{}, result)
	}
	return nil
}
