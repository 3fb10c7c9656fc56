package eventloop

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// accepted is both sides of a connection that a listener has accepted.
type accepted struct {
	conn    *Conn
	handler *recordingHandler
	peer    net.Conn
}

// acceptTwo returns two connections of a new listener.
func acceptTwo(t *testing.T, l *Loop) [2]accepted {
	t.Helper()
	opened := make(chan accepted, 2)
	listener := l.ClientListener(func(conn *Conn) Handler {
		handler := newRecordingHandler()
		opened <- accepted{conn: conn, handler: handler}
		return handler
	})
	require.NoError(t, listener.Listen("127.0.0.1:0"))
	t.Cleanup(listener.Stop)
	var both [2]accepted
	for i := range both {
		peer, err := net.Dial("tcp", listener.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { _ = peer.Close() })
		both[i] = <-opened
		both[i].peer = peer
	}
	return both
}

// setPending sets the number of bytes that seem to wait in the mailbox. Above maxPendingData, the poller blocks once it
// has read data.
func (m *mailbox) setPending(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dataSize = bytes
	m.taken.Signal()
}

// descriptor returns the connection's descriptor number.
func descriptor(conn *Conn) (number int) {
	conn.useDescriptor(func(fd int) { number = fd })
	return number
}

// occupyDescriptorsBelow opens descriptors until there is none free below a number.
func occupyDescriptorsBelow(t *testing.T, number int) {
	t.Helper()
	for {
		file, err := os.Open(os.DevNull)
		require.NoError(t, err)
		t.Cleanup(func() { _ = file.Close() })
		if int(file.Fd()) > number {
			return
		}
	}
}

// The close of a connection must not end a new connection that has its descriptor number.
func TestEventOfAClosedConnectionDoesNotEndTheNextOne(t *testing.T) {
	l, err := New(64)
	require.NoError(t, err)
	stop := startLoop(t, l, func() {})
	defer stop()
	both := acceptTwo(t, l)
	first, closed := both[0], both[1]
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	peer, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	next := newRecordingHandler()
	sendByte := func(to net.Conn) {
		_, err := to.Write([]byte{1})
		require.NoError(t, err)
	}
	eventually := func(condition func() bool) {
		require.Eventually(t, condition, 10*time.Second, time.Millisecond)
	}

	done := make(chan struct{})
	l.Post(func() { // blocks the owning goroutine, so that the mailbox is not emptied
		defer close(done)
		// The next batch of events has input of the first connection and the end of the other one, in this order.
		l.mailbox.setPending(maxPendingData + 1)
		sendByte(first.peer)
		eventually(func() bool { return first.conn.unhandled.Load() == 1 })
		sendByte(first.peer)
		require.NoError(t, closed.peer.Close())
		eventually(func() bool { return closed.conn.InputState() == InputEnded })
		l.mailbox.setPending(maxPendingData)
		eventually(func() bool {
			_, err := peek(descriptor(first.conn))
			return errors.Is(err, syscall.EAGAIN) && first.conn.unhandled.Load() == 2
		})
		// The poller is between the two events. A new connection gets the number of the one that is closed.
		number := descriptor(closed.conn)
		occupyDescriptorsBelow(t, number)
		closed.conn.Close()
		connection := &Conn{loop: l, openCount: &l.open}
		l.open.Add(1)
		require.NoError(t, connection.takeOver(dialed))
		require.Equal(t, number, descriptor(connection))
		l.register(connection, func(err error) {
			require.NoError(t, err)
			connection.handler = next
		})
		time.Sleep(20 * time.Millisecond) // for a registration that does not wait for the next batch
		l.mailbox.setPending(0)
	})
	<-done
	sendByte(peer)
	received := func() (bytes int) {
		counted := make(chan int)
		l.Post(func() { counted <- next.bytes })
		return <-counted
	}
	eventually(func() bool { return received() == 1 || len(next.end) > 0 })
	require.Empty(t, next.end)
}

// A call that should wake the poller fails. The connection must be registered all the same.
func TestConnectionIsRegisteredThoughWakeFails(t *testing.T) {
	l, err := New(64)
	require.NoError(t, err)
	registered := make(chan struct{})
	l.registrar.mu.Lock()
	l.registrar.opened = append(l.registrar.opened, func() { close(registered) }) // as add does, without the call
	l.registrar.mu.Unlock()
	stop := startLoop(t, l, func() {})
	defer stop()
	select {
	case <-registered:
	case <-time.After(10 * time.Second):
		require.Fail(t, "not registered")
	}
}
