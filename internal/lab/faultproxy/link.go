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
func (l *Link) SetFault(d Direction, f Fault) {
	l.mu.Lock()
	wasSilent := l.faults[d].Cut == Blackhole
	silent := f.Cut == Blackhole
	tooLong := wasSilent && !silent && time.Since(l.silentSince[d]) > retransmitLimit
	if silent && !wasSilent {
		l.silentSince[d] = time.Now()
	}
	l.faults[d] = f
	l.notifyLocked()
	var doomed []*connection
	if f.Cut == Reset || tooLong {
		for c := range l.connections {
			c.doomed = true
			doomed = append(doomed, c)
		}
	}
	l.mu.Unlock()
	for _, c := range doomed {
		l.reset(c)
	}
}

// Heal ends all faults of the link.
func (l *Link) Heal() {
	l.SetFault(ToTarget, Fault{})
	l.SetFault(FromTarget, Fault{})
}

// Delivered waits until what has been written to a direction by now has arrived, as far as the link's
// faults are concerned. It reports false if that never happens: the connection was reset or the link
// closed.
func (l *Link) Delivered(d Direction) bool {
	started := time.Now()
	f, ok := l.waitUntilOpen(d)
	if !ok || f.Cut == Reset || time.Since(started) > retransmitLimit {
		return false
	}
	time.Sleep(f.Delay + f.Jitter)
	return true
}

// waitUntilOpen waits while a direction is silent, and returns its fault then; false if the link was
// closed.
func (l *Link) waitUntilOpen(d Direction) (Fault, bool) {
	for {
		l.mu.Lock()
		f := l.faults[d]
		changed := l.changed
		closed := l.closed
		l.mu.Unlock()
		switch {
		case closed:
			return f, false
		case f.Cut != Blackhole:
			return f, true
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
	for c := range l.connections {
		open = append(open, c)
	}
	l.mu.Unlock()
	_ = l.listener.Close()
	for _, c := range open {
		l.end(c)
	}
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryPause)
			continue
		}
		go l.carry(c.(*net.TCPConn)) // ends with the connection, which close ends
	}
}
