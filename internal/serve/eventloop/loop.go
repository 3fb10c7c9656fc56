package eventloop

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/mempool"
)

// ReservedDescriptors is the number of descriptors that the limit on connections leaves free: for
// standard streams, pollers, the listener, and the second descriptor that a connection briefly has
// while nbio takes it over.
const ReservedDescriptors = 32

const (
	// stallThreshold is the longest gap between the starts of two batches that does not count as a
	// stall. Such a gap needs no special handling, because responses may be late by this much.
	stallThreshold = 40 * time.Millisecond
	// LongStallThreshold is the gap above which the loop first gives the poller longStallReadTime
	// to read the sockets, and only then handles messages. Otherwise it could handle a request
	// before the update which says that a server drains, and send the request to that server after
	// the time in which that is still allowed. The threshold is twice the delay of 50 ms that the
	// protocol tolerates on every time limit.
	LongStallThreshold = 100 * time.Millisecond
	longStallReadTime  = 20 * time.Millisecond

	// busyReads is the number of reads between two ticks above which the poller may lag behind.
	busyReads = 16

	// maxWriteBuffer limits the outgoing bytes that a connection queues while the kernel does not
	// accept them.
	maxWriteBuffer = 512 << 10
)

// Loop reads and writes all sockets and calls their handlers. New creates it.
type Loop struct {
	// ShedClients and ShedAll are called on the owning goroutine when descriptors run short. They
	// should close connections that can be spared. ShedClients makes room for a new client and must
	// close only connections of clients: a new client must not displace connections to servers.
	// ShedAll makes room for a connection to a server, and is also called when the limit is
	// lowered. Both are set before Run.
	ShedClients, ShedAll func()
	// Stalled is called on the owning goroutine after a stall, before the messages that arrived
	// meanwhile are handled: they may have waited for the whole gap. It is set before Run.
	Stalled func(gap time.Duration)

	engine          *nbio.Engine
	registrar       *registrar
	mailbox         mailbox
	readBuffer      []byte       // used by the poller only
	reads           atomic.Int64 // by the poller, since the last tick
	open            atomic.Int64 // connections open or being dialed, without those of admin listeners
	descriptorLimit atomic.Int64 // limit on open; ReservedDescriptors are already subtracted
}

// New returns a Loop and starts its engine, which holds at most the given number of descriptors,
// not counting those of admin listeners. The engine's poller runs until the process ends.
func New(descriptors int) (*Loop, error) {
	prepareEngines(descriptors)
	registrar, err := newRegistrar()
	if err != nil {
		return nil, err
	}
	loop := &Loop{
		registrar:   registrar,
		ShedClients: func() {},
		ShedAll:     func() {},
		Stalled:     func(time.Duration) {},
		readBuffer:  make([]byte, readSize),
		engine: nbio.NewEngine(nbio.Config{
			Name: "piernotch", NPoller: 1, ReadBufferSize: readSize, MaxWriteBufferSize: maxWriteBuffer,
			BodyAllocator: mempool.NewAligned(), // buffers of unsent data are hardly larger than the data
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
	if err := registrar.watch(loop.engine); err != nil {
		return nil, fmt.Errorf("poller: %w", err)
	}
	return loop, nil
}

var engineTable struct {
	sync.Mutex
	size int // 0: no engine has been created
}

// prepareEngines applies the settings that nbio shares between all engines of a process. nbio keeps
// a table indexed by descriptor number and refuses numbers beyond its end. The Loop enforces the
// descriptor limit itself, so the table only has to be large enough.
func prepareEngines(descriptors int) {
	engineTable.Lock()
	defer engineTable.Unlock()
	if engineTable.size == 0 {
		logging.SetLevel(logging.LevelNone) // this package logs the errors that matter
	}
	if size := max(4*descriptors, 1<<14); size > engineTable.size {
		engineTable.size = size
		nbio.MaxOpenFiles = size
	}
}

// Run makes the calling goroutine the owning one and handles events until ctx is canceled. It calls
// tick once per period.
func (l *Loop) Run(ctx context.Context, period time.Duration, tick func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	var batch []message
	lastRun := time.Now()
	l.registrar.tick(lastRun, false)
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
		if ticked {
			l.registrar.tick(now, l.reads.Swap(0) > busyReads)
		}
		batch = l.mailbox.take(batch)
		if stalled {
			prioritize(batch)
		}
		l.handle(batch)
		runtime.Gosched() // or goroutines that connect and accept would wait while input never ends
		if stalled {
			guard(tick) // the clock advances after the messages that arrived before now
		}
	}
}

// handle handles a batch and clears it: the array is reused and must not keep handled messages
// alive.
func (l *Loop) handle(batch []message) {
	for i := range batch {
		next := &batch[i]
		if next.conn == nil {
			guard(next.call)
		} else {
			next.conn.unhandled.Add(-1)
			next.conn.queued.Add(-1)
			next.conn.deliver(*next.data)
			l.mailbox.release(next.data)
		}
		*next = message{}
	}
}

// guard calls call and recovers from a panic, so that one event cannot end the program.
func guard(call func()) {
	defer func() {
		if cause := recover(); cause != nil {
			slog.Error("event handler panic", "panic", cause, "stack", string(debug.Stack()))
		}
	}()
	call()
}

// Post runs call on the owning goroutine, after all calls that were posted earlier. It never blocks
// and may be called from any goroutine.
func (l *Loop) Post(call func()) { l.mailbox.post(message{call: call}) }

// SetDescriptorLimit changes the number of descriptors that the engine may hold. If more are in
// use, ShedAll is called; connections that it does not close stay open. It may be called from any
// goroutine.
func (l *Loop) SetDescriptorLimit(descriptors int) {
	limit := int64(descriptors - ReservedDescriptors)
	l.descriptorLimit.Store(limit)
	if l.open.Load() > limit {
		l.Post(func() { l.ShedAll() })
	}
}

// ServerShare returns the number of connections to servers that have room beside as many clients as
// the listener accepts.
func (l *Loop) ServerShare() int {
	limit := l.descriptorLimit.Load()
	return int(limit - clientLimit(limit))
}

// OpenConnections returns the number of connections that are open or being dialed, without those of
// admin listeners. It may be called from any goroutine.
func (l *Loop) OpenConnections() int { return int(l.open.Load()) }
