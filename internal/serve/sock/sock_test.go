package sock

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heard is a handler that counts what it is told.
type heard struct {
	bytes int
	end   chan error
}

func (h *heard) Data(data []byte) { h.bytes += len(data) }
func (h *heard) Closed(err error) { h.end <- err }

// What a server sent before its end is heard whole, and its end is told as it was, also where all of
// it waits when the poller first looks.
func TestTheEndComesBehindAllThatWasSent(t *testing.T) {
	for name, c := range map[string]struct {
		bytes int
		reset bool
		want  error
	}{
		"in order":         {60 << 10, false, io.EOF},
		"much, in order":   {1 << 20, false, io.EOF},
		"broken off":       {10, true, syscall.ECONNRESET},
		"more, broken off": {60 << 10, true, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			sent, up := make(chan error, 1), make(chan struct{})
			go func() {
				peer, err := l.Accept()
				if err == nil {
					_ = peer.(*net.TCPConn).SetWriteBuffer(4 << 20)
					_, err = peer.Write(make([]byte, c.bytes))
				}
				<-up
				if err == nil && c.reset {
					err = peer.(*net.TCPConn).SetLinger(0)
				}
				if err == nil {
					err = peer.Close()
				}
				sent <- err
			}()
			e, err := New(64)
			require.NoError(t, err)
			h := &heard{end: make(chan error, 1)}
			e.Dial(l.Addr().String(), time.Second, func(*Conn) Handler { return h }, func(_ *Conn, err error) {
				if err != nil {
					h.end <- err
				}
			})
			require.Eventually(t, func() bool { e.mu.Lock(); defer e.mu.Unlock(); return len(e.mail) > 0 },
				10*time.Second, time.Millisecond) // connected, and not taken over yet
			close(up)
			require.NoError(t, <-sent) // all of it, before a byte is read

			ctx, stop := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { e.Run(ctx, 5*time.Millisecond, func() {}); close(done) }()
			require.ErrorIs(t, <-h.end, c.want)
			stop()
			<-done
			require.Equal(t, c.bytes, h.bytes)
		})
	}
}
