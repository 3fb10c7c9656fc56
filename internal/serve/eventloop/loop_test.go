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

// recordingHandler counts the bytes that it receives, and sends the error passed to Closed on the channel end.
type recordingHandler struct {
	bytes int
	end   chan error
}

func newRecordingHandler() *recordingHandler { return &recordingHandler{end: make(chan error, 1)} }

func (h *recordingHandler) Data(data []byte) { h.bytes += len(data) }
func (h *recordingHandler) Closed(err error) { h.end <- err }

// startLoop runs a loop, which calls tick, until the returned function is called.
func startLoop(t *testing.T, l *Loop, tick func()) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		l.Run(ctx, 5*time.Millisecond, tick)
		close(done)
	}()
	return func() {
		cancel()
		<-done
	}
}

// waiting returns the number of messages that the owning goroutine has not taken yet.
func (m *mailbox) waiting() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.messages)
}

func (m *mailbox) empty() bool { return m.waiting() == 0 }

// All data that a server sent before it closed the connection is received, and the close is
// reported as orderly or as a reset, even if all of it arrives before the poller's first read.
func TestCloseIsReportedAfterAllData(t *testing.T) {
	for name, c := range map[string]struct {
		bytes int
		reset bool
		want  error
	}{
		"orderly":       {60 << 10, false, io.EOF},
		"orderly, long": {1 << 20, false, io.EOF},
		"reset":         {10, true, syscall.ECONNRESET},
		"reset, longer": {60 << 10, true, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			sent, connected := make(chan error, 1), make(chan struct{})
			go func() {
				peer, err := listener.Accept()
				if err == nil {
					_ = peer.(*net.TCPConn).SetWriteBuffer(4 << 20)
					_, err = peer.Write(make([]byte, c.bytes))
				}
				<-connected
				if err == nil && c.reset {
					err = peer.(*net.TCPConn).SetLinger(0)
				}
				if err == nil {
					err = peer.Close()
				}
				sent <- err
			}()
			l, err := New(64)
			require.NoError(t, err)
			h := newRecordingHandler()
			target := Target{Address: listener.Addr().String(), Timeout: time.Second}
			l.Dial(target, func(*Conn) Handler { return h }, func(_ *Conn, err error) {
				if err != nil {
					h.end <- err
				}
			})
			// The connection is established but not yet registered with the poller.
			require.Eventually(t, func() bool { return !l.mailbox.empty() }, 10*time.Second, time.Millisecond)
			close(connected)
			require.NoError(t, <-sent) // everything is sent before the first byte is read

			stop := startLoop(t, l, func() {})
			require.ErrorIs(t, <-h.end, c.want)
			stop()
			require.Equal(t, c.bytes, h.bytes)
		})
	}
}

// eventLog lists the events of several connections and of the clock in order.
type eventLog struct {
	mu     sync.Mutex
	events []string
}

func (e *eventLog) add(event string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, event)
}

func (e *eventLog) all() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.events
}

// loggingHandler adds the events of a connection to a log under a name.
type loggingHandler struct {
	log  *eventLog
	name string
}

func (h loggingHandler) Data(data []byte) { h.log.add(h.name + " " + string(data)) }
func (h loggingHandler) Closed(error)     { h.log.add(h.name + " closed") }

// After a stall, a client's close is handled before messages that arrived earlier and before the
// clock advances: a message or a tick may forward queued requests, even one that the client has
// abandoned.
func TestClientCloseIsHandledFirstAfterStall(t *testing.T) {
	l, err := New(64)
	require.NoError(t, err)
	var log eventLog
	names := []string{"stays", "leaves"}
	listener := l.ClientListener(func(*Conn) Handler {
		h := loggingHandler{&log, names[0]}
		names = names[1:]
		return h
	})
	require.NoError(t, listener.Listen("127.0.0.1:0"))
	stop := startLoop(t, l, func() {
		if len(log.all()) > 0 {
			log.add("tick")
		}
	})
	var peers []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", listener.Addr())
		require.NoError(t, err)
		peers = append(peers, c)
		time.Sleep(20 * time.Millisecond) // so that connections are accepted in this order
	}
	paused, resume := make(chan struct{}), make(chan struct{})
	l.Post(func() {
		close(paused)
		<-resume
	})
	<-paused
	for _, c := range peers {
		_, err = c.Write([]byte("request"))
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	require.NoError(t, peers[1].Close())
	// Waits until the poller has read two requests and a close, however long that takes.
	require.Eventually(t, func() bool { return l.mailbox.waiting() == 3 }, 10*time.Second, time.Millisecond)
	time.Sleep(stallThreshold)
	close(resume)
	require.Eventually(t, func() bool { return len(log.all()) > 2 }, 10*time.Second, time.Millisecond)
	stop()
	listener.Stop()
	_ = peers[0].Close()
	require.Equal(t, []string{"leaves closed", "stays request", "tick"}, log.all()[:3])
}

// Data that the kernel holds back to fill a packet (Nagle's algorithm) is lost when the connection
// is reset. Accepted and dialed connections therefore set TCP_NODELAY.
func TestConnectionsSetNoDelay(t *testing.T) {
	l, err := New(64)
	require.NoError(t, err)
	opened := make(chan *Conn, 2)
	newHandler := func(c *Conn) Handler {
		opened <- c
		return newRecordingHandler()
	}
	listener := l.ClientListener(newHandler)
	require.NoError(t, listener.Listen("127.0.0.1:0"))
	stop := startLoop(t, l, func() {})
	dialed := make(chan error, 1)
	target := Target{Address: listener.Addr(), Timeout: time.Second}
	l.Dial(target, newHandler, func(_ *Conn, err error) { dialed <- err })
	require.NoError(t, <-dialed)
	for range 2 {
		c, noDelay := <-opened, make(chan int, 1)
		l.Post(func() {
			raw, err := c.socket.SyscallConn()
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
	listener.Stop()
}

// When connections to servers have used up all other descriptors, the reserved ones remain for the
// watch of the endpoint list. Without the watch, draining servers would go unnoticed and
// connections to them would stay open.
func TestReservedDialConnectsWhereDescriptorsAreShort(t *testing.T) {
	l, err := New(ReservedDescriptors + 1)
	require.NoError(t, err)
	newHandler := func(*Conn) Handler { return newRecordingHandler() }
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	stop := startLoop(t, l, func() {})
	defer stop()
	dial := func(kind DialKind) error {
		dialed := make(chan error, 1)
		l.Post(func() {
			l.Dial(Target{Address: peer.Addr().String(), Timeout: time.Second, Kind: kind}, newHandler,
				func(_ *Conn, err error) { dialed <- err })
		})
		return <-dialed
	}
	for range 1 + dialOvershoot {
		require.NoError(t, dial(OrdinaryDial))
	}
	require.ErrorIs(t, dial(OrdinaryDial), ErrDescriptorsExhausted)
	require.NoError(t, dial(ReservedDial))
}

// Once the poller has closed a connection, the kernel may reuse its descriptor number for another
// one, so the closed connection must not use the number.
func TestDescriptorOfAClosedConnectionIsNotUsed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	l, err := New(64)
	require.NoError(t, err)
	connections := make(chan *Conn, 1)
	dial := func() (*Conn, net.Conn) {
		l.Post(func() {
			l.Dial(Target{Address: listener.Addr().String(), Timeout: time.Second},
				func(*Conn) Handler { return newRecordingHandler() }, func(c *Conn, _ error) { connections <- c })
		})
		peer, err := listener.Accept()
		require.NoError(t, err)
		return <-connections, peer
	}
	stop := startLoop(t, l, func() {})
	defer stop()
	first, firstPeer := dial()
	entered, leave, used := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
	l.Post(func() { // blocks the owning goroutine, so that it does not learn of the close
		close(entered)
		<-leave
		called := false
		first.useDescriptor(func(int) { called = true })
		used <- called || first.InputEmpty()
	})
	<-entered
	require.NoError(t, firstPeer.Close())
	require.Eventually(t, first.peerClosed.Load, 10*time.Second, time.Millisecond) // the poller has closed it
	close(leave)
	require.False(t, <-used)
}
