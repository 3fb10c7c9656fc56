package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// dialTimeout bounds the time to connect to the target.
const dialTimeout = time.Second

// connection is an accepted connection together with the connection to the target.
type connection struct {
	sockets [2]*net.TCPConn // to the opener and to the target; indexed by the direction of the data read from it
	doomed  bool            // about to be reset: delayed data must no longer be delivered
	frozen  bool            // silent in both directions: data is dropped
	once    sync.Once       // of Link.end
}

// carry connects an accepted connection to the target once no silent cut is on ToTarget, and returns when both
// directions have ended. It resets the accepted connection if a direction has a Reset cut, or if the target cannot be
// reached.
func (l *Link) carry(opener *net.TCPConn) {
	carried := &connection{sockets: [2]*net.TCPConn{opener, nil}}
	l.mu.Lock()
	closed := l.closed
	target := l.target
	l.connections[carried] = struct{}{}
	refuse := l.faults[ToTarget].Cut == Reset || l.faults[FromTarget].Cut == Reset
	l.mu.Unlock()
	if closed || refuse {
		l.reset(carried)
		return
	}
	if _, ok := l.waitUntilOpen(ToTarget); !ok {
		l.end(carried)
		return
	}
	other, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		l.reset(carried)
		return
	}
	l.mu.Lock()
	carried.sockets[1] = other.(*net.TCPConn)
	_, live := l.connections[carried]
	l.mu.Unlock()
	if !live { // reset or closed meanwhile
		_ = other.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.forward(carried, ToTarget) })
	both.Go(func() { l.forward(carried, FromTarget) })
	both.Wait()
	l.end(carried)
}

// chunk is data in flight. err is set in the last chunk of a direction: io.EOF, or the read error.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

const (
	maxChunks = 64       // in flight in one direction of a connection
	chunkSize = 16 << 10 // bytes
)

// forward carries one direction of a connection until that direction ends.
func (l *Link) forward(carried *connection, direction Direction) {
	chunks := make(chan chunk, maxChunks)
	gone := make(chan struct{})
	defer close(gone)
	go l.receive(carried.sockets[direction], direction, chunks, gone) // ends with the socket, or when gone is closed
	for next := range chunks {
		time.Sleep(time.Until(next.due))
		if !l.deliver(carried, direction, next) {
			return
		}
	}
}

// receive reads one direction of a connection, and sends chunks with their due times, which never decrease. It closes
// chunks when it ends.
func (l *Link) receive(from *net.TCPConn, direction Direction, chunks chan<- chunk, gone <-chan struct{}) {
	defer close(chunks)
	last := time.Time{}
	for {
		buffer := make([]byte, chunkSize)
		length, err := from.Read(buffer)
		due := l.dueTime(direction)
		if due.Before(last) {
			due = last
		}
		last = due
		select {
		case chunks <- chunk{buffer[:length], due, err}:
		case <-gone:
			return
		}
		if err != nil {
			return
		}
	}
}

// dueTime returns when data that has just been read is due at the other end: after the fault's delay and jitter.
func (l *Link) dueTime(direction Direction) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := l.faults[direction]
	due := time.Now().Add(fault.Delay)
	if fault.Jitter > 0 {
		due = due.Add(time.Duration(l.rng.Int64N(int64(fault.Jitter))))
	}
	return due
}

// deliver writes a chunk to the other end once no silent cut is on the direction, at the fault's rate, and passes on
// the end of the stream or a reset. It drops the data of a frozen connection. It reports whether more chunks may
// follow.
func (l *Link) deliver(carried *connection, direction Direction, next chunk) bool {
	destination := carried.sockets[1-direction]
	fault, ok := l.waitUntilOpen(direction)
	if !ok {
		return false
	}
	l.mu.Lock()
	doomed := carried.doomed
	frozen := carried.frozen
	l.mu.Unlock()
	switch {
	case doomed:
		return false
	case frozen:
		if next.err != nil { // the sending end has closed or reset the connection
			l.end(carried)
			return false
		}
		return true
	}
	if fault.BytesPerSecond > 0 {
		time.Sleep(time.Duration(float64(len(next.data)) / float64(fault.BytesPerSecond) * float64(time.Second)))
	}
	if len(next.data) > 0 {
		if _, err := destination.Write(next.data); err != nil {
			l.reset(carried)
			return false
		}
	}
	switch {
	case errors.Is(next.err, io.EOF):
		_ = destination.CloseWrite()
		return false
	case next.err != nil:
		l.reset(carried)
		return false
	}
	return true
}

// reset closes both sockets in such a way that both ends see a reset.
func (l *Link) reset(carried *connection) {
	l.mu.Lock()
	sockets := carried.sockets
	l.mu.Unlock()
	for _, socket := range sockets {
		if socket != nil {
			_ = socket.SetLinger(0)
		}
	}
	l.end(carried)
}

// end closes both sockets and removes the connection from the link. Further calls do nothing.
func (l *Link) end(carried *connection) {
	carried.once.Do(func() {
		l.mu.Lock()
		delete(l.connections, carried)
		sockets := carried.sockets
		l.mu.Unlock()
		for _, socket := range sockets {
			if socket != nil {
				_ = socket.Close()
			}
		}
	})
}
