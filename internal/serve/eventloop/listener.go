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
	// limitRetry is the time after which a listener at its limit looks for room again.
	limitRetry = 5 * time.Millisecond
	// clientShareQuarters is the part of the descriptor limit, in quarters, up to which clients are
	// accepted. The rest is kept for connections to servers.
	clientShareQuarters = 3
	// acceptRetry is the time after which a failed accept is repeated.
	acceptRetry = 20 * time.Millisecond
)

// Listener accepts connections. ClientListener and AdminListener make it. All methods are for one
// goroutine at a time, but for Accepting and Stop, which any may call.
type Listener struct {
	loop       *Loop
	newHandler func(*Conn) Handler
	open       *atomic.Int64 // where its connections are counted
	limit      func() int64  // no more are accepted while so many are open
	shed       func()        // called at the limit; closes what can be spared

	mu       sync.Mutex
	file     *os.File     // a socket that other processes hold, too; nil: its own
	listener net.Listener // nil: not accepting
	address  string
}

// ClientListener returns a listener for clients: its connections count toward the loop's descriptor
// limit, of which a part is kept for connections to servers. A client that is accepted but not
// served is worse off than one that waits in the listener's queue.
func (l *Loop) ClientListener(newHandler func(*Conn) Handler) *Listener {
	return &Listener{
		loop:       l,
		newHandler: newHandler,
		open:       &l.open,
		limit:      func() int64 { return l.descriptorLimit.Load() * clientShareQuarters / 4 },
		shed:       func() { l.ShedClients() },
	}
}

// AdminListener returns a listener whose connections are counted on their own; shed has to close one
// when maxConnections are open.
func (l *Loop) AdminListener(maxConnections int, newHandler func(*Conn) Handler, shed func()) *Listener {
	return &Listener{
		loop:       l,
		newHandler: newHandler,
		open:       new(atomic.Int64),
		limit:      func() int64 { return int64(maxConnections) },
		shed:       shed,
	}
}

// Listen binds an IP address and port, and accepts.
func (l *Listener) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.start(listener)
	return nil
}

// Inherit takes over a listening socket, which other processes may hold as well. It does not accept
// yet.
func (l *Listener) Inherit(fd int) error {
	file := os.NewFile(uintptr(fd), "inherited listener")
	listener, err := net.FileListener(file) // fails if fd is no descriptor: file is nil then
	if err != nil {
		return err
	}
	l.file = file
	l.address = listener.Addr().String()
	return listener.Close()
}

// SetAccepting accepts from an inherited socket, or leaves it to its other holders: connections wait
// in the kernel until one of them accepts them.
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

// Accepting reports whether connections are accepted.
func (l *Listener) Accepting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener != nil
}

// Addr returns the address of the socket, "" before Listen or Inherit.
func (l *Listener) Addr() string { return l.address }

// Stop ends accepting. A connection that has been accepted still gets its handler.
func (l *Listener) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
}

func (l *Listener) start(listener net.Listener) {
	l.mu.Lock()
	l.listener = listener
	l.address = listener.Addr().String()
	l.mu.Unlock()
	// Owned by the Listener; it ends once Stop has closed the socket.
	go l.acceptAll(listener)
}

// acceptAll accepts connections until the socket is closed.
func (l *Listener) acceptAll(listener net.Listener) {
	for {
		for l.open.Load() >= l.limit() {
			l.loop.Post(l.shed)
			time.Sleep(limitRetry)
		}
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, most likely: others must close first
			slog.Warn("accept failed", "err", err)
			l.loop.Post(l.shed)
			time.Sleep(acceptRetry)
			continue
		}
		l.handOff(accepted)
	}
}

// handOff passes an accepted connection to the owning goroutine.
func (l *Listener) handOff(accepted net.Conn) {
	l.open.Add(1)
	connection := &Conn{openCount: l.open}
	l.loop.Post(func() {
		connection.handler = l.newHandler(connection)
		if err := l.loop.register(accepted, connection); err != nil {
			slog.Warn("connection registration failed", "err", err)
			connection.reportClosed(err)
		}
	})
}
