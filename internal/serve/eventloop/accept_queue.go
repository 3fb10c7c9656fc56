package eventloop

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// acceptQueue tracks since when clients may be waiting in the kernel's accept queue of a listener. pause and resume are
// called by the goroutine that accepts, since by any.
type acceptQueue struct {
	listener net.Listener

	mu           sync.Mutex
	waitingSince time.Time // zero: every client is accepted as soon as it connects
}

// since returns the earliest time at which a client that is still waiting may have connected, and zero if every client
// is accepted as soon as it connects.
func (q *acceptQueue) since() time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waitingSince
}

// waitingTime returns for how long clients may have been waiting, 0 if every client is accepted as soon as it connects.
func (q *acceptQueue) waitingTime() time.Duration {
	since := q.since()
	if since.IsZero() {
		return 0
	}
	return time.Since(since)
}

// pause records that from now on clients are left waiting.
func (q *acceptQueue) pause() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waitingSince.IsZero() {
		q.waitingSince = time.Now()
	}
}

// resume records, if the queue is empty, that no client is waiting any more. It must be called just before a client is
// accepted.
func (q *acceptQueue) resume() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.waitingSince.IsZero() && q.empty() {
		q.waitingSince = time.Time{}
	}
}

// empty reports whether the queue is known to be empty.
func (q *acceptQueue) empty() bool {
	listener, isTCP := q.listener.(*net.TCPListener)
	if !isTCP {
		return false
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		ready, pollErr := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		empty = pollErr == nil && ready == 0
	})
	return err == nil && empty
}

// InputAge returns how long the input that was received last has waited or, if none was, how long the peer has been
// silent since it connected. It returns 0 unless the connection waited in the accept queue or the poller lags behind.
// The kernel measures it in milliseconds. If the kernel does not say, InputAge returns the longest time that is
// possible.
func (c *Conn) InputAge() time.Duration {
	now := time.Now()
	longest := c.loop.registrar.lag(now)
	if longest <= stallThreshold {
		longest = 0
	}
	if !c.waitingSince.IsZero() {
		longest = max(longest, now.Sub(c.waitingSince))
	}
	if longest == 0 {
		return 0
	}
	measured := longest
	valid := c.useDescriptor(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			measured = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if !valid {
		return longest
	}
	return min(longest, measured)
}
