package transport

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	handshakeTimeout = 2 * time.Second // for connecting, and again for the handshakes
	writeTimeout     = 2 * time.Second // for each frame
	sendQueueSize    = 256             // frames that wait to be written; more are dropped
	maxIdleBuffer    = 64 << 10        // bytes; a larger write buffer is not reused
)

// Conn is a connection after its handshakes. Read may be called from one goroutine at a time, all
// other methods from any.
type Conn struct {
	Peer      Handshake // of the other side
	nc        net.Conn
	reader    *bufio.Reader
	sendQueue chan Frame
	closeOnce sync.Once
	done      chan struct{}
}

// Accept exchanges the handshakes on a new network connection, and closes it if the peer is rejected.
// handshake returns the local one. The caller has to close the returned connection.
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

// Dial connects to the member that listens at a TCP address, and exchanges the handshakes as Accept does.
func Dial(address string, handshake func() Handshake) (*Conn, error) {
	netConn, err := net.DialTimeout("tcp", address, handshakeTimeout)
	if err != nil {
		return nil, err
	}
	return Accept(netConn, handshake)
}

// Send queues a frame and returns at once. It drops the frame if the queue is full or the connection is
// closed: as with any loss on the network, senders that need a response send again.
func (c *Conn) Send(frame Frame) {
	select {
	case c.sendQueue <- frame:
	default:
	}
}

// writeQueued writes queued frames until the connection is closed, and closes it if it cannot write.
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

// write writes one frame, and returns the buffer for the next.
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

// Read returns the next frame. It closes the connection if it returns an error.
func (c *Conn) Read() (Frame, error) {
	frame, err := Read(c.reader)
	if err != nil {
		c.Close()
	}
	return frame, err
}

// Done returns a channel that is closed when the connection is.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close closes the connection and ends its goroutine. Frames that are still queued are dropped. It may be
// called more than once.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.nc.Close()
	})
}
