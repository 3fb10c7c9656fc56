package eventloop

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"syscall"

	"github.com/lesismal/nbio"
)

const (
	// readSize is how many bytes are read from a socket at once.
	readSize = 16 << 10
	// maxClientReads is how often a client's connection is read before another has its turn.
	maxClientReads = 4
)

// register passes a connection to the poller. The handler must be set before, and it runs on the
// owning goroutine.
func (l *Loop) register(nc net.Conn, c *Conn) error {
	socket, err := nbio.NBConn(nc)
	if err != nil {
		_ = nc.Close()
		c.release()
		return err
	}
	c.socket = socket
	socket.SetSession(c)
	if err := socket.SetNoDelay(true); err != nil {
		slog.Debug("no TCP_NODELAY", "err", err)
	}
	if _, err := l.engine.AddConn(socket); err != nil {
		c.release() // nbio has closed it, but does not always report that
		return err
	}
	return nil
}

// read takes what a connection holds; the poller calls it. The poller's own reading closes behind a
// few pieces as soon as the end has come, whatever is left, and calls a reset an orderly end; a
// response whose length its end gives would pass for complete where it was cut short. So what a
// server sends is read up to its end or to nothing; its handler closes what sends too much. A client
// may have a few pieces at a time.
func (l *Loop) read(nc *nbio.Conn) {
	c := nc.Session().(*Conn)
	l.mailbox.mu.Lock() // makes the fields of a new connection visible here
	c.unhandled.Add(1)  // what is read here is neither in the kernel nor in the mailbox
	l.mailbox.mu.Unlock()
	defer c.unhandled.Add(-1)
	for reads := 1; ; reads++ {
		n, err := nc.Read(l.readBuffer)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return
		case err == nil && n == 0:
			err = errPeerClosed
		}
		if err != nil {
			_ = nc.CloseWithError(err)
			return
		}
		l.mailbox.postData(c, l.readBuffer[:n])
		emptied := n < len(l.readBuffer)
		if !c.dialed && (emptied || reads >= maxClientReads) {
			return
		}
	}
}

// connectionClosed posts the end of a connection; the poller calls it.
func (l *Loop) connectionClosed(nc *nbio.Conn, err error) {
	if errors.Is(err, errPeerClosed) {
		err = io.EOF
	} else if errors.Is(err, io.EOF) {
		err = errBroken
	}
	c, ok := nc.Session().(*Conn)
	if !ok {
		return
	}
	l.mailbox.mu.Lock() // as in read
	c.peerClosed.Store(true)
	l.mailbox.mu.Unlock()
	// That a client has left is handled first after a stall; what a server sent before its end counts.
	l.mailbox.post(message{prioritized: !c.dialed, f: func() {
		c.release()
		c.reportClosed(err)
	}})
}
