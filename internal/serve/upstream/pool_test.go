package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/memory"
)

// More attempts wait for connections than may be dialed at once, and attempts that get a connection lose it again.
// Without replacement connections, the remaining attempts would wait forever.
func TestWaitingAttemptsGetReplacementConnections(t *testing.T) {
	t.Run("attempt cancelled", func(t *testing.T) {
		requireAllAttemptsConnect(t, "", func(u *Upstream, ref core.AttemptRef) { u.CancelAttempt(ref) })
	})
	t.Run("connection closed by the server", func(t *testing.T) {
		closing := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
		requireAllAttemptsConnect(t, closing, func(*Upstream, core.AttemptRef) {})
	})
}

// requireAllAttemptsConnect starts more attempts than may be dialed at once, and requires that each gets a connection.
// It calls onConnected for each attempt whose request was written. The server responds to each request with response,
// or not at all if response is empty.
func requireAllAttemptsConnect(t *testing.T, response string, onConnected func(*Upstream, core.AttemptRef)) {
	t.Helper()
	const attempts = maxConcurrentDials + 4
	address := startServer(t, response)
	loop, err := eventloop.New(256)
	require.NoError(t, err)

	started := time.Now()
	connected := 0
	allConnected := make(chan struct{})
	var u *Upstream
	emit := func(event core.Event) {
		c, ok := event.(core.AttemptConnected)
		if !ok {
			return
		}
		u.WriteAttempt(c.Ref)
		connected++
		if connected == attempts {
			close(allConnected)
		}
		loop.Post(func() { onConnected(u, c.Ref) })
	}
	u = New(Options{
		Loop:        loop,
		Emit:        emit,
		Now:         func() time.Duration { return time.Since(started) },
		KeepAlive:   time.Minute,
		DialTimeout: time.Second,

		RequestMemory: &memory.Pool{}, ResponseMemory: &memory.Pool{},
	})
	loop.Post(func() {
		for i := range attempts {
			u.StartAttempt(core.StartAttempt{
				Ref:     core.AttemptRef{Request: piernotch.RequestID(i)},
				To:      core.Endpoint{Server: 1, Address: address},
				Message: &core.RequestMessage{Method: "GET", Target: "/", ID: "1"},
				Timeout: time.Minute,
			})
		}
	})

	ctx, stop := context.WithCancel(t.Context())
	loopEnded := make(chan struct{})
	go func() { // ends with ctx; the end is awaited below
		loop.Run(ctx, core.TickInterval, func() { u.Tick() })
		close(loopEnded)
	}()
	select {
	case <-allConnected:
	case <-time.After(5 * time.Second):
		t.Error("some attempts still wait for a connection")
	}
	stop()
	<-loopEnded
}

// startServer accepts connections until the test ends. On each connection it responds to the first line, unless
// response is empty, and discards further input until the client closes.
func startServer(t *testing.T, response string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() { // ends when the listener is closed
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveOnce(conn, response) // ends when the client closes
		}
	}()
	return listener.Addr().String()
}

func serveOnce(conn net.Conn, response string) {
	reader := bufio.NewReader(conn)
	_, _ = reader.ReadString('\n')
	if response != "" {
		_, _ = conn.Write([]byte(response))
	}
	_, _ = reader.WriteTo(io.Discard)
	_ = conn.Close()
}

// A connection that was opened before its server restarted must not be reused: it leads to the earlier process.
func TestConnectionToEarlierProcessIsNotReused(t *testing.T) {
	f := newFixture(t)
	earlier := f.startAttempt()
	connection := f.accept()
	connection.RequestHead()
	f.Do(func() { f.upstream.CloseIdle(f.endpoint()) }) // as for a restart, while the connection is in use
	later := f.startAttempt()                           // makes the pool's connections reusable again
	f.accept()
	connection.Send(emptyResponse)
	require.Equal(t, core.AttemptCompleted{Ref: earlier, Response: &core.ResponseMessage{}}, <-f.Events)
	connection.RequireClosed()
	f.Do(func() { require.NotNil(t, f.upstream.attempts[later].connection) })
}
