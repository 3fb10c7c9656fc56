package simulation

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/scenario"
)

func buildAdapter(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "adapter")
	out, err := exec.Command("go", "build", "-o", path, "piernotch/cmd/simulator-adapter").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return path
}

func runChild(t *testing.T, path string, timeout time.Duration, args ...string) (*Result, error) {
	t.Helper()
	s, err := scenario.Load("felt-quake")
	require.NoError(t, err)
	d, err := s.Draw(2)
	require.NoError(t, err)
	c, err := StartChild(d, path, args...)
	require.NoError(t, err)
	c.BatchTimeout = timeout
	w, err := New(d, c)
	require.NoError(t, err)
	r, err := w.Run()
	closeErr := c.Close()
	if err == nil {
		require.NoError(t, closeErr)
	}
	return r, err
}

func TestChildGivesSameResultAsInProcess(t *testing.T) {
	got, err := runChild(t, buildAdapter(t), DefaultBatchTimeout)
	require.NoError(t, err)
	want := run(t, NewInProcess(), "felt-quake", 2)
	require.Equal(t, want.Digest, got.Digest)
	require.Equal(t, want.Service, got.Service)
}

func TestChildFailuresAreChildErrors(t *testing.T) {
	for _, c := range []struct{ name, script, want string }{
		{"dies", "echo out of cheese >&2; exit 3", "out of cheese"},
		{"hangs", "exec sleep 60", "no reply within"},
		{"babbles", "exec head -c 100000 /dev/zero", "a reply to batch 0 where one to 1 is due"},
	} {
		began := time.Now()
		_, err := runChild(t, "/bin/sh", 300*time.Millisecond, "-c", c.script)
		require.ErrorContains(t, err, c.want, c.name)
		var childErr *ChildError
		require.ErrorAs(t, err, &childErr, c.name)
		require.Less(t, time.Since(began), 20*time.Second, c.name)
	}
	_, err := StartChild(&scenario.Realization{}, filepath.Join(os.TempDir(), "no such adapter"))
	require.Error(t, err)
}
