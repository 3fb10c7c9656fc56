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
	Err   error // the decoding error; nil: the entry's type is unknown
}

// Error returns the entry's index, and either its unknown type or the decoding error.
func (e *EntryError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("entry %d has the unknown type %v", e.Index, e.Type)
	}
	return fmt.Sprintf("entry %d: %v", e.Index, e.Err)
}

// Unwrap returns the decoding error, or nil.
func (e *EntryError) Unwrap() error { return e.Err }

// apply applies a committed entry to the replicated state. On the first entry of its own term a leader starts the
// expiry clock, and serves requests from then on.
func (m *StateMachine) apply(now time.Duration, entry *raftpb.Entry) error {
	m.applied = entry.GetIndex()
	// This entry follows everything that earlier leaders committed, so the table is complete when the clock starts.
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

// applyCommand applies a lease command. If this voter proposed the command, it responds to the client's request.
func (m *StateMachine) applyCommand(now time.Duration, entry commandEntry) {
	grant, err := m.table.Apply(entry.Command)
	if err == nil && m.expiry != nil {
		err = m.updateExpiry(now, entry.Command, grant)
	}
	if request, found := m.takePendingProposal(entry.Incarnation, entry.Seq); found {
		m.respond(request, grant, err)
	}
}

// updateExpiry updates the leader's expiry clock after a command that changed the table or confirmed a grant, and
// records freed duties. It fails if the grant's expiry has been proposed already: a response that confirmed the
// grant would be wrong as soon as the expiry is applied.
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
