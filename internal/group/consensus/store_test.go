package consensus

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"piernotch/internal/group/protocol"
)

func entryAt(i, term uint64, data string) *raftpb.Entry {
	return &raftpb.Entry{Index: &i, Term: &term, Data: []byte(data)}
}

// reopened closes a disk and returns what its file holds.
func reopened(t *testing.T, d *Store) (*Store, PersistentState) {
	require.NoError(t, d.Close())
	d, l, err := OpenStore(d.path, "g", "n1")
	require.NoError(t, err)
	t.Cleanup(func() { _ = d.Close() })
	return d, l
}

func TestADiskKeepsWhatWasWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "deep", "voter")
	d, l, err := OpenStore(path, "g", "n1")
	require.NoError(t, err)
	require.Nil(t, l.HardState)
	first := d.Identity()
	require.False(t, first.Bootstrapped)
	_, _, err = OpenStore(path, "g", "n1")
	require.ErrorContains(t, err, "another process uses it")

	born := Bootstrap([]protocol.Voter{{ID: first.ID, Name: "n1", Address: "127.0.0.1:1"}})
	require.NoError(t, d.Bootstrap(born))
	require.NoError(t, d.Write(Ready{Entries: []*raftpb.Entry{entryAt(2, 1, "a"), entryAt(3, 1, "b"), entryAt(4, 1, "c")}}))
	require.NoError(t, d.Write(Ready{Entries: []*raftpb.Entry{entryAt(3, 2, "d")}, Incarnations: map[uint64]Incarnation{9: {4, 7}}}))
	d, l = reopened(t, d)
	require.Equal(t, Identity{diskVersion, "g", "n1", first.ID, 2, true}, d.Identity())
	require.Len(t, l.Entries, 2, "a later term's entry takes the place of all behind it")
	require.True(t, proto.Equal(entryAt(3, 2, "d"), l.Entries[1]))
	require.Equal(t, map[uint64]Incarnation{9: {4, 7}}, l.Incarnations)
	require.True(t, proto.Equal(born.Snapshot, l.Snapshot))

	three := uint64(3)
	image := proto.Clone(born.Snapshot).(*raftpb.Snapshot)
	image.Metadata.Index = &three
	require.NoError(t, d.Write(Ready{Entries: []*raftpb.Entry{entryAt(4, 2, "e")}}))
	require.NoError(t, d.Write(Ready{Compaction: image}))
	d, l = reopened(t, d)
	require.Len(t, l.Entries, 1, "an image takes the place of what led to it")
	require.NoError(t, d.Write(Ready{Snapshot: born.Snapshot}))
	_, l = reopened(t, d)
	require.Empty(t, l.Entries, "and another member's of all")
}

func TestADiskOfAnotherIsNotRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "voter")
	d, _, err := OpenStore(path, "g", "n1")
	require.NoError(t, err)
	require.NoError(t, d.Bootstrap(Bootstrap([]protocol.Voter{{ID: d.Identity().ID, Name: "n1"}})))
	require.NoError(t, d.Write(Ready{Entries: []*raftpb.Entry{entryAt(2, 1, "a word that is easy to find")}}))
	require.NoError(t, d.Close())
	_, _, err = OpenStore(path, "g", "n2")
	require.ErrorContains(t, err, `belongs to "n1" of group "g", not to "n2" of "g"`)

	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	for name, spoil := range map[string]func([]byte) []byte{
		"a bit": func(b []byte) []byte {
			b = append([]byte(nil), b...)
			for i := range b {
				if string(b[i:min(i+6, len(b))]) == "a word" {
					b[i] ^= 1
				}
			}
			return b
		},
		"cut short": func(b []byte) []byte { return b[:3*len(b)/8] },
		"noise":     func(b []byte) []byte { return []byte("what is this") },
	} {
		require.NoError(t, os.WriteFile(path, spoil(whole), 0o600), name)
		_, _, err = OpenStore(path, "g", "n1")
		require.ErrorIs(t, err, ErrCorrupt, name)
		require.ErrorContains(t, err, path, name)
		aside, err := Quarantine(path)
		require.NoError(t, err)
		require.FileExists(t, aside)
		fresh, l, err := OpenStore(path, "g", "n1")
		require.NoError(t, err)
		require.Nil(t, l.HardState)
		require.NotEqual(t, d.Identity().ID, fresh.Identity().ID, "it comes back as another voter")
		require.NoError(t, fresh.Close())
	}
}
