package eventloop

import (
	"net"
	"time"
)

// Dial connects to an IP address and port and calls done, on the owning goroutine and never before
// it returns. newHandler is called there before, once the connection is up; done gets the connection
// or an error, ErrDescriptorsExhausted among them. Dial is for the owning goroutine.
//
// nbio's own asynchronous dial reports a refused connection as made, and a time-out that it sets may
// strike after the connection is up; so the dial is net's and the rest nbio's.
func (l *Loop) Dial(address string, timeout time.Duration, newHandler func(*Conn) Handler, done func(*Conn, error)) {
	if limit := l.descriptorLimit.Load(); l.open.Load() >= limit {
		l.Shed(false)
		if l.open.Load() >= limit+ReservedDescriptors/4 { // closes take a moment to count
			l.Post(func() { done(nil, ErrDescriptorsExhausted) })
			return
		}
	}
	l.open.Add(1)
	// Owned by the Loop; it ends within timeout, when the dial does.
	go func() {
		nc, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			l.open.Add(-1)
			l.Post(func() { done(nil, err) })
			return
		}
		c := &Conn{openCount: &l.open, dialed: true}
		l.Post(func() { // set up where the state lives, before a byte is read
			c.handler = newHandler(c)
			if err := l.register(nc, c); err != nil {
				c.closed = true
				done(nil, err)
				return
			}
			done(c, nil)
		})
	}()
}
