package faultproxy

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// acceptRetryPause is how long a link waits after it could not accept a connection.
const acceptRetryPause = 10 * time.Millisecond

// Link is one link. Its methods may be called from any goroutine.
type Link struct {
	Name     string
	listener net.Listener

	mu          sync.Mutex
	target      string
	faults      [2]Fault      // by direction
	silentSince [2]time.Time  // by direction, while its cut is a silent one
	changed     chan struct{} // closed and replaced when the faults change or the link is closed
	connections map[*connection]struct{}
	rng         *rand.Rand
	closed      bool
}

// Address returns the host:port at which the link accepts connections.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetFault replaces the fault of one direction. A reset, and the end of a silent cut that was longer than
// retransmission goes on for, reset all open connections.
func (l *Link) SetFault(direction Direction, fault Fault) {
	l.mu.Lock()
	wasSilent := l.faults[direction].Cut == Blackhole
	silent := fault.Cut == Blackhole
	tooLong := wasSilent && !silent && time.Since(l.silentSince[direction]) > retransmitLimit
	if silent && !wasSilent {
		l.silentSince[direction] = time.Now()
	}
	l.faults[direction] = fault
	l.notifyLocked()
	var doomed []*connection
	if fault.Cut == Reset || tooLong {
		for connection := range l.connections {
			connection.doomed = true
			doomed = append(doomed, connection)
		}
	}
	l.mu.Unlock()
	for _, connection := range doomed {
		l.reset(connection)
	}
}

// Heal ends all faults of the link.
func (l *Link) Heal() {
	l.SetFault(ToTarget, Fault{})
	l.SetFault(FromTarget, Fault{})
}

// Freeze has the connections that are open now carry nothing any more, without a word to either side, as
// where a machine on the way has forgotten them. New connections are healthy.
func (l *Link) Freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for connection := range l.connections {
		connection.frozen = true
	}
}

// Carries reports whether data goes through on the connection that the target sees as coming from an address.
func (l *Link) Carries(remoteAddress string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for connection := range l.connections {
		socket := connection.sockets[1]
		if socket != nil && socket.LocalAddr().String() == remoteAddress {
			return !connection.frozen && !connection.doomed
		}
	}
	return false
}

// Delivered waits until what has been written to a direction by now has arrived, as far as the link's
// faults are concerned. It reports false if that never happens: the connection was reset or the link
// closed.
func (l *Link) Delivered(direction Direction) bool {
	started := time.Now()
	fault, ok := l.waitUntilOpen(direction)
	if !ok || fault.Cut == Reset || time.Since(started) > retransmitLimit {
		return false
	}
	time.Sleep(fault.Delay + fault.Jitter)
	return true
}

// waitUntilOpen waits while a direction is silent, and returns its fault then; false if the link was
// closed.
func (l *Link) waitUntilOpen(direction Direction) (Fault, bool) {
	for {
		l.mu.Lock()
		fault := l.faults[direction]
		changed := l.changed
		closed := l.closed
		l.mu.Unlock()
		switch {
		case closed:
			return fault, false
		case fault.Cut != Blackhole:
			return fault, true
		}
		<-changed
	}
}

// notifyLocked wakes all that wait for a change. The lock is held.
func (l *Link) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) close() {
	l.mu.Lock()
	l.closed = true
	l.notifyLocked()
	var open []*connection
	for connection := range l.connections {
		open = append(open, connection)
	}
	l.mu.Unlock()
	_ = l.listener.Close()
	for _, connection := range open {
		l.end(connection)
	}
}

func (l *Link) accept() {
	for {
		opener, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryPause)
			continue
		}
		go l.carry(opener.(*net.TCPConn)) // ends with the connection, which close ends
	}
}
