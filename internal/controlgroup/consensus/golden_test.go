package consensus

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

var update = flag.Bool("update", false, "write the golden files again; only where the form changes on purpose")

const goldenID = 0x1122334455667701

// goldenPath is the file of voter "n1" of group "example".
var goldenPath = filepath.Join("testdata", "n1.voter")

// The values in the golden file. Every field is set, so that a change of any field's encoding shows.
var (
	goldenVoters = []protocol.Voter{
		{ID: goldenID, Name: "n1", Address: "127.0.0.1:18701"},
		{ID: 0x1122334455667703, Name: "n2", Address: "127.0.0.1:18702"},
	}
	goldenState = protocol.Snapshot{
		Leases: lease.Snapshot{LastToken: 25, Grants: []lease.Grant{
			{Duty: "watch/addis", Holder: lease.Process{Name: "n1", Incarnation: 23}, Token: 24},
		}},
		Voters: goldenVoters,
	}
	goldenEntry = commandEntry{Incarnation: 31, Seq: 32, Command: lease.Command{
		Op:        lease.Transfer,
		Duty:      "watch/addis",
		Process:   lease.Process{Name: "n1", Incarnation: 23},
		Token:     24,
		Successor: lease.Process{Name: "n2", Incarnation: 26},
	}}
	goldenMembershipChange = membershipChange{
		Incarnation: 33,
		Seq:         34,
		Voter:       protocol.Voter{ID: 0x1122334455667705, Name: "n3", Address: "127.0.0.1:18703"},
	}
	// Only one start: the encoded order of several map entries is not fixed.
	goldenStarts    = map[protocol.VoterID]Start{0x1122334455667703: {Count: 41, Incarnation: 42}}
	goldenHardState = &raftpb.HardState{Term: proto.Uint64(5), Vote: proto.Uint64(goldenID), Commit: proto.Uint64(8)}
)

func toCBOR(t *testing.T, value any) []byte {
	t.Helper()
	data, err := cbor.Marshal(value)
	require.NoError(t, err)
	return data
}

func goldenSnapshot(t *testing.T) *raftpb.Snapshot {
	t.Helper()
	return &raftpb.Snapshot{Data: toCBOR(t, goldenState), Metadata: &raftpb.SnapshotMetadata{
		ConfState: &raftpb.ConfState{Voters: []uint64{goldenID, 0x1122334455667703}},
		Index:     proto.Uint64(6),
		Term:      proto.Uint64(4),
	}}
}

func goldenEntries(t *testing.T) []*raftpb.Entry {
	t.Helper()
	change, err := proto.Marshal(&raftpb.ConfChange{
		Type:    raftpb.ConfChangeAddNode.Enum(),
		NodeId:  proto.Uint64(uint64(goldenMembershipChange.Voter.ID)),
		Context: toCBOR(t, goldenMembershipChange),
	})
	require.NoError(t, err)
	return []*raftpb.Entry{
		{Index: proto.Uint64(7), Term: proto.Uint64(5), Type: raftpb.EntryNormal.Enum(), Data: toCBOR(t, goldenEntry)},
		{Index: proto.Uint64(8), Term: proto.Uint64(5), Type: raftpb.EntryConfChange.Enum(), Data: change},
	}
}

// writeVoterFile writes the golden values to a new file, under the fixed voter ID goldenID.
func writeVoterFile(t *testing.T, path string) {
	t.Helper()
	store, _, err := OpenStore(path, "example", "n1")
	require.NoError(t, err)
	store.identity.ID = goldenID
	require.NoError(t, store.Bootstrap(PersistentState{HardState: goldenHardState, Snapshot: goldenSnapshot(t)}))
	require.NoError(t, store.Write(Ready{Entries: goldenEntries(t), Starts: goldenStarts}))
	require.NoError(t, store.Close())
}

// values returns all values of a bbolt file by bucket and key, so that bbolt's page layout is not compared.
func values(t *testing.T, path string) map[string]string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, nil)
	require.NoError(t, err)
	defer func() { _ = db.Close() }()
	all := map[string]string{}
	require.NoError(t, db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				all[string(bucket)+"/"+string(k)] = string(v)
				return nil
			})
		})
	}))
	return all
}

// copyGoldenFile copies the golden file to a temporary directory, because opening a store writes to its file.
func copyGoldenFile(t *testing.T) string {
	t.Helper()
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.RemoveAll(goldenPath))
		writeVoterFile(t, goldenPath)
	}
	data, err := os.ReadFile(goldenPath)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "n1.voter")
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}

// TestVoterFileGoldenFile guards the format of voter files: an older program's file must decode to the same values,
// and the same values must encode to the same bytes under each key.
func TestVoterFileGoldenFile(t *testing.T) {
	path := copyGoldenFile(t)
	fresh := filepath.Join(t.TempDir(), "fresh.voter")
	writeVoterFile(t, fresh)
	require.Equal(t, values(t, path), values(t, fresh), "the format on disk has changed")

	store, state, err := OpenStore(path, "example", "n1")
	require.NoError(t, err)
	t.Cleanup(func() { _ = store.Close() })
	require.Equal(t, Identity{
		Version:      1,
		Group:        "example",
		Name:         "n1",
		ID:           goldenID,
		StartCount:   2,
		Bootstrapped: true,
	}, store.Identity())
	require.True(t, proto.Equal(goldenHardState, state.HardState))
	require.Equal(t, goldenStarts, state.Starts)
	require.True(t, proto.Equal(goldenSnapshot(t), state.Snapshot))
	var replicated protocol.Snapshot
	require.NoError(t, cbor.Unmarshal(state.Snapshot.GetData(), &replicated))
	require.Equal(t, goldenState, replicated)
	require.Len(t, state.Entries, 2)
	for i, want := range goldenEntries(t) {
		require.True(t, proto.Equal(want, state.Entries[i]), "entry %d", i)
	}
	var command commandEntry
	require.NoError(t, cbor.Unmarshal(state.Entries[0].GetData(), &command))
	require.Equal(t, goldenEntry, command)
	var change raftpb.ConfChange
	require.NoError(t, proto.Unmarshal(state.Entries[1].GetData(), &change))
	var membership membershipChange
	require.NoError(t, cbor.Unmarshal(change.GetContext(), &membership))
	require.Equal(t, goldenMembershipChange, membership)
}
