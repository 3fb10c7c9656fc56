package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// newSingleVoter returns the state machine of a group of one voter, with ID 1.
func newSingleVoter(t *testing.T) *StateMachine {
	t.Helper()
	m, err := New(Config{
		ID:          1,
		Incarnation: 11,
		StartCount:  1,
		Timing:      lease.Timing{Duration: 3 * time.Second, MaxClockDrift: 0.01},
		State:       Bootstrap([]protocol.Voter{{ID: 1, Name: "n1"}}),
	})
	require.NoError(t, err)
	return m
}

// advance passes every pending Ready to Advance, without a store or other voters.
func advance(t *testing.T, m *StateMachine, now time.Duration) {
	t.Helper()
	for ready, any := m.Ready(); any; ready, any = m.Ready() {
		require.NoError(t, m.Advance(now, ready))
	}
}

func TestStateMachineReportsMisroutedAndEmptyMessages(t *testing.T) {
	m := newSingleVoter(t)
	for _, c := range []struct {
		name string
		msg  Message
		text string
	}{
		{name: "misrouted", msg: Message{From: 2, To: 3}, text: "message for voter 3 was received by voter 1"},
		{name: "empty", msg: Message{From: 2, To: 1}, text: "message from voter 2 has no content from that voter"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := m.Step(c.msg)
			var messageError *MessageError
			require.ErrorAs(t, err, &messageError)
			require.EqualError(t, err, c.text)
		})
	}
}

func TestStateMachineReportsCommittedEntryItCannotApply(t *testing.T) {
	m := newSingleVoter(t)
	broken := entryAt(2, 1, "no CBOR")
	err := m.apply(0, broken)
	var entryErr *EntryError
	require.ErrorAs(t, err, &entryErr)
	require.EqualValues(t, 2, entryErr.Index)
	require.Error(t, entryErr.Unwrap())

	unknown := entryAt(3, 1, "")
	unknown.Type = raftpb.EntryConfChangeV2.Enum()
	require.EqualError(t, m.apply(0, unknown), "entry 3 has the unknown type EntryConfChangeV2")
}

func TestStateMachineAnswersOnlyAsLeader(t *testing.T) {
	m := newSingleVoter(t)
	process := lease.Process{Name: "a", Incarnation: 5}
	acquire := protocol.Request{
		Key:     1,
		Kind:    protocol.Propose,
		Command: lease.Command{Op: lease.Acquire, Duty: "x", Process: process},
	}
	m.Propose(0, acquire)
	responses := m.Responses()
	require.Len(t, responses, 1)
	require.ErrorIs(t, responses[0].Err, protocol.ErrNotLeader)

	now := time.Duration(0)
	for range 3 * electionTicks {
		now += 100 * time.Millisecond
		m.Tick(now)
		advance(t, m, now)
	}
	require.True(t, m.IsLeader())
	m.Propose(now, acquire)
	advance(t, m, now)
	want := lease.Grant{Duty: "x", Holder: process, Token: 1}
	require.Equal(t, []protocol.Response{{Key: 1, Grant: want}}, m.Responses())
	m.Propose(now, protocol.Request{Key: 2, Kind: protocol.Read, Command: lease.Command{Duty: "x"}})
	advance(t, m, now)
	require.Equal(t, []protocol.Response{{Key: 2, Grant: want}}, m.Responses())
}
