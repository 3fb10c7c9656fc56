package runtime

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/serve/handover"
)

// While the state directory cannot be read, a process must not take itself for the only one.
func TestSiblingsStayKnownWhileTheirDirectoryIsUnreadable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	require.NoError(t, os.Mkdir(path, 0o700))
	sibling, err := handover.Enter(path, "n")
	require.NoError(t, err)
	require.NoError(t, sibling.Write(handover.Record{ProcessState: handover.ProcessState{Epoch: 1, PID: 1}}))
	siblings, peers, err := enterSiblings(path, "n")
	require.NoError(t, err)
	siblings.update(peers)
	require.False(t, siblings.alone)

	require.NoError(t, os.Rename(path, path+"-moved"))
	_, updated := siblings.poll(time.Hour)
	require.False(t, updated)
	require.False(t, siblings.alone)

	require.NoError(t, os.Rename(path+"-moved", path))
	sibling.Leave()
	peers, updated = siblings.poll(2 * time.Hour)
	require.True(t, updated)
	siblings.update(peers)
	require.True(t, siblings.alone)
}
