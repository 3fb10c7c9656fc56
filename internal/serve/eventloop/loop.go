// Package eventloop holds the program's TCP sockets: it runs nbio's engine and hands
// whatever happens on a socket to one goroutine, which owns all state.
package eventloop

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

// ReservedDescriptors is the number of descriptors that are not handed out: standard
// streams, pollers, the listener, and the second descriptor that a connection
// has for a moment while nbio takes it over.
const ReservedDescriptors = 32

// ErrDescriptorsExhausted says that the descriptor budget is spent.
var ErrDescriptorsExhausted = errors.New("descriptor budget is spent")

// errEnd is an end in order that was read; the poller's own word for any end is io.EOF, also where a
// reset has come and nothing is left to be read. errUnread is told then.
var errEnd, errUnread = errors.New("end of the connection"), errors.New("the connection broke")

// Handler is told what happens on a connection, on the owning goroutine. The
// data is only lent: the buffer is used again after the call. Closed gets io.EOF if the
// peer has ended in order; where we called it, all that it sent has gone before.
type Handler interface {
	Data(data []byte)
	Closed(err error)
}

const (
	// readSize is how much is read from a socket at once.
	readSize = 16 << 10
	// readTimes is how often a client's connection is read before another has its turn.
	readTimes = 4
	// mostMail bounds the bytes that were read and not yet looked at. Beyond it
	// the poller waits, and so do the peers: a few that send at full speed must
	// not fill the memory.
	mostMail = 256 << 10
)

// Conn is one connection. All methods are for the owning goroutine.
type Conn struct {
	nb      *nbio.Conn
	handler Handler
	count   *atomic.Int64 // where it is counted as open; nil: no more
	queued  int64
	written atomic.Int64 // bytes that the kernel has taken
	unread  atomic.Int32 // pieces of data on their way to the handler
	deaf    atomic.Bool  // what still comes is thrown away
	first   atomic.Bool  // heard before others after a stall
	over    atomic.Bool  // the peer has ended or broken it, which the handler may not have heard yet
	dialled bool         // to a server: where its sending ends may say where an answer does
	closed  bool
}

// stall is how long the loop may take over what it has without that counting: answers may be as
// late as this.
const stall = 40 * time.Millisecond

// After a stall what connections that go first say, and that clients have left, is heard before the
// rest and before time goes on. Word that a server leaves must not be behind a request that would be
// sent to it: the time given for that may be over. After a stall of LongStall all that waits in the
// sockets is read for readFor before; the protocol has a slack of half as much on every time limit.
const (
	LongStallThreshold = 100 * time.Millisecond
	readFor            = 20 * time.Millisecond
)

// mail is one thing that has happened: f, or else data on a connection.
type mail struct {
	f     func()
	conn  *Conn
	data  *[]byte
	first bool // of f: heard before others after a stall
}

// Loop runs the sockets.
type Loop struct {
	// Shed is called when descriptors are short; it should close what can be
	// spared, for a new client or for a connection to a feed server.
	Shed func(client bool)
	// Stalled is called when nothing was looked at for longer than stall, before what came
	// meanwhile is: it may have been waiting for so long.
	Stalled func(gap time.Duration)

	nb      *nbio.Engine
	mu      sync.Mutex
	room    *sync.Cond // mail has been looked at
	mail    []mail
	bytes   int // of the data in mail
	wake    chan struct{}
	buffers sync.Pool
	buf     []byte // the poller's, to read into
	open    atomic.Int64
	budget  atomic.Int64
}

var prepared struct {
	sync.Mutex
	most int
}

// prepare sets what nbio has for all engines of a process. It keeps a table by descriptor number and
// refuses what lies beyond it; the budget is kept here, the table only has to be large enough.
func prepare(sockets int) {
	prepared.Lock()
	defer prepared.Unlock()
	if prepared.most == 0 {
		logging.SetLevel(logging.LevelNone) // what matters of nbio's log is logged here
	}
	if most := max(4*sockets, 1<<14); most > prepared.most {
		prepared.most, nbio.MaxOpenFiles = most, most
	}
}

// New starts an engine that holds at most sockets descriptors, those of listeners of their own
// count not included.
func New(sockets int) (*Loop, error) {
	prepare(sockets)
	e := &Loop{
		wake: make(chan struct{}, 1), buf: make([]byte, readSize), Shed: func(bool) {}, Stalled: func(time.Duration) {},
		buffers: sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }},
		nb: nbio.NewEngine(nbio.Config{
			Name: "piernotch", NPoller: 1, ReadBufferSize: readSize, MaxWriteBufferSize: 512 << 10,
		}),
	}
	e.room = sync.NewCond(&e.mu)
	e.SetDescriptorLimit(sockets)
	e.nb.OnOpen(func(*nbio.Conn) {})
	e.nb.OnRead(e.read)
	e.nb.OnClose(func(nc *nbio.Conn, err error) {
		switch err {
		case errEnd:
			err = io.EOF
		case io.EOF:
			err = errUnread
		}
		if c, ok := nc.Session().(*Conn); ok {
			e.mu.Lock() // as in read
			c.over.Store(true)
			e.mu.Unlock()
			e.post(mail{first: !c.dialled, f: func() { // what a server said before its end counts
				e.release(c)
				c.ended(err)
			}})
		}
	})
	e.nb.OnWrittenSize(func(nc *nbio.Conn, _ []byte, n int) {
		if c, ok := nc.Session().(*Conn); ok {
			c.written.Add(int64(n))
		}
	})
	if err := e.nb.Start(); err != nil {
		return nil, fmt.Errorf("start of the socket engine: %w", err)
	}
	return e, nil
}

// Run serves events until the context ends. tick is called once a period.
func (e *Loop) Run(ctx context.Context, period time.Duration, tick func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	var batch []mail
	looked := time.Now()
	for {
		ticked := false
		select {
		case <-e.wake:
		case <-ticker.C:
			ticked = true
		case <-ctx.Done():
			return
		}
		now := time.Now()
		gap := now.Sub(looked)
		stalled := gap > stall
		looked = now
		if stalled {
			guard(func() { e.Stalled(gap) })
		} else if ticked {
			guard(tick)
		}
		if gap > LongStallThreshold {
			time.Sleep(readFor)
		}
		e.mu.Lock()
		batch, e.mail = e.mail, batch[:0]
		e.bytes = 0
		e.mu.Unlock()
		e.room.Signal()
		if stalled { // what one server said stays in order
			slices.SortStableFunc(batch, func(a, b mail) int { return cmp.Compare(b.rank(), a.rank()) })
		}
		for i := range batch {
			e.serve(batch[i])
			batch[i] = mail{} // kept until the next batch otherwise
		}
		if stalled {
			guard(tick)
		}
	}
}

// rank is 1 for what goes first.
func (m mail) rank() int {
	if m.first || m.conn != nil && m.conn.first.Load() {
		return 1
	}
	return 0
}

func (e *Loop) serve(m mail) {
	if m.conn == nil {
		guard(m.f)
		return
	}
	m.conn.unread.Add(-1)
	m.conn.deliver(*m.data)
	e.buffers.Put(m.data)
}

// arrived takes what the poller has read, whose buffer it uses again.
func (e *Loop) arrived(c *Conn, data []byte) {
	e.mu.Lock()
	for e.bytes > mostMail {
		e.room.Wait()
	}
	if !c.deaf.Load() {
		kept := e.buffers.Get().(*[]byte)
		*kept = append((*kept)[:0], data...)
		c.unread.Add(1)
		e.bytes += len(data)
		e.mail = append(e.mail, mail{conn: c, data: kept})
	}
	e.mu.Unlock()
	e.nudge()
}

// read takes what a connection holds. The poller's own reading closes behind a few pieces as soon as
// the end has come, whatever is left, and calls a reset an end in order; an answer whose length its end
// gives would pass for whole where it was cut short. So what a server sends is read up to its end or to
// nothing; its reader closes what sends too much. A client may have a few pieces at a time.
func (e *Loop) read(nc *nbio.Conn) {
	c := nc.Session().(*Conn)
	e.mu.Lock()     // which makes a new connection's fields visible here
	c.unread.Add(1) // what is read here is neither in the kernel nor in the mailbox
	e.mu.Unlock()
	defer c.unread.Add(-1)
	for i := 1; ; i++ {
		n, err := nc.Read(e.buf)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return
		case err == nil && n == 0:
			err = errEnd
		}
		if err != nil {
			_ = nc.CloseWithError(err)
			return
		}
		e.arrived(c, e.buf[:n])
		if !c.dialled && (n < len(e.buf) || i >= readTimes) {
			return
		}
	}
}

func (e *Loop) nudge() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// guard keeps a panic in one event from ending the program.
func guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("event handler panic", "panic", p, "stack", string(debug.Stack()))
		}
	}()
	f()
}

// Post has f run on the owning goroutine, after what has come before it. It never
// blocks and may be called from any goroutine.
func (e *Loop) Post(f func()) { e.post(mail{f: f}) }

func (e *Loop) post(m mail) {
	e.mu.Lock()
	e.mail = append(e.mail, m)
	e.mu.Unlock()
	e.nudge()
}

// SetDescriptorLimit has the engine hold at most so many descriptors from now on. What is open stays
// open, but for what can be spared.
func (e *Loop) SetDescriptorLimit(sockets int) {
	e.budget.Store(int64(sockets - ReservedDescriptors))
	if e.open.Load() > int64(sockets-ReservedDescriptors) {
		e.Post(func() { e.Shed(false) })
	}
}

// OpenConnections returns how many sockets are open.
func (e *Loop) OpenConnections() int { return int(e.open.Load()) }

// release takes a connection out of the count, once however it ended.
func (e *Loop) release(c *Conn) {
	if c.count != nil {
		c.count.Add(-1)
		c.count = nil
	}
}

// adopt makes a connection nbio's. The handler must be set before it reads.
func (e *Loop) adopt(nc net.Conn, c *Conn) error {
	nb, err := nbio.NBConn(nc)
	if err != nil {
		_ = nc.Close()
		e.release(c)
		return err
	}
	c.nb = nb
	nb.SetSession(c)
	if err := nb.SetNoDelay(true); err != nil {
		slog.Debug("no TCP_NODELAY", "err", err)
	}
	if _, err := e.nb.AddConn(nb); err != nil {
		e.release(c) // nbio has closed it, but does not always report that
		return err
	}
	return nil
}

// Dial connects and calls done on the owning goroutine. nbio's own asynchronous
// dial reports a refused connection as made, and a time-out that it sets may
// strike after the connection is up; so the dial is net's and the rest nbio's.
func (e *Loop) Dial(addr string, timeout time.Duration, h func(*Conn) Handler, done func(*Conn, error)) {
	if budget := e.budget.Load(); e.open.Load() >= budget {
		e.Shed(false)
		if e.open.Load() >= budget+ReservedDescriptors/4 { // closes take a moment to count
			e.Post(func() { done(nil, ErrDescriptorsExhausted) })
			return
		}
	}
	e.open.Add(1)
	go func() {
		nc, err := net.DialTimeout("tcp", addr, timeout)
		if err != nil {
			e.open.Add(-1)
			e.Post(func() { done(nil, err) })
			return
		}
		c := &Conn{count: &e.open, dialled: true}
		e.Post(func() { // set up where the state lives, before a byte is read
			c.handler = h(c)
			if err := e.adopt(nc, c); err != nil {
				c.closed = true
				done(nil, err)
				return
			}
			done(c, nil)
		})
	}()
}

// Listener accepts connections.
type Listener struct {
	e        *Loop
	accepted func(*Conn) Handler
	open     *atomic.Int64 // where its connections are counted
	most     func() int64  // no more are accepted while so many are open
	shed     func()        // is to close what can be spared then

	mu   sync.Mutex
	file *os.File     // a socket that somebody else holds, too; nil: its own
	l    net.Listener // nil: not accepting
	addr string
}

// ClientListener is what a listener for clients goes by: its connections are the engine's, and room
// is kept for feed servers. A client taken in but not served is worse off than one that waits
// in the listener's queue.
func (e *Loop) ClientListener(accepted func(*Conn) Handler) *Listener {
	return &Listener{
		e: e, accepted: accepted, open: &e.open, most: func() int64 { return e.budget.Load() * 3 / 4 },
		shed: func() { e.Shed(true) },
	}
}

// AdminListener is a listener whose connections are counted on their own; shed has to close one when
// most are open.
func (e *Loop) AdminListener(most int, accepted func(*Conn) Handler, shed func()) *Listener {
	return &Listener{e: e, accepted: accepted, open: new(atomic.Int64), most: func() int64 { return int64(most) }, shed: shed}
}

// Listen binds addr, an IP address and port, and accepts.
func (l *Listener) Listen(addr string) error {
	nl, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	l.serve(nl)
	return nil
}

// Inherit takes over a listening socket, which others may hold as well. It does not accept yet.
func (l *Listener) Inherit(fd int) error {
	f := os.NewFile(uintptr(fd), "inherited listener")
	nl, err := net.FileListener(f) // nil if fd is no descriptor
	if err != nil {
		return err
	}
	l.file, l.addr = f, nl.Addr().String()
	return nl.Close()
}

// SetAccepting has an inherited socket accepted from, or left to its other holders: connections
// wait in the kernel until one of them takes them.
func (l *Listener) SetAccepting(on bool) error {
	if !on {
		l.Stop()
		return nil
	}
	if l.Accepting() {
		return nil
	}
	nl, err := net.FileListener(l.file)
	if err == nil {
		l.serve(nl)
	}
	return err
}

// Accepting tells whether connections are accepted.
func (l *Listener) Accepting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.l != nil
}

// Addr returns the address that is listened on.
func (l *Listener) Addr() string { return l.addr }

// Stop ends accepting. A connection that has been accepted is still handed over.
func (l *Listener) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.l != nil {
		_ = l.l.Close()
		l.l = nil
	}
}

func (l *Listener) serve(nl net.Listener) {
	l.mu.Lock()
	l.l, l.addr = nl, nl.Addr().String()
	l.mu.Unlock()
	go l.run(nl)
}

func (l *Listener) run(nl net.Listener) {
	for {
		for l.open.Load() >= l.most() {
			l.e.Post(l.shed)
			time.Sleep(5 * time.Millisecond)
		}
		nc, err := nl.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, most likely: others must close first
			slog.Warn("accept failed", "err", err)
			l.e.Post(l.shed)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		l.open.Add(1)
		c := &Conn{count: l.open}
		l.e.Post(func() {
			c.handler = l.accepted(c)
			if err := l.e.adopt(nc, c); err != nil {
				slog.Warn("connection registration failed", "err", err)
				c.ended(err)
			}
		})
	}
}

// deliver hands over data. A panic ends this connection and no other.
func (c *Conn) deliver(data []byte) {
	if c.closed {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			slog.Error("connection handler panic", "panic", p, "stack", string(debug.Stack()))
			_ = c.nb.Close()
		}
	}()
	c.handler.Data(data)
}

func (c *Conn) ended(err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.handler.Closed(err)
}

// Write sends data; what the kernel does not take at once follows later. An
// error means that the connection is gone, which is reported as a close, too.
func (c *Conn) Write(data []byte) error {
	if c.closed {
		return net.ErrClosed
	}
	c.queued += int64(len(data))
	_, err := c.nb.Write(data)
	return err
}

// Prioritize has what comes on the connection heard before anything else after a stall.
func (c *Conn) Prioritize() { c.first.Store(true) }

// DiscardInput has whatever the peer still sends thrown away as it is read.
func (c *Conn) DiscardInput() { c.deaf.Store(true) }

// PeerClosed tells whether the peer has ended or broken the connection, also where Closed was not called yet.
func (c *Conn) PeerClosed() bool { return c.over.Load() }

// InputEmpty tells whether nothing from the peer waits to be read: neither in the kernel nor, looked at
// in the order in which bytes come, on its way to the handler.
func (c *Conn) InputEmpty() bool {
	if c.closed {
		return false
	}
	silent := true
	if raw, err := c.nb.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			var one [1]byte
			_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			silent = errors.Is(err, syscall.EAGAIN)
		})
	}
	return silent && c.unread.Load() == 0
}

// UnsentBytes returns how many bytes the kernel has not taken yet.
func (c *Conn) UnsentBytes() int64 { return c.queued - c.written.Load() }

// Close ends the connection. The handler hears no more of it.
func (c *Conn) Close() {
	if !c.closed {
		c.closed = true
		_ = c.nb.Close()
	}
}

// CloseWrite ends the sending side alone, so that what was sent is read even if
// the peer is still sending: a close with bytes unread would reset it away.
func (c *Conn) CloseWrite() {
	if c.closed {
		return
	}
	if raw, err := c.nb.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_WR) })
	}
}
