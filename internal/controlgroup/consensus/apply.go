package consensus

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"piernotch/internal/controlgroup/lease"
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
		return fmt.Sprintf("entry %d is of an unknown kind, %v", e.Index, e.Type)
	}
	return fmt.Sprintf("entry %d: %v", e.Index, e.Err)
}

// Unwrap returns the decoding error, or nil.
func (e *EntryError) Unwrap() error { return e.Err }

// apply applies a committed entry.
func (m *Machine) apply(now time.Duration, e *raftpb.Entry) error {
	m.applied = e.GetIndex()
	// The first entry of this leader's term comes after everything that earlier leaders committed.
	if m.raftLeader && m.expiry == nil && e.GetTerm() == m.term {
		m.expiry = lease.NewExpiryClock(m.config.Timing, now, m.table.Snapshot().Grants)
	}
	switch e.GetType() {
	case raftpb.EntryNormal:
		if len(e.GetData()) == 0 {
			return nil // a new leader's first entry
		}
		var command commandEntry
		if err := cbor.Unmarshal(e.GetData(), &command); err != nil {
			return entryError(e, err)
		}
		m.applyCommand(now, command)
		return nil
	case raftpb.EntryConfChange:
		var change raftpb.ConfChange
		if err := proto.Unmarshal(e.GetData(), &change); err != nil {
			return entryError(e, err)
		}
		return m.applyConfChange(&change)
	default:
		return entryError(e, nil)
	}
}

func entryError(e *raftpb.Entry, err error) error {
	return &EntryError{Index: e.GetIndex(), Type: e.GetType(), Err: err}
}

// applyCommand applies a lease command, and answers the request that it came from.
func (m *Machine) applyCommand(now time.Duration, e commandEntry) {
	grant, err := m.table.Apply(e.Command)
	if err == nil && m.expiry != nil {
		err = m.updateExpiry(now, e.Command, grant)
	}
	if request, found := m.takePendingProposal(e.Incarnation, e.Seq); found {
		m.respond(request, grant, err)
	}
}

// updateExpiry has the leader's clock follow a command that changed the table or confirmed a grant, and notes
// duties that came free. It fails if the grant is about to expire, and must not be answered with.
func (m *Machine) updateExpiry(now time.Duration, command lease.Command, grant lease.Grant) error {
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
