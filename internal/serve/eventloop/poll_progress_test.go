package eventloop

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Input has been read for certain only when the batch behind the one with the probe is handled.
func TestProbeConfirmsInputOfTheBatchBeforeLast(t *testing.T) {
	start := time.Now()
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	progress := pollProgress{caughtUp: start}
	progress.tick(at(5), true)
	for range 2 {
		progress.batch()
		require.Equal(t, start, progress.caughtUp)
		require.True(t, progress.probing())
	}
	progress.tick(at(100), true) // the probe is still on its way
	progress.batch()
	require.Equal(t, at(5), progress.caughtUp)
	require.False(t, progress.probing())
	progress.tick(at(105), false)
	require.Equal(t, at(105), progress.caughtUp)
}

// A request that waited in the kernel while the poller was busy must count from its arrival, not from its reading.
func TestInputAgeCountsTheTimeUntilTheBusyPollerHasReadIt(t *testing.T) {
	const waited = 100 * time.Millisecond
	l, err := New(64)
	require.NoError(t, err)
	opened := make(chan *Conn, 1)
	listener := l.ClientListener(func(conn *Conn) Handler {
		opened <- conn
		return newRecordingHandler()
	})
	require.NoError(t, listener.Listen("127.0.0.1:0"))
	defer listener.Stop()
	stop := startLoop(t, l, func() {})
	defer stop()
	peer, err := net.Dial("tcp", listener.Addr())
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	conn := <-opened
	ages := make(chan time.Duration)
	age := func(lag time.Duration) time.Duration {
		l.Post(func() {
			l.registrar.mu.Lock()
			l.registrar.progress.caughtUp = time.Now().Add(-lag)
			l.registrar.mu.Unlock()
			ages <- conn.InputAge()
		})
		return <-ages
	}
	_, err = io.WriteString(peer, "request")
	require.NoError(t, err)
	time.Sleep(waited)
	require.Zero(t, age(stallThreshold/2), "the poller is not late")
	require.Greater(t, age(time.Hour), waited/2)
	require.Less(t, age(time.Hour), time.Minute)
	require.LessOrEqual(t, age(2*stallThreshold), 2*stallThreshold+stallThreshold)
}
