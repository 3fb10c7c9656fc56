package transport

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	handshakeTimeout = 2 * time.Second // for connecting, and again for exchanging handshakes
	readTimeout      = 2 * time.Second // for each frame, from its first byte on
	writeTimeout     = 2 * time.Second // for each frame
	smallFrame       = 4 << 10         // bytes; a larger frame is charged to a FrameBudget
	sendQueueSize    = 256             // frames; further ones are dropped
	maxIdleBuffer    = 64 << 10        // bytes; a larger write buffer is not reused
)

// Conn is a connection whose handshakes are done. Only one goroutine at a time may call Read; all other
// methods are safe for concurrent use.
type Conn struct {
	Peer      Handshake // as received from the peer
	nc        net.Conn
	reader    *bufio.Reader
	sendQueue chan Frame
	closeOnce sync.Once
	done      chan struct{}
}

// Accept exchanges handshakes on a new network connection; handshake returns the local one. If the exchange fails
// or the peer is rejected, Accept closes netConn. The caller must close the returned connection.
func Accept(netConn net.Conn, handshake func() Handshake) (*Conn, error) {
	conn := &Conn{
		nc:        netConn,
		reader:    bufio.NewReader(netConn),
		sendQueue: make(chan Frame, sendQueueSize),
		done:      make(chan struct{}),
	}
	_ = netConn.SetDeadline(time.Now().Add(handshakeTimeout))
	peer, err := exchangeHandshakes(netConn, conn.reader, handshake())
	if err != nil {
		_ = netConn.Close()
		return nil, err
	}
	conn.Peer = peer
	_ = netConn.SetDeadline(time.Time{})
	go conn.writeQueued() // until Close
	return conn, nil
}

// Dial connects to a member's TCP address and then does the same as Accept.
func Dial(address string, handshake func() Handshake) (*Conn, error) {
	netConn, err := net.DialTimeout("tcp", address, handshakeTimeout)
	if err != nil {
		return nil, err
	}
	return Accept(netConn, handshake)
}

// Send queues a frame and returns at once. The frame is lost if the queue is full or the connection is closed.
// A sender that needs a response must send again, as after any loss on the network.
func (c *Conn) Send(frame Frame) {
	select {
	case c.sendQueue <- frame:
	default:
	}
}

// writeQueued writes queued frames until the connection is closed. It closes the connection if encoding
// or writing fails.
func (c *Conn) writeQueued() {
	var buf []byte
	for {
		select {
		case <-c.done:
			return
		case frame := <-c.sendQueue:
			var err error
			buf, err = c.write(buf[:0], frame)
			if err != nil {
				c.Close()
				return
			}
		}
	}
}

// write writes one frame. It returns the buffer for the next frame, or nil if the buffer grew too large.
func (c *Conn) write(buf []byte, frame Frame) ([]byte, error) {
	buf, err := Append(buf, frame)
	if err != nil {
		return nil, err
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.nc.Write(buf); err != nil {
		return nil, err
	}
	if cap(buf) > maxIdleBuffer {
		return nil, nil
	}
	return buf, nil
}

// Read blocks until it has the next frame. On an error it closes the connection.
func (c *Conn) Read() (Frame, error) {
	frame, _, err := c.ReadWithin(nil)
	return frame, err
}

// ReadWithin is Read for one of many connections, whose larger frames together are bounded by a budget; nil: they are
// not. release must be called once the frame is not needed any more; it is never nil.
func (c *Conn) ReadWithin(budget *FrameBudget) (frame Frame, release func(), err error) {
	frame, release, err = c.readWithin(budget)
	if err != nil {
		c.Close()
	}
	return frame, release, err
}

func (c *Conn) readWithin(budget *FrameBudget) (frame Frame, release func(), err error) {
	release = func() {}
	if _, err := c.reader.Peek(1); err != nil { // for any time: the peer may have nothing to say
		return Frame{}, release, err
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(readTimeout))
	defer func() { _ = c.nc.SetReadDeadline(time.Time{}) }()
	announced, err := readHeader(c.reader)
	if err != nil {
		return Frame{}, release, err
	}
	if budget != nil && announced.length > smallFrame {
		release, err = budget.acquire(announced.length)
		if err != nil {
			return Frame{}, release, err
		}
	}
	frame, err = announced.readFrame(c.reader)
	if err != nil {
		release()
		release = func() {}
	}
	return frame, release, err
}

// Done returns a channel that is closed with the connection.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close closes the connection, ends its goroutine and drops the frames that are still queued. It may be called
// more than once.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.nc.Close()
	})
}
