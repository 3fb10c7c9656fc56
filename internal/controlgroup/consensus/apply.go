package consensus

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// EntryError is returned by Advance for a committed log entry that this program cannot apply.
type EntryError struct {
	Index uint64
	Type  raftpb.EntryType
	Err   error // nil: the type is unknown
}

// Error names the entry and what is wrong with it.
func (e *EntryError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("entry %d has the unknown type %v", e.Index, e.Type)
	}
	return fmt.Sprintf("entry %d: %v", e.Index, e.Err)
}

// Unwrap returns the decoding error, or nil.
func (e *EntryError) Unwrap() error { return e.Err }

// apply applies a committed entry.
func (m *StateMachine) apply(now time.Duration, entry *raftpb.Entry) error {
	m.applied = entry.GetIndex()
	// The first entry of this leader's term comes after everything that earlier leaders committed.
	if m.raftLeader && m.expiry == nil && protocol.Term(entry.GetTerm()) == m.term {
		m.expiry = lease.NewExpiryClock(m.config.Timing, now, m.table.Snapshot().Grants)
	}
	switch entry.GetType() {
	case raftpb.EntryNormal:
		if len(entry.GetData()) == 0 {
			return nil // a new leader's first entry
		}
		var command commandEntry
		if err := cbor.Unmarshal(entry.GetData(), &command); err != nil {
			return entryError(entry, err)
		}
		m.applyCommand(now, command)
		return nil
	case raftpb.EntryConfChange:
		var change raftpb.ConfChange
		if err := proto.Unmarshal(entry.GetData(), &change); err != nil {
			return entryError(entry, err)
		}
		return m.applyConfChange(&change)
	default:
		return entryError(entry, nil)
	}
}

func entryError(entry *raftpb.Entry, err error) error {
	return &EntryError{Index: entry.GetIndex(), Type: entry.GetType(), Err: err}
}

// applyCommand applies a lease command, and responds to the request that it came from.
func (m *StateMachine) applyCommand(now time.Duration, entry commandEntry) {
	grant, err := m.table.Apply(entry.Command)
	if err == nil && m.expiry != nil {
		err = m.updateExpiry(now, entry.Command, grant)
	}
	if request, found := m.takePendingProposal(entry.Incarnation, entry.Seq); found {
		m.respond(request, grant, err)
	}
}

// updateExpiry has the leader's clock follow a command that changed the table or confirmed a grant, and notes
// duties that came free. It fails if the expiry of the grant is proposed, so that no response
// may confirm it.
func (m *StateMachine) updateExpiry(now time.Duration, command lease.Command, grant lease.Grant) error {
	switch command.Op {
	case lease.Acquire, lease.Transfer:
		if err := m.expiry.Start(now, grant); err != nil {
			return err
		}
	default:
		m.expiry.Stop(command.Duty)
	}
	if command.Op != lease.Acquire {
		m.freedDuties = append(m.freedDuties, command.Duty)
	}
	return nil
}
