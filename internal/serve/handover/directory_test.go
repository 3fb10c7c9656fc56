package handover

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPeersAreReturnedUntilTheyEnd(t *testing.T) {
	path := t.TempDir()
	previous, err := Enter(path, "n1")
	require.NoError(t, err)
	require.NoError(t, previous.Write(Record{ProcessState: ProcessState{1, 10, Ready, 0}, Generation: 7}))
	next, err := Enter(path, "n1")
	require.NoError(t, err)
	otherBalancer, err := Enter(path, "n2")
	require.NoError(t, err)
	peersOf := func(d *Directory) []Peer {
		peers, err := d.Peers()
		require.NoError(t, err)
		return peers
	}
	require.Empty(t, peersOf(otherBalancer))
	require.Len(t, peersOf(previous), 1)
	require.Error(t, peersOf(previous)[0].Err, "the process has not written a record yet")
	require.True(t, peersOf(previous)[0].Alive)
	require.EqualValues(t, 7, peersOf(next)[0].Generation)
	require.NoError(t, previous.Write(Record{ProcessState: ProcessState{1, 10, ShuttingDown, 0}, Generation: 8}))
	require.Equal(t, ShuttingDown, peersOf(next)[0].Phase)

	previous.Leave()
	last := peersOf(next)
	require.False(t, last[0].Alive)
	require.EqualValues(t, 8, last[0].Generation)
	require.Empty(t, peersOf(next))

	// A corrupt record is rejected, and so is another balancer's record under this balancer's file name.
	foreign, err := Encode(Record{Name: "n2"})
	require.NoError(t, err)
	for _, tc := range []struct {
		content string
		err     error
		text    string
	}{
		{"piernotch-handover 1 00 5\nhello", ErrTruncated, "truncated"},
		{"", ErrTruncated, "truncated"},
		{string(foreign), ErrOtherBalancer, "another balancer"},
	} {
		third, err := Enter(path, "n1")
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(third.file(third.ownStem, recordSuffix), []byte(tc.content), 0o600))
		readErr := peersOf(next)[0].Err
		require.ErrorIs(t, readErr, tc.err)
		require.ErrorContains(t, readErr, tc.text)
		third.Leave()
		require.Len(t, peersOf(next), 1)
	}
	files, err := filepath.Glob(filepath.Join(path, "*"))
	require.NoError(t, err)
	require.Len(t, files, 2, "the locks of the two live processes: %v", files)
}

// An error when the lock of a process is tested must not make it count as ended: both would then serve as if alone.
func TestProcessWithUnreadableLockCountsAsAlive(t *testing.T) {
	path := t.TempDir()
	previous, err := Enter(path, "n1")
	require.NoError(t, err)
	require.NoError(t, previous.Write(Record{ProcessState: ProcessState{1, 10, Ready, 0}}))
	next, err := Enter(path, "n1")
	require.NoError(t, err)
	lock := previous.file(previous.ownStem, lockSuffix)
	require.NoError(t, os.Rename(lock, lock+"-moved"))
	require.NoError(t, os.Symlink(lock, lock)) // opening it fails with ELOOP
	for range 2 {
		peers, err := next.Peers()
		require.NoError(t, err)
		require.Len(t, peers, 1)
		require.True(t, peers[0].Alive)
		require.Equal(t, Ready, peers[0].Phase)
	}
	require.NoError(t, os.Remove(lock))
	peers, err := next.Peers()
	require.NoError(t, err)
	require.Empty(t, peers, "its lock file is gone")
}
