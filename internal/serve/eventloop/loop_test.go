package eventloop

import (
	"context"
	"io"
	"net"
	"sync"
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

// told is a handler that notes what it hears among what others hear.
type told struct {
	mu   *sync.Mutex
	log  *[]string
	name string
}

func (h told) note(what string) { h.mu.Lock(); *h.log = append(*h.log, h.name+what); h.mu.Unlock() }
func (h told) Data(data []byte) { h.note(" " + string(data)) }
func (h told) Closed(error)     { h.note(" left") }

// After a stall, that a client has left is heard before what came in front of it, and before time goes on:
// both may have what waits for room sent on.
func TestWhoHasLeftIsHeardFirstAfterAStall(t *testing.T) {
	e, err := New(64)
	require.NoError(t, err)
	var mu sync.Mutex
	var log []string
	names := []string{"stays", "leaves"}
	l := e.ClientListener(func(*Conn) Handler {
		h := told{&mu, &log, names[0]}
		names = names[1:]
		return h
	})
	require.NoError(t, l.Listen("127.0.0.1:0"))
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	still, goOn := make(chan struct{}), make(chan struct{})
	go func() {
		e.Run(ctx, 5*time.Millisecond, func() {
			mu.Lock()
			if len(log) > 0 {
				log = append(log, "tick")
			}
			mu.Unlock()
		})
		close(done)
	}()
	var peers []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", l.Addr())
		require.NoError(t, err)
		peers = append(peers, c)
		time.Sleep(20 * time.Millisecond) // taken in, in this order
	}
	e.Post(func() { close(still); <-goOn })
	<-still
	for _, c := range peers {
		_, err = c.Write([]byte("asks"))
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	require.NoError(t, peers[1].Close())
	time.Sleep(20 * time.Millisecond)
	close(goOn)
	require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return len(log) > 2 }, 10*time.Second, time.Millisecond)
	stop()
	<-done
	l.Stop()
	_ = peers[0].Close()
	require.Equal(t, []string{"leaves left", "stays asks", "tick"}, log[:3])
}

// What the system holds back for a fuller packet goes with a reset: nothing is held back, either way.
func TestSmallWritesAreNotHeldBack(t *testing.T) {
	e, err := New(64)
	require.NoError(t, err)
	taken := make(chan *Conn, 2)
	l := e.ClientListener(func(c *Conn) Handler { taken <- c; return &heard{end: make(chan error, 1)} })
	require.NoError(t, l.Listen("127.0.0.1:0"))
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { e.Run(ctx, 5*time.Millisecond, func() {}); close(done) }()
	up := make(chan error, 1)
	e.Dial(l.Addr(), time.Second, func(c *Conn) Handler { taken <- c; return &heard{end: make(chan error, 1)} },
		func(_ *Conn, err error) { up <- err })
	require.NoError(t, <-up)
	for range 2 {
		c, noDelay := <-taken, make(chan int, 1)
		e.Post(func() {
			raw, err := c.nb.SyscallConn()
			if err == nil {
				_ = raw.Control(func(fd uintptr) {
					on, _ := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
					noDelay <- on
				})
			}
		})
		require.NotZero(t, <-noDelay)
	}
	stop()
	<-done
	l.Stop()
}
