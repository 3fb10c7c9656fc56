package eventloop

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

// ReservedDescriptors is the number of descriptors that are not handed out: standard streams,
// pollers, the listener, and the second descriptor that a connection has for a moment while nbio
// takes it over.
const ReservedDescriptors = 32

const (
	// stallThreshold is how long the loop may take over one batch without that being a stall:
	// responses may be as late as this.
	stallThreshold = 40 * time.Millisecond
	// LongStallThreshold is the length of a stall after which the loop first gives the poller
	// longStallReadTime to read what waits in the sockets, and only then handles messages. Otherwise a
	// request could be handled before the update that a server drains, and be sent to that server when
	// the time in which that is still allowed has passed. The threshold may be as high as this because
	// the protocol tolerates a delay of half as much on every time limit.
	LongStallThreshold = 100 * time.Millisecond
	longStallReadTime  = 20 * time.Millisecond

	// maxWriteBuffer is how much a connection may queue that the kernel does not take, in bytes.
	maxWriteBuffer = 512 << 10
)

// Loop runs the sockets. New makes it.
type Loop struct {
	// ShedClients and ShedAll are called on the owning goroutine when descriptors are short, and should
	// close connections that can be spared. ShedClients is called for a new client, which must not cost
	// the servers' side its connections; it closes connections of clients alone. ShedAll is called for
	// a connection to a server and when the limit was lowered. They are set before Run.
	ShedClients, ShedAll func()
	// Stalled is called on the owning goroutine after a stall, before what came meanwhile is handled:
	// that may have been waiting for the whole gap. It is set before Run.
	Stalled func(gap time.Duration)

	engine          *nbio.Engine
	mailbox         mailbox
	readBuffer      []byte       // the poller's alone
	open            atomic.Int64 // connections, those of admin listeners not among them
	descriptorLimit atomic.Int64 // of open, without ReservedDescriptors
}

// New starts an engine that holds at most the given number of descriptors, those of admin listeners
// not included. Its poller runs until the process ends.
func New(descriptors int) (*Loop, error) {
	prepareEngines(descriptors)
	loop := &Loop{
		ShedClients: func() {},
		ShedAll:     func() {},
		Stalled:     func(time.Duration) {},
		readBuffer:  make([]byte, readSize),
		engine: nbio.NewEngine(nbio.Config{
			Name: "piernotch", NPoller: 1, ReadBufferSize: readSize, MaxWriteBufferSize: maxWriteBuffer,
		}),
	}
	loop.mailbox.init()
	loop.SetDescriptorLimit(descriptors)
	loop.engine.OnOpen(func(*nbio.Conn) {})
	loop.engine.OnRead(loop.read)
	loop.engine.OnClose(loop.connectionClosed)
	loop.engine.OnWrittenSize(func(socket *nbio.Conn, _ []byte, written int) {
		if connection, ok := socket.Session().(*Conn); ok {
			connection.writtenBytes.Add(int64(written))
		}
	})
	if err := loop.engine.Start(); err != nil {
		return nil, fmt.Errorf("start of the socket engine: %w", err)
	}
	return loop, nil
}

var engineTable struct {
	sync.Mutex
	size int // 0: no engine was made yet
}

// prepareEngines sets what nbio has for all engines of a process. It keeps a table by descriptor
// number and refuses what lies beyond it; the limit is enforced here, the table only has to be
// large enough.
func prepareEngines(descriptors int) {
	engineTable.Lock()
	defer engineTable.Unlock()
	if engineTable.size == 0 {
		logging.SetLevel(logging.LevelNone) // what matters of nbio's log is logged here
	}
	if size := max(4*descriptors, 1<<14); size > engineTable.size {
		engineTable.size = size
		nbio.MaxOpenFiles = size
	}
}

// Run makes the calling goroutine the owning one and handles events until the context ends. tick is
// called once a period.
func (l *Loop) Run(ctx context.Context, period time.Duration, tick func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	var batch []message
	lastRun := time.Now()
	for {
		ticked := false
		select {
		case <-l.mailbox.wake:
		case <-ticker.C:
			ticked = true
		case <-ctx.Done():
			return
		}
		now := time.Now()
		gap := now.Sub(lastRun)
		lastRun = now
		stalled := gap > stallThreshold
		if stalled {
			guard(func() { l.Stalled(gap) })
		} else if ticked {
			guard(tick)
		}
		if gap > LongStallThreshold {
			time.Sleep(longStallReadTime)
		}
		batch = l.mailbox.take(batch)
		if stalled {
			prioritize(batch)
		}
		l.handle(batch)
		if stalled {
			guard(tick) // after what came before this moment
		}
	}
}

// handle handles a batch and clears it: its array is used again and must keep nothing alive.
func (l *Loop) handle(batch []message) {
	for i := range batch {
		next := &batch[i]
		if next.conn == nil {
			guard(next.call)
		} else {
			next.conn.unhandled.Add(-1)
			next.conn.deliver(*next.data)
			l.mailbox.release(next.data)
		}
		*next = message{}
	}
}

// guard keeps a panic in one event from ending the program.
func guard(call func()) {
	defer func() {
		if cause := recover(); cause != nil {
			slog.Error("event handler panic", "panic", cause, "stack", string(debug.Stack()))
		}
	}()
	call()
}

// Post runs call on the owning goroutine, after what was posted before. It never blocks and may be
// called from any goroutine.
func (l *Loop) Post(call func()) { l.mailbox.post(message{call: call}) }

// SetDescriptorLimit changes the number of descriptors that the engine may hold. Connections that
// are open stay open, but for those that ShedAll can spare. It may be called from any goroutine.
func (l *Loop) SetDescriptorLimit(descriptors int) {
	limit := int64(descriptors - ReservedDescriptors)
	l.descriptorLimit.Store(limit)
	if l.open.Load() > limit {
		l.Post(func() { l.ShedAll() })
	}
}

// OpenConnections returns the number of connections that are open or being dialed, without those of
// admin listeners. It may be called from any goroutine.
func (l *Loop) OpenConnections() int { return int(l.open.Load()) }
