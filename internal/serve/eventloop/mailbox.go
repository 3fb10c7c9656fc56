package eventloop

import (
	"cmp"
	"slices"
	"sync"
)

// maxPendingData bounds the bytes that were read and not handled yet. Beyond it the poller waits,
// and so do the peers: a few that send at full speed must not fill the memory.
const maxPendingData = 256 << 10

// message is one thing that has happened: call, or else data on a connection.
type message struct {
	call        func()
	conn        *Conn
	data        *[]byte
	prioritized bool // of call: handled before others after a stall
}

// priority is 1 for what is handled first after a stall.
func (m message) priority() int {
	onPrioritizedConnection := m.conn != nil && m.conn.prioritized.Load()
	if m.prioritized || onPrioritizedConnection {
		return 1
	}
	return 0
}

// prioritize sorts messages by priority. The order of those of one connection stays.
func prioritize(batch []message) {
	slices.SortStableFunc(batch, func(a, b message) int { return cmp.Compare(b.priority(), a.priority()) })
}

// mailbox passes messages to the owning goroutine.
type mailbox struct {
	mu       sync.Mutex
	taken    *sync.Cond // signaled when the owner has taken messages
	messages []message
	dataSize int           // bytes of the data in messages
	wake     chan struct{} // holds one token if there may be messages
	buffers  sync.Pool     // of *[]byte, for data
}

func (m *mailbox) init() {
	m.taken = sync.NewCond(&m.mu)
	m.wake = make(chan struct{}, 1)
	m.buffers.New = func() any { b := make([]byte, 0, 1<<10); return &b }
}

// post adds a message. It never blocks.
func (m *mailbox) post(msg message) {
	m.mu.Lock()
	m.messages = append(m.messages, msg)
	m.mu.Unlock()
	m.signal()
}

// postData adds a copy of data that was read on a connection, unless the connection discards its
// input. It blocks while too much data is pending; only the poller may call it.
func (m *mailbox) postData(connection *Conn, data []byte) {
	m.mu.Lock()
	for m.dataSize > maxPendingData {
		m.taken.Wait()
	}
	if !connection.discardInput.Load() {
		buffer := m.buffers.Get().(*[]byte)
		*buffer = append((*buffer)[:0], data...)
		connection.unhandled.Add(1)
		m.dataSize += len(data)
		m.messages = append(m.messages, message{conn: connection, data: buffer})
	}
	m.mu.Unlock()
	m.signal()
}

// take returns all messages. The mailbox uses the array of spare, which must hold none, from now on.
func (m *mailbox) take(spare []message) []message {
	m.mu.Lock()
	batch := m.messages
	m.messages = spare[:0]
	m.dataSize = 0
	m.mu.Unlock()
	m.taken.Signal()
	return batch
}

// release gives the buffer of a message back once its data was handled.
func (m *mailbox) release(buffer *[]byte) { m.buffers.Put(buffer) }

func (m *mailbox) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
