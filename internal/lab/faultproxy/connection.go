package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// dialTimeout bounds how long the target may take to accept a connection.
const dialTimeout = time.Second

// connection is an accepted connection and its other half.
type connection struct {
	sockets [2]*net.TCPConn // of the process that opened it, and of the target
	doomed  bool            // to be reset: nothing that was held back may pass any more
	once    sync.Once
}

// carry connects an accepted connection to the target and returns when both directions have ended.
func (l *Link) carry(opener *net.TCPConn) {
	c := &connection{sockets: [2]*net.TCPConn{opener, nil}}
	l.mu.Lock()
	closed := l.closed
	target := l.target
	l.connections[c] = struct{}{}
	refuse := l.faults[ToTarget].Cut == Reset || l.faults[FromTarget].Cut == Reset
	l.mu.Unlock()
	if closed || refuse {
		l.reset(c)
		return
	}
	if _, ok := l.waitUntilOpen(ToTarget); !ok {
		l.end(c)
		return
	}
	other, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		l.reset(c)
		return
	}
	l.mu.Lock()
	c.sockets[1] = other.(*net.TCPConn)
	_, live := l.connections[c]
	l.mu.Unlock()
	if !live { // reset meanwhile
		_ = other.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.forward(c, ToTarget) })
	both.Go(func() { l.forward(c, FromTarget) })
	both.Wait()
	l.end(c)
}

// chunk is data on its way. With an error it is the last of its direction: the end of the stream, or how
// it broke.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

const (
	maxChunks = 64 // on their way in one direction
	chunkSize = 16 << 10
)

// forward carries one direction until it ends.
func (l *Link) forward(c *connection, d Direction) {
	chunks := make(chan chunk, maxChunks)
	gone := make(chan struct{})
	defer close(gone)
	go l.receive(c.sockets[d], d, chunks, gone) // ends with its socket, or when gone is closed
	for next := range chunks {
		time.Sleep(time.Until(next.due))
		if !l.deliver(c, d, next) {
			return
		}
	}
}

// receive reads one direction and gives each chunk the time at which it is due. It closes the channel.
func (l *Link) receive(from *net.TCPConn, d Direction, chunks chan<- chunk, gone <-chan struct{}) {
	defer close(chunks)
	last := time.Time{}
	for {
		buf := make([]byte, chunkSize)
		n, err := from.Read(buf)
		due := l.dueTime(d)
		if due.Before(last) {
			due = last
		}
		last = due
		select {
		case chunks <- chunk{buf[:n], due, err}:
		case <-gone:
			return
		}
		if err != nil {
			return
		}
	}
}

// dueTime returns when data that has just been read is due at the other side.
func (l *Link) dueTime(d Direction) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults[d]
	due := time.Now().Add(f.Delay)
	if f.Jitter > 0 {
		due = due.Add(time.Duration(l.rng.Int64N(int64(f.Jitter))))
	}
	return due
}

// deliver writes a chunk to the other side once the direction is open. It reports whether the direction
// goes on.
func (l *Link) deliver(c *connection, d Direction, next chunk) bool {
	to := c.sockets[1-d]
	f, ok := l.waitUntilOpen(d)
	if !ok {
		return false
	}
	l.mu.Lock()
	doomed := c.doomed
	l.mu.Unlock()
	if doomed {
		return false
	}
	if f.BytesPerSecond > 0 {
		time.Sleep(time.Duration(float64(len(next.data)) / float64(f.BytesPerSecond) * float64(time.Second)))
	}
	if len(next.data) > 0 {
		if _, err := to.Write(next.data); err != nil {
			l.reset(c)
			return false
		}
	}
	switch {
	case errors.Is(next.err, io.EOF):
		_ = to.CloseWrite()
		return false
	case next.err != nil:
		l.reset(c)
		return false
	}
	return true
}

// reset ends both halves so that both sides see a reset.
func (l *Link) reset(c *connection) {
	l.mu.Lock()
	sockets := c.sockets
	l.mu.Unlock()
	for _, s := range sockets {
		if s != nil {
			_ = s.SetLinger(0)
		}
	}
	l.end(c)
}

// end closes both halves, once.
func (l *Link) end(c *connection) {
	c.once.Do(func() {
		l.mu.Lock()
		delete(l.connections, c)
		sockets := c.sockets
		l.mu.Unlock()
		for _, s := range sockets {
			if s != nil {
				_ = s.Close()
			}
		}
	})
}
