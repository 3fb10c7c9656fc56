package eventloop

import (
	"cmp"
	"slices"
	"sync"
)

const (
	// maxPendingData limits the bytes of the buffers that wait in the mailbox. Above it the poller waits,
	// which applies backpressure to all peers: a few fast senders must not fill the memory.
	maxPendingData = 256 << 10
	// smallData is the capacity of a buffer for little data. Larger data gets a buffer of readSize.
	smallData = 1 << 10
)

// message is an event for the owning goroutine: either a call or data from a connection.
type message struct {
	call        func()
	conn        *Conn
	data        *[]byte
	prioritized bool // of a call: it is handled first after a stall
}

// priority returns 1 for a message that is handled first after a stall, and 0 for others.
func (m message) priority() int {
	onPrioritizedConnection := m.conn != nil && m.conn.prioritized.Load()
	if m.prioritized || onPrioritizedConnection {
		return 1
	}
	return 0
}

// prioritize sorts messages by priority. Messages of the same priority keep their order.
func prioritize(batch []message) {
	slices.SortStableFunc(batch, func(a, b message) int { return cmp.Compare(b.priority(), a.priority()) })
}

// mailbox queues messages for the owning goroutine.
type mailbox struct {
	mu       sync.Mutex
	taken    *sync.Cond // signaled when the owning goroutine has taken the messages
	messages []message
	dataSize int           // total capacity of the buffers in messages
	wake     chan struct{} // holds one token if there may be messages
	small    sync.Pool     // of *[]byte with a capacity of smallData, for message.data
	large    sync.Pool     // of *[]byte with a capacity of readSize
}

func (m *mailbox) init() {
	m.taken = sync.NewCond(&m.mu)
	m.wake = make(chan struct{}, 1)
	m.small.New = func() any { b := make([]byte, 0, smallData); return &b }
	m.large.New = func() any { b := make([]byte, 0, readSize); return &b }
}

// buffers returns the pool of buffers of a capacity, or of those that hold that much data.
func (m *mailbox) buffers(size int) *sync.Pool {
	if size <= smallData {
		return &m.small
	}
	return &m.large
}

// post adds a message without blocking.
func (m *mailbox) post(msg message) {
	m.mu.Lock()
	m.messages = append(m.messages, msg)
	m.mu.Unlock()
	m.signal()
}

// postData adds a copy of data that was read on a connection, at most readSize bytes, unless the
// connection discards its input. It blocks while more than maxPendingData is pending. Only the
// poller may call it.
func (m *mailbox) postData(connection *Conn, data []byte) {
	m.mu.Lock()
	for m.dataSize > maxPendingData {
		m.taken.Wait()
	}
	if !connection.discardInput.Load() {
		buffer := m.buffers(len(data)).Get().(*[]byte)
		*buffer = append((*buffer)[:0], data...)
		connection.unhandled.Add(1)
		connection.queued.Add(1)
		m.dataSize += cap(*buffer)
		m.messages = append(m.messages, message{conn: connection, data: buffer})
	}
	m.mu.Unlock()
	m.signal()
}

// take returns all messages. spare is an earlier batch whose messages have been cleared; the
// mailbox reuses its array.
func (m *mailbox) take(spare []message) []message {
	m.mu.Lock()
	batch := m.messages
	m.messages = spare[:0]
	m.dataSize = 0
	m.mu.Unlock()
	m.taken.Signal()
	return batch
}

// release returns the buffer of a message to the pool once its data has been handled.
func (m *mailbox) release(buffer *[]byte) { m.buffers(cap(*buffer)).Put(buffer) }

func (m *mailbox) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
