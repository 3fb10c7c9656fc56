package eventloop

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

const (
	// readSize is the maximum number of bytes per read from a socket.
	readSize = 16 << 10
	// maxClientReads is the maximum number of reads from a client's connection before other
	// connections get their turn.
	maxClientReads = 4
	// shortageRetry is the delay before the poller goes on after a read that failed for lack of memory.
	shortageRetry = time.Millisecond
)

// takeOver gives the connection the socket of an established one, which it closes. After an error, that one is still
// open.
func (c *Conn) takeOver(established net.Conn) error {
	socket, err := nbio.NBConn(established)
	if err != nil {
		return err
	}
	c.socket = socket
	return nil
}

// register passes a connection that has taken over a socket to the poller. Then it calls registered on the owning
// goroutine, before any event of the connection: that sets the handler, unless there is an error.
func (l *Loop) register(connection *Conn, registered func(error)) {
	socket := connection.socket
	socket.SetSession(connection)
	if err := socket.SetNoDelay(true); err != nil {
		slog.Debug("no TCP_NODELAY", "err", err)
	}
	l.registrar.add(func() {
		_, err := l.engine.AddConn(socket)
		l.Post(func() {
			if err == nil && connection.closed { // a close is handled first after a stall
				err = errPeerClosed
			}
			if err != nil {
				connection.closed = true
				connection.release() // nbio has closed the connection, but does not always report that
			}
			registered(err)
		})
	})
}

// read reads the available input of a connection. The poller calls it in place of nbio's own
// reading, which has two faults. Once the peer has closed a connection, nbio closes it after a few
// reads, even if more data is left. And nbio reports a reset as an orderly close. In both cases a
// truncated response that is delimited by the close would be taken as complete. A connection to a
// server is therefore read until it is empty or has ended; its handler must close it if the server
// sends too much. A client's connection is read at most maxClientReads times before others get
// their turn.
func (l *Loop) read(socket *nbio.Conn) {
	if registrar, woken := socket.Session().(*registrar); woken {
		registrar.run()
		return
	}
	connection := socket.Session().(*Conn)
	l.mailbox.mu.Lock()         // makes the fields of a new connection visible to the poller
	connection.unhandled.Add(1) // data being read is neither in the kernel nor in the mailbox
	l.mailbox.mu.Unlock()
	defer connection.unhandled.Add(-1)
	for reads := 1; ; reads++ {
		l.reads.Add(1)
		size, err := socket.Read(l.readBuffer)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return
		case isShortage(err): // the poller reports the connection as readable again
			time.Sleep(shortageRetry)
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

// connectionClosed posts the end of a connection to the owning goroutine. nbio calls it.
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
	l.mailbox.mu.Lock() // makes the fields of a new connection visible here, as in read
	connection.peerClosed.Store(true)
	l.mailbox.mu.Unlock()
	// After a stall, the close of a client's connection is handled first. The close of a connection
	// to a server is not, because the data that the server sent before it still counts.
	l.mailbox.post(message{prioritized: !connection.dialed, call: func() {
		connection.release()
		connection.reportClosed(err)
	}})
}
