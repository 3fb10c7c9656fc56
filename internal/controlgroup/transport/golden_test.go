package transport

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
	"piernotch/internal/controlgroup/watch"
)

var update = flag.Bool("update", false, "rewrite the golden files; only where the format changes on purpose")

// TestFramesGoldenFile fails if the encoding of frames changes: members that run an older program could no longer
// decode them. It covers each part of a frame with every field set, and the number of each request kind,
// operation and error.
func TestFramesGoldenFile(t *testing.T) {
	accepted := true
	event := &controlgroup.WatchEvent{
		Source:      "127.0.0.1:18500",
		FromVersion: 6,
		ToVersion:   7,
		Complete:    true,
		Body:        []byte(`{"generation":7}`),
	}
	voter := protocol.Voter{ID: 0x1122334455667701, Name: "n2", Address: "127.0.0.1:18702"}
	command := lease.Command{
		Op:        lease.Transfer,
		Duty:      "watch/addis",
		Process:   lease.Process{Name: "n0", Incarnation: 21},
		Token:     22,
		Successor: lease.Process{Name: "n1", Incarnation: 23},
	}
	grant := lease.Grant{Duty: "watch/addis", Holder: lease.Process{Name: "n1", Incarnation: 23}, Token: 24}
	frames := []Frame{
		{Handshake: &Handshake{
			Magic:        "piernotch-group",
			Version:      1,
			Group:        "example",
			Name:         "n0",
			ID:           0x1122334455667703,
			Bootstrapped: true,
		}},
		{Handshake: &Handshake{Magic: "piernotch-group", Version: 1, Group: "example", Name: "guest"}},
		{VoterMessage: &VoterMessage{
			From: 1,
			To:   3,
			Announcement: &protocol.Announcement{
				StartCount:  4,
				Incarnation: 5,
				Term:        6,
				Vote:        7,
				LastIndex:   8,
			},
			Accepted: &accepted,
			Raft:     []byte{8, 9, 10},
		}},
		{Request: &Request{Key: 31, Kind: protocol.Publish, Command: command, Voter: voter, Event: event}},
		{Response: &Response{
			Key: 32, Code: ErrorCodeOf(lease.ErrHeld), Grant: grant,
			Snapshot: protocol.Snapshot{
				Leases: lease.Snapshot{LastToken: 25, Grants: []lease.Grant{grant}},
				Voters: []protocol.Voter{voter},
			},
			Leader: "n1", FreedDuty: "watch/afar", Duty: "watch/addis", Token: 26, Event: event,
		}},
	}
	for kind, number := range map[protocol.Kind]int{
		protocol.Propose:   1,
		protocol.Renew:     2,
		protocol.Read:      3,
		protocol.AddVoter:  4,
		protocol.List:      5,
		protocol.Publish:   6,
		protocol.Subscribe: 7,
	} {
		require.EqualValues(t, number, kind)
	}
	for op, number := range map[lease.Op]int{lease.Acquire: 1, lease.Release: 2, lease.Transfer: 3, lease.Expire: 4} {
		require.EqualValues(t, number, op)
	}
	for code, err := range []error{
		nil, lease.ErrHeld, lease.ErrNotHeld, protocol.ErrNotLeader, protocol.ErrOutcomeUnknown, protocol.ErrOverloaded,
		protocol.ErrNameInUse, watch.ErrVersionGap, watch.ErrStaleToken, watch.ErrTooLarge,
	} {
		require.EqualValues(t, code, ErrorCodeOf(err))
		require.Equal(t, err, ErrorCode(code).Err())
	}
	require.Equal(t, ErrorCodeOf(protocol.ErrOutcomeUnknown), ErrorCodeOf(errors.New("another")))

	var written []byte
	for _, f := range frames {
		var err error
		written, err = Append(written, f)
		require.NoError(t, err)
	}
	path := filepath.Join("testdata", "frames.bin")
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, written, 0o644))
	}
	golden, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, golden, written, "the form of the frames has changed")
	stream := bytes.NewReader(golden)
	for i, want := range frames {
		got, err := Read(stream)
		require.NoError(t, err)
		require.Equal(t, want, got, "frame %d", i)
	}
	_, err = Read(stream)
	require.ErrorIs(t, err, io.EOF)
}
