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
func (l *Loop) register(accepted net.Conn, connection *Conn) error {
	socket, err := nbio.NBConn(accepted)
	if err != nil {
		_ = accepted.Close()
		connection.release()
		return err
	}
	connection.socket = socket
	socket.SetSession(connection)
	if err := socket.SetNoDelay(true); err != nil {
		slog.Debug("no TCP_NODELAY", "err", err)
	}
	if _, err := l.engine.AddConn(socket); err != nil {
		connection.release() // nbio has closed it, but does not always report that
		return err
	}
	return nil
}

// read reads what a connection holds; the poller calls it. It replaces nbio's own reading, which has
// two faults: it closes a connection after a few reads once the peer has closed it, even if more data
// is left, and it reports a reset as an orderly end. A response that is delimited by the end of the
// connection would then pass for complete although it was cut short. So a connection to a server is
// read until it is empty or has ended; its handler closes one that sends too much. A client's
// connection is read maxClientReads times, and then others have their turn.
func (l *Loop) read(socket *nbio.Conn) {
	connection := socket.Session().(*Conn)
	l.mailbox.mu.Lock()         // makes the fields of a new connection visible here
	connection.unhandled.Add(1) // what is read here is neither in the kernel nor in the mailbox
	l.mailbox.mu.Unlock()
	defer connection.unhandled.Add(-1)
	for reads := 1; ; reads++ {
		size, err := socket.Read(l.readBuffer)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return
		case err == nil && size == 0:
			err = errPeerClosed
		}
		if err != nil {
			_ = socket.CloseWithError(err)
			return
		}
		l.mailbox.postData(connection, l.readBuffer[:size])
		emptied := size < len(l.readBuffer)
		if !connection.dialed && (emptied || reads >= maxClientReads) {
			return
		}
	}
}

// connectionClosed posts the end of a connection; the poller calls it.
func (l *Loop) connectionClosed(socket *nbio.Conn, err error) {
	if errors.Is(err, errPeerClosed) {
		err = io.EOF
	} else if errors.Is(err, io.EOF) {
		err = errBroken
	}
	connection, ok := socket.Session().(*Conn)
	if !ok {
		return
	}
	connection.releaseDescriptor()
	l.mailbox.mu.Lock() // as in read
	connection.peerClosed.Store(true)
	l.mailbox.mu.Unlock()
	// That a client has left is handled first after a stall; what a server sent before its end counts.
	l.mailbox.post(message{prioritized: !connection.dialed, call: func() {
		connection.release()
		connection.reportClosed(err)
	}})
}
