package consensus

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"piernotch/internal/controlgroup/protocol"
)

func entryAt(index, term uint64, data string) *raftpb.Entry {
	return &raftpb.Entry{Index: &index, Term: &term, Data: []byte(data)}
}

// reopen closes a store and opens its file again.
func reopen(t *testing.T, s *Store) (*Store, PersistentState) {
	t.Helper()
	require.NoError(t, s.Close())
	s, state, err := OpenStore(s.path, "g", "n1")
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s, state
}

func TestStoreReturnsWhatWasWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "deep", "voter")
	store, state, err := OpenStore(path, "g", "n1")
	require.NoError(t, err)
	require.Nil(t, state.HardState)
	first := store.Identity()
	require.False(t, first.Bootstrapped)
	_, _, err = OpenStore(path, "g", "n1")
	require.ErrorContains(t, err, "in use by another process")
	require.ErrorIs(t, err, ErrStoreInUse)

	bootstrapped := Bootstrap([]protocol.Voter{{ID: first.ID, Name: "n1", Address: "127.0.0.1:1"}})
	require.NoError(t, store.Bootstrap(bootstrapped))
	require.NoError(t, store.Write(Ready{
		Entries: []*raftpb.Entry{entryAt(2, 1, "a"), entryAt(3, 1, "b"), entryAt(4, 1, "c")},
	}))
	require.NoError(t, store.Write(Ready{
		Entries: []*raftpb.Entry{entryAt(3, 2, "d")},
		Starts:  map[protocol.VoterID]Start{9: {Count: 4, Incarnation: 7}},
	}))
	store, state = reopen(t, store)
	require.Equal(t, Identity{storeVersion, "g", "n1", first.ID, 2, true}, store.Identity())
	require.Len(t, state.Entries, 2, "an entry of a later term replaces all from its index on")
	require.True(t, proto.Equal(entryAt(3, 2, "d"), state.Entries[1]))
	require.Equal(t, map[protocol.VoterID]Start{9: {Count: 4, Incarnation: 7}}, state.Starts)
	require.True(t, proto.Equal(bootstrapped.Snapshot, state.Snapshot))

	three := uint64(3)
	compaction := proto.Clone(bootstrapped.Snapshot).(*raftpb.Snapshot)
	compaction.Metadata.Index = &three
	require.NoError(t, store.Write(Ready{Entries: []*raftpb.Entry{entryAt(4, 2, "e")}}))
	require.NoError(t, store.Write(Ready{Compaction: compaction}))
	store, state = reopen(t, store)
	require.Len(t, state.Entries, 1, "a compaction replaces the entries up to its index")
	require.NoError(t, store.Write(Ready{Snapshot: bootstrapped.Snapshot}))
	_, state = reopen(t, store)
	require.Empty(t, state.Entries, "a leader's snapshot replaces all entries")
}

func TestStoreRefusesOtherVotersAndCorruptFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "voter")
	store, _, err := OpenStore(path, "g", "n1")
	require.NoError(t, err)
	require.NoError(t, store.Bootstrap(Bootstrap([]protocol.Voter{{ID: store.Identity().ID, Name: "n1"}})))
	require.NoError(t, store.Write(Ready{Entries: []*raftpb.Entry{entryAt(2, 1, "easy to find")}}))
	require.NoError(t, store.Close())
	_, _, err = OpenStore(path, "g", "n2")
	require.ErrorContains(t, err, `belongs to "n1" of group "g", not to "n2" of "g"`)
	var owner *OwnerError
	require.ErrorAs(t, err, &owner)

	intact, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Contains(t, string(intact), "easy to find")
	for name, corrupt := range map[string]func([]byte) []byte{
		"flipped bit": func(data []byte) []byte {
			return bytes.ReplaceAll(data, []byte("easy"), []byte{'e' ^ 1, 'a', 's', 'y'})
		},
		"truncated": func(data []byte) []byte { return data[:3*len(data)/8] },
		"noise":     func([]byte) []byte { return []byte("what is this") },
	} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, os.WriteFile(path, corrupt(intact), 0o600))
			_, _, err := OpenStore(path, "g", "n1")
			require.ErrorIs(t, err, ErrCorrupt)
			require.ErrorContains(t, err, path)
			quarantined, err := Quarantine(path)
			require.NoError(t, err)
			require.FileExists(t, quarantined)
			fresh, state, err := OpenStore(path, "g", "n1")
			require.NoError(t, err)
			require.Nil(t, state.HardState)
			require.NotEqual(t, store.Identity().ID, fresh.Identity().ID, "the voter comes back under a new ID")
			require.NoError(t, fresh.Close())
		})
	}
}

// Regression: an error of the operating system was taken for a corrupt file, and the caller quarantined an intact one.
func TestErrorOfTheOperatingSystemIsNoCorruption(t *testing.T) {
	for name, prepare := range map[string]func(t *testing.T, path string) error{
		"directory in its place": func(_ *testing.T, path string) error { return os.Mkdir(path, 0o700) },
		"circular link":          func(_ *testing.T, path string) error { return os.Symlink(path, path) },
		"no descriptor left": func(t *testing.T, path string) error {
			t.Helper()
			store, _, err := OpenStore(path, "g", "n1")
			require.NoError(t, err)
			require.NoError(t, store.Close())
			return forbidNewDescriptors(t)
		},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "voter")
			require.NoError(t, prepare(t, path))
			_, _, err := OpenStore(path, "g", "n1")
			require.Error(t, err)
			require.NotErrorIs(t, err, ErrCorrupt)
		})
	}
}

// forbidNewDescriptors makes every call that opens a descriptor fail with EMFILE until the test ends.
func forbidNewDescriptors(t *testing.T) error {
	t.Helper()
	var limit syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	t.Cleanup(func() { require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)) })
	return syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 0, Max: limit.Max})
}

// A file that ends anywhere, as after a kill within a write or on a full disk, is either read completely or reported
// as corrupt: the voter then comes back under a new ID, and never with a part of its log.
func TestStoreCutAnywhereIsCorruptOrComplete(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "voter")
	store, _, err := OpenStore(path, "g", "n1")
	require.NoError(t, err)
	require.NoError(t, store.Bootstrap(Bootstrap([]protocol.Voter{{ID: store.Identity().ID, Name: "n1"}})))
	require.NoError(t, store.Write(Ready{Entries: []*raftpb.Entry{entryAt(2, 1, "a"), entryAt(3, 1, "b")}}))
	require.NoError(t, store.Close())
	intact, err := os.ReadFile(path)
	require.NoError(t, err)
	const step = 512 // bytes of a sector
	corrupt := 0
	for size := step; size <= len(intact); size += step {
		cutPath := filepath.Join(dir, strconv.Itoa(size))
		require.NoError(t, os.WriteFile(cutPath, intact[:size], 0o600))
		cut, state, err := OpenStore(cutPath, "g", "n1")
		if err != nil {
			require.ErrorIs(t, err, ErrCorrupt, "%d bytes", size)
			corrupt++
			continue
		}
		require.Len(t, state.Entries, 2, "%d bytes", size)
		require.Equal(t, store.Identity().ID, cut.Identity().ID, "%d bytes", size)
		require.NoError(t, cut.Close())
	}
	require.Positive(t, corrupt)
}
