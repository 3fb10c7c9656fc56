package runtime

import (
	"bufio"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/trace"
)

// What clients ask is recorded with how it ended, and reads back.
func TestTrafficIsRecorded(t *testing.T) {
	n, done := start(t, quiet(t), peer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if head, _ := message(r); head == "" {
				return
			}
			answer(c, "x")
		}
	}))
	name := filepath.Join(t.TempDir(), "traffic.pnt")
	cfg := n.cfg
	cfg.Trace.File = name
	ready := make(chan error)
	n.loop.Post(func() {
		var err error
		n.recorder, err = newTraceRecorder(&cfg, n.now())
		ready <- err
	})
	require.NoError(t, <-ready)
	c := connect(t, n)
	for _, id := range []string{"1", "2", "3"} {
		_, body := c.ask("GET", "/read?k=7f", id, "")
		require.Equal(t, "x", body)
	}
	_, body := c.ask("POST", "/append", "4", "body")
	require.Equal(t, "x", body)
	n.Shutdown()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("it does not end")
	}
	r, err := trace.Open(name)
	require.NoError(t, err)
	defer r.Close()
	require.Equal(t, []string{"read", "append"}, r.Header().Classes)
	require.Equal(t, "a", r.Header().Zone)
	var rec trace.Record
	for i := range 4 {
		require.NoError(t, r.Next(&rec))
		require.Equal(t, trace.Served, rec.Outcome)
		require.Positive(t, rec.Latency)
		require.Equal(t, i == 3, rec.Class == 1)
		require.Equal(t, i < 3, rec.Key != 0)
	}
}
