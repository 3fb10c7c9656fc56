package eventloop

import (
	"errors"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
)

// Handler receives what happens on a connection, on the owning goroutine.
type Handler interface {
	// Data receives bytes in their order. The buffer is used again after the call.
	Data(data []byte)
	// Closed is called at most once, after all Data. err is io.EOF if the peer has closed the
	// connection in order; then Data has received all that it sent. It is not called after Conn.Close.
	Closed(err error)
}

// Conn is one connection. All methods are for the owning goroutine.
type Conn struct {
	socket      *nbio.Conn
	handler     Handler
	openCount   *atomic.Int64 // where it is counted as open; nil once released
	queuedBytes int64         // passed to Write
	closed      bool          // by Close, or Closed was called
	dialed      bool          // to a server, whose close may be the end of a response

	writtenBytes atomic.Int64 // that the kernel has taken
	unhandled    atomic.Int32 // pieces of data on their way to the handler
	discardInput atomic.Bool  // what still arrives is discarded
	prioritized  atomic.Bool  // handled before others after a stall

	descriptorMutex sync.Mutex  // held while the descriptor is used beside the poller
	descriptorGone  bool        // it is about to be closed, and its number may then be another connection's
	peerClosed      atomic.Bool // or broke it; Handler.Closed may be still to come
}

// Write sends data; what the kernel does not take at once follows later. An error means that the
// connection is gone, which is reported by Handler.Closed, too.
func (c *Conn) Write(data []byte) error {
	if c.closed {
		return net.ErrClosed
	}
	c.queuedBytes += int64(len(data))
	_, err := c.socket.Write(data)
	return err
}

// Prioritize makes the loop handle what comes on the connection before anything else after a stall.
func (c *Conn) Prioritize() { c.prioritized.Store(true) }

// DiscardInput discards whatever the peer still sends, as it is read.
func (c *Conn) DiscardInput() { c.discardInput.Store(true) }

// PeerClosed reports whether the peer has closed or broken the connection, also where
// Handler.Closed was not called yet.
func (c *Conn) PeerClosed() bool { return c.peerClosed.Load() }

// InputEmpty reports whether nothing from the peer waits to be handled: neither in the kernel nor on
// its way to the handler, looked at in the order in which bytes come.
func (c *Conn) InputEmpty() bool {
	if c.closed {
		return false
	}
	empty := false
	c.useDescriptor(func(fd int) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
	})
	return empty && c.unhandled.Load() == 0
}

// UnsentBytes returns the number of bytes that the kernel has not taken yet.
func (c *Conn) UnsentBytes() int64 { return c.queuedBytes - c.writtenBytes.Load() }

// Close ends the connection. The handler is not called again.
func (c *Conn) Close() {
	if !c.closed {
		c.closed = true
		_ = c.socket.Close()
	}
}

// CloseWrite closes the sending side alone, so that the peer receives what was sent even if it is
// still sending: closing a socket with unread bytes is a reset, which discards what is on its way.
func (c *Conn) CloseWrite() {
	if c.closed {
		return
	}
	c.useDescriptor(func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) })
}

// useDescriptor calls use with the descriptor, unless the poller has closed the connection: its number may
// belong to another one by then.
func (c *Conn) useDescriptor(use func(fd int)) {
	c.descriptorMutex.Lock()
	defer c.descriptorMutex.Unlock()
	if c.descriptorGone {
		return
	}
	if raw, err := c.socket.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { use(int(fd)) })
	}
}

// releaseDescriptor ends the use of the descriptor. nbio reports a close before it closes the descriptor.
func (c *Conn) releaseDescriptor() {
	c.descriptorMutex.Lock()
	c.descriptorGone = true
	c.descriptorMutex.Unlock()
}

// deliver passes data to the handler. A panic ends this connection and no other.
func (c *Conn) deliver(data []byte) {
	if c.closed {
		return
	}
	defer func() {
		if cause := recover(); cause != nil {
			slog.Error("connection handler panic", "panic", cause, "stack", string(debug.Stack()))
			_ = c.socket.Close()
		}
	}()
	c.handler.Data(data)
}

// reportClosed tells the handler that the connection has ended, once.
func (c *Conn) reportClosed(err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.handler.Closed(err)
}

// release takes the connection out of the count of open ones, once however it ended.
func (c *Conn) release() {
	if c.openCount != nil {
		c.openCount.Add(-1)
		c.openCount = nil
	}
}
