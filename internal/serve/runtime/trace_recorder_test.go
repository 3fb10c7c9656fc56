package runtime

import (
	"bufio"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/trafficrecording"
)

// Requests are recorded with their outcomes, and the trace can be read after the shutdown.
func TestTraceHoldsRequestsAndOutcomes(t *testing.T) {
	balancer, done := startBalancer(t, startIdleDiscovery(t), startPeer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if head, _ := readMessage(r); head == "" {
				return
			}
			respond(c, "x")
		}
	}))
	name := filepath.Join(t.TempDir(), "traffic.pnt")
	cfg := balancer.cfg
	cfg.Trace.File = name
	ready := make(chan error)
	balancer.loop.Post(func() {
		var err error
		balancer.recorder, err = newTraceRecorder(&cfg, balancer.now())
		ready <- err
	})
	require.NoError(t, <-ready)
	c := connect(t, balancer)
	for _, id := range []string{"1", "2", "3"} {
		_, body := c.request("GET", "/read?k=7f", id, "")
		require.Equal(t, "x", body)
	}
	_, body := c.request("POST", "/append", "4", "body")
	require.Equal(t, "x", body)
	balancer.Shutdown()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("still running")
	}
	r, err := trafficrecording.Open(name)
	require.NoError(t, err)
	defer func() { require.NoError(t, r.Close()) }()
	require.Equal(t, []string{"read", "append"}, r.Header().Classes)
	require.Equal(t, "a", r.Header().Zone)
	var record trafficrecording.Record
	for i := range 4 {
		require.NoError(t, r.Next(&record))
		require.Equal(t, trafficrecording.Served, record.Outcome)
		require.Positive(t, record.Latency)
		require.Equal(t, i == 3, record.Class == 1)
		require.Equal(t, i < 3, record.Key != 0)
	}
}
