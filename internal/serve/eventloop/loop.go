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
	// LongStallThreshold is the length of a stall after which the loop lets the poller read what waits
	// in the sockets, for longStallReadTime, before it handles anything. The update that a server
	// drains must not be behind a request that would be sent to it: the time given for that may be
	// over. The protocol has a slack of half as much on every time limit.
	LongStallThreshold = 100 * time.Millisecond
	longStallReadTime  = 20 * time.Millisecond

	// maxWriteBuffer is how much a connection may queue that the kernel does not take, in bytes.
	maxWriteBuffer = 512 << 10
)

// Loop runs the sockets. New makes it.
type Loop struct {
	// Shed is called on the owning goroutine when descriptors are short. It should close what can be
	// spared: for a new client, or else for a connection to a server. It is set before Run.
	Shed func(client bool)
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
	l := &Loop{
		Shed:       func(bool) {},
		Stalled:    func(time.Duration) {},
		readBuffer: make([]byte, readSize),
		engine: nbio.NewEngine(nbio.Config{
			Name: "piernotch", NPoller: 1, ReadBufferSize: readSize, MaxWriteBufferSize: maxWriteBuffer,
		}),
	}
	l.mailbox.init()
	l.SetDescriptorLimit(descriptors)
	l.engine.OnOpen(func(*nbio.Conn) {})
	l.engine.OnRead(l.read)
	l.engine.OnClose(l.connectionClosed)
	l.engine.OnWrittenSize(func(nc *nbio.Conn, _ []byte, n int) {
		if c, ok := nc.Session().(*Conn); ok {
			c.writtenBytes.Add(int64(n))
		}
	})
	if err := l.engine.Start(); err != nil {
		return nil, fmt.Errorf("start of the socket engine: %w", err)
	}
	return l, nil
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
		m := &batch[i]
		if m.conn == nil {
			guard(m.f)
		} else {
			m.conn.unhandled.Add(-1)
			m.conn.deliver(*m.data)
			l.mailbox.release(m.data)
		}
		*m = message{}
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

// Post runs f on the owning goroutine, after what was posted before. It never blocks and may be
// called from any goroutine.
func (l *Loop) Post(f func()) { l.mailbox.post(message{f: f}) }

// SetDescriptorLimit changes the number of descriptors that the engine may hold. Connections that
// are open stay open, but for those that Shed can spare. It may be called from any goroutine.
func (l *Loop) SetDescriptorLimit(descriptors int) {
	limit := int64(descriptors - ReservedDescriptors)
	l.descriptorLimit.Store(limit)
	if l.open.Load() > limit {
		l.Post(func() { l.Shed(false) })
	}
}

// OpenConnections returns the number of connections that are open or being dialed, without those of
// admin listeners. It may be called from any goroutine.
func (l *Loop) OpenConnections() int { return int(l.open.Load()) }
