package faultproxy

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// acceptRetryPause is the pause of a link after a failed accept.
const acceptRetryPause = 10 * time.Millisecond

// Link is a proxy for the connections from one process to one target. Its methods may be called from any goroutine.
type Link struct {
	Name     string
	listener net.Listener

	mu          sync.Mutex
	target      string
	faults      [2]Fault      // by direction
	silentSince [2]time.Time  // by direction: start of the last silent cut
	changed     chan struct{} // closed and replaced when a fault is set, and when the link closes
	connections map[*connection]struct{}
	rng         *rand.Rand
	closed      bool
}

// Address returns the host:port at which the link accepts connections.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetFault replaces the fault of one direction. All open connections are reset if the new fault is a Reset, or if the
// new fault ends a silent cut that lasted longer than retransmitLimit.
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

// Heal ends the faults of both directions. Frozen connections stay frozen.
func (l *Link) Heal() {
	l.SetFault(ToTarget, Fault{})
	l.SetFault(FromTarget, Fault{})
}

// Freeze makes the open connections silent for good: neither end is notified, as if a NAT or firewall on the path had
// lost its state. When one end closes a frozen connection, the proxy closes the other end, too. New connections are
// healthy.
func (l *Link) Freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for connection := range l.connections {
		connection.frozen = true
	}
}

// Carries reports whether the connection that the target sees as coming from remoteAddress is open, and neither frozen
// nor about to be reset.
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

// Delivered waits until data written to a direction before the call has arrived, as far as cuts, delay and jitter
// determine. It reports false if the data never arrives: the connections were reset or the link was closed.
func (l *Link) Delivered(direction Direction) bool {
	started := time.Now()
	fault, ok := l.waitUntilOpen(direction)
	if !ok || fault.Cut == Reset || time.Since(started) > retransmitLimit {
		return false
	}
	time.Sleep(fault.Delay + fault.Jitter)
	return true
}

// waitUntilOpen waits until a direction has no silent cut, and returns its fault and true. It returns false if the link
// is closed.
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

// notifyLocked wakes all goroutines in waitUntilOpen. l.mu must be held.
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
		go l.carry(opener.(*net.TCPConn)) // ends with the connection; close ends all connections
	}
}
