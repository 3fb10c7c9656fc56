package eventloop

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// limitRetry is the interval at which a listener at its limit checks whether it may accept
	// again.
	limitRetry = 5 * time.Millisecond
	// clientShareQuarters is the part of the descriptor limit, in quarters, up to which clients are
	// accepted. The rest is kept for connections to servers.
	clientShareQuarters = 3
	// acceptRetry is the delay before a failed accept or takeover is retried.
	acceptRetry = 20 * time.Millisecond
	// maxTakeoverTime is how long an accepted connection may wait for its second descriptor.
	maxTakeoverTime = time.Second
)

// Listener accepts connections. ClientListener and AdminListener create it. Its methods must not be
// called concurrently, except Accepting, QueueTime and Stop, which any goroutine may call.
type Listener struct {
	loop       *Loop
	newHandler func(*Conn) Handler
	open       *atomic.Int64 // counter of open connections: the loop's or the listener's own
	limit      func() int64  // nothing is accepted while open has reached it
	shed       func()        // closes connections that can be spared; called at the limit and after a failed accept

	mu        sync.Mutex
	file      *os.File     // inherited socket, which other processes hold, too; nil: not inherited
	queue     *acceptQueue // of the listening socket; nil: not accepting
	stoppedAt time.Time    // when Stop was called, or Inherit; zero: neither was
	address   string
}

// ClientListener returns a listener for clients. Its connections count toward the loop's descriptor
// limit. When connections to clients and servers together use three quarters of the limit
// (clientShareQuarters), the listener leaves new clients in the accept queue: a client that is
// accepted but not served is worse off than one that waits there.
func (l *Loop) ClientListener(newHandler func(*Conn) Handler) *Listener {
	return &Listener{
		loop:       l,
		newHandler: newHandler,
		open:       &l.open,
		limit:      func() int64 { return clientLimit(l.descriptorLimit.Load()) },
		shed:       func() { l.ShedClients() },
	}
}

// clientLimit returns the number of open connections up to which clients are accepted.
func clientLimit(descriptorLimit int64) int64 { return descriptorLimit * clientShareQuarters / 4 }

// AdminListener returns a listener whose connections are counted separately. shed must close one of
// them when maxConnections are open.
func (l *Loop) AdminListener(maxConnections int, newHandler func(*Conn) Handler, shed func()) *Listener {
	return &Listener{
		loop:       l,
		newHandler: newHandler,
		open:       new(atomic.Int64),
		limit:      func() int64 { return int64(maxConnections) },
		shed:       shed,
	}
}

// Listen binds to an IP address and port, and starts accepting.
func (l *Listener) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.start(listener)
	return nil
}

// Inherit takes over a listening socket, which other processes may hold as well. It does not start
// accepting.
func (l *Listener) Inherit(fd int) error {
	file := os.NewFile(uintptr(fd), "inherited listener")
	listener, err := net.FileListener(file) // fails unless fd is an open socket; fd is not negative (see config)
	if err != nil {
		return err
	}
	l.file = file
	l.stoppedAt = time.Now()
	l.address = listener.Addr().String()
	return listener.Close()
}

// SetAccepting starts or stops accepting from an inherited socket. Connections wait in the kernel
// until a process that holds the socket accepts them.
func (l *Listener) SetAccepting(accept bool) error {
	if !accept {
		l.Stop()
		return nil
	}
	if l.Accepting() {
		return nil
	}
	listener, err := net.FileListener(l.file)
	if err != nil {
		return err
	}
	l.start(listener)
	return nil
}

// Accepting reports whether the listener was started and has not been stopped since.
func (l *Listener) Accepting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue != nil
}

// QueueTime returns for how long clients may have been waiting in the accept queue. It is 0 if every client is accepted
// as soon as it connects, and while the listener does not accept.
func (l *Listener) QueueTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue == nil {
		return 0
	}
	return l.queue.waitingTime()
}

// Addr returns the address of the socket, or "" before Listen or Inherit.
func (l *Listener) Addr() string { return l.address }

// Stop ends accepting. Connections that were accepted before still get their handlers.
func (l *Listener) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue != nil {
		_ = l.queue.listener.Close()
		l.queue = nil
		l.stoppedAt = time.Now()
	}
}

func (l *Listener) start(listener net.Listener) {
	l.mu.Lock()
	l.address = listener.Addr().String()
	queue := &acceptQueue{listener: listener, waitingSince: l.stoppedAt}
	l.queue = queue
	l.mu.Unlock()
	// Owned by the Listener; ends once Stop has closed the socket and open is below the limit.
	go l.acceptAll(queue)
}

// acceptAll accepts connections until the socket is closed. While open is at the limit, acceptAll
// sheds and waits, even after the close.
func (l *Listener) acceptAll(queue *acceptQueue) {
	for {
		for l.open.Load() >= l.limit() {
			queue.pause()
			l.loop.Post(l.shed)
			time.Sleep(limitRetry)
		}
		queue.resume()
		accepted, err := queue.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // most likely out of descriptors: other connections must close first
			slog.Warn("accept failed", "err", err)
			queue.pause()
			l.loop.Post(l.shed)
			time.Sleep(acceptRetry)
			continue
		}
		l.handOff(accepted, queue.since())
	}
}

// handOff passes an accepted connection to the owning goroutine. waitingSince is that of the accept queue.
func (l *Listener) handOff(accepted net.Conn, waitingSince time.Time) {
	l.open.Add(1)
	connection := &Conn{loop: l.loop, openCount: l.open, waitingSince: waitingSince}
	acceptedAt := time.Now()
	l.loop.Post(func() { l.register(accepted, connection, acceptedAt) })
}

// register passes an accepted connection to the poller. During a shortage on this machine it tries again for
// maxTakeoverTime: the client may have sent a request, which a close would lose.
func (l *Listener) register(accepted net.Conn, connection *Conn, acceptedAt time.Time) {
	err := connection.takeOver(accepted)
	if err != nil && IsLocal(err) && time.Since(acceptedAt) < maxTakeoverTime {
		if connection.waitingSince.IsZero() {
			connection.waitingSince = acceptedAt
		}
		time.AfterFunc(acceptRetry, func() {
			l.loop.Post(func() { l.register(accepted, connection, acceptedAt) })
		})
		return
	}
	if err != nil {
		slog.Warn("connection takeover failed", "err", err)
		_ = accepted.Close()
		connection.release()
		return
	}
	l.loop.register(connection, func(err error) {
		if err == nil {
			connection.handler = l.newHandler(connection)
		} else if !errors.Is(err, errPeerClosed) {
			slog.Warn("connection registration failed", "err", err)
		}
	})
}
