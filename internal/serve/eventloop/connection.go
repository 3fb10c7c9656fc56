package eventloop

import (
	"errors"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// Handler receives the events of one connection on the owning goroutine.
type Handler interface {
	// Data receives bytes in the order in which they were sent. The buffer is reused after the
	// call.
	Data(data []byte)
	// Closed is called at most once, after all Data, and not after Conn.Close. err is io.EOF if the
	// peer closed the connection in an orderly way. On a dialed connection, Data has then received
	// everything that the peer sent; on a client's connection, data that arrived during a stall may
	// be missing.
	Closed(err error)
}

// Conn is a TCP connection. Its methods must be called on the owning goroutine.
type Conn struct {
	loop        *Loop
	socket      *nbio.Conn
	handler     Handler
	openCount   *atomic.Int64 // counter that includes the connection while it is open; nil once released
	queuedBytes int64         // total passed to Write
	closed      bool          // Close or Handler.Closed was called
	dialed      bool          // opened by this process to a server, whose close may delimit a response

	waitingSince time.Time // earliest time at which it came into the accept queue; zero: accepted at once

	writtenBytes atomic.Int64 // total that the kernel has accepted
	unhandled    atomic.Int32 // reads in progress, and pieces of data that the handler has not received yet
	queued       atomic.Int32 // of these, the pieces of data
	discardInput atomic.Bool  // further input is discarded
	prioritized  atomic.Bool  // its data is handled first after a stall
	peerClosed   atomic.Bool  // the poller has seen the end of the connection
}

// Write sends data; what the kernel does not accept at once is queued and sent later. An error
// means that the connection is closed. Unless Close was called, Handler.Closed reports that, too.
func (c *Conn) Write(data []byte) error {
	if c.closed {
		return net.ErrClosed
	}
	c.queuedBytes += int64(len(data))
	_, err := c.socket.Write(data)
	return err
}

// Prioritize makes the loop handle the connection's data before other messages after a stall.
func (c *Conn) Prioritize() { c.prioritized.Store(true) }

// DiscardInput makes the loop discard all further input when it is read.
func (c *Conn) DiscardInput() { c.discardInput.Store(true) }

// InputState says what is behind the input that the handler has received.
type InputState uint8

// The states of a connection's input.
const (
	InputNone  InputState = iota // nothing yet
	InputWaits                   // more input, and possibly the peer's close behind it
	InputEnded                   // the peer has closed or broken the connection, or Close was called
)

// InputState returns the state of the input, even if Handler.Closed has not been called yet or the
// poller has not read the input or the close.
func (c *Conn) InputState() InputState {
	switch {
	case c.peerClosed.Load():
		return InputEnded
	case c.queued.Load() > 0:
		return InputWaits
	}
	state := InputEnded
	valid := c.useDescriptor(func(fd int) {
		size, err := peek(fd)
		switch {
		case err == nil && size > 0:
			state = InputWaits
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
			state = InputNone
		}
	})
	if !valid {
		return InputEnded
	}
	return state
}

// InputEmpty reports whether the connection is open and no input waits to be handled: neither in
// the kernel nor between the poller and the handler. Bytes move from the kernel to the handler, so
// checking the kernel first cannot miss any.
func (c *Conn) InputEmpty() bool {
	if c.closed {
		return false
	}
	empty := false
	valid := c.useDescriptor(func(fd int) {
		_, err := peek(fd)
		empty = errors.Is(err, syscall.EAGAIN)
	})
	return valid && empty && c.unhandled.Load() == 0
}

// peek returns 1 if input waits in the kernel, 0 if the peer has closed the connection, and EAGAIN if
// neither is the case.
func peek(fd int) (size int, err error) {
	var one [1]byte
	size, _, err = syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return size, err
}

// UnsentBytes returns the number of bytes passed to Write that the kernel has not accepted yet.
func (c *Conn) UnsentBytes() int64 { return c.queuedBytes - c.writtenBytes.Load() }

// RemoteAddress returns the peer's IP address and port, for the log.
func (c *Conn) RemoteAddress() string { return c.socket.RemoteAddr().String() }

// Close closes the connection. The handler is not called again.
func (c *Conn) Close() {
	if !c.closed {
		c.closed = true
		_ = c.socket.Close()
	}
}

// CloseWrite closes the sending side only, so that a peer that is still sending receives what was
// sent to it: closing a socket with unread bytes sends a reset, which discards data in transit.
func (c *Conn) CloseWrite() {
	if c.closed {
		return
	}
	c.useDescriptor(func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) })
}

// useDescriptor calls use with the descriptor, unless the connection has been closed: the kernel
// may have reused the number for another connection by then. If it returns false, the connection is
// closed, and what use found out may be about another connection.
func (c *Conn) useDescriptor(use func(fd int)) (valid bool) {
	if c.socketClosed() {
		return false
	}
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) { use(int(fd)) })
	return err == nil && !c.socketClosed()
}

// socketClosed reports whether nbio has closed the connection. nbio sets this before it closes the
// descriptor, and calls connectionClosed only later.
func (c *Conn) socketClosed() bool {
	closed, _ := c.socket.IsClosed()
	return closed
}

// deliver passes data to the handler. A panic in the handler closes this connection only.
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

// reportClosed calls Handler.Closed, unless the connection is already closed or has no handler yet.
func (c *Conn) reportClosed(err error) {
	if c.closed {
		return
	}
	c.closed = true
	if c.handler != nil {
		c.handler.Closed(err)
	}
}

// release removes the connection from the count of open ones. Only the first call has an effect.
func (c *Conn) release() {
	if c.openCount != nil {
		c.openCount.Add(-1)
		c.openCount = nil
	}
}
