package eventloop

import (
	"net"
	"time"
)

// dialOvershoot is by how many descriptors a dial may exceed the limit after ShedAll: what ShedAll
// closes is counted as closed only a moment later, and the reserved descriptors are enough for that.
const dialOvershoot = ReservedDescriptors / 4

// DialKind says which descriptors a dial may use.
type DialKind uint8

// Kinds of dials.
const (
	OrdinaryDial DialKind = iota // those within the limit
	ReservedDial                 // ReservedDescriptors, too: for a connection that the process cannot do without
)

// Target is where a dial goes.
type Target struct {
	Address string // IP address and port
	Timeout time.Duration
	Kind    DialKind
}

// Dial connects to a target and calls done, on the owning goroutine and never before it returns. newHandler is
// called there before, once the connection is up; done gets the connection or an error, ErrDescriptorsExhausted
// among them. Dial is for the owning goroutine.
//
// The connection is dialed by package net, and passed to nbio once it is up: nbio's own asynchronous
// dial reports a refused connection as established, and its timeout may fire on a connection that is
// established.
func (l *Loop) Dial(target Target, newHandler func(*Conn) Handler, done func(*Conn, error)) {
	limit := l.descriptorLimit.Load()
	if target.Kind == OrdinaryDial && l.open.Load() >= limit {
		l.ShedAll()
		if l.open.Load() >= limit+dialOvershoot {
			l.Post(func() { done(nil, ErrDescriptorsExhausted) })
			return
		}
	}
	l.open.Add(1)
	// Owned by the Loop; it ends within the timeout, when the dial does.
	go func() {
		dialed, err := net.DialTimeout("tcp", target.Address, target.Timeout)
		if err != nil {
			l.open.Add(-1)
			l.Post(func() { done(nil, err) })
			return
		}
		connection := &Conn{openCount: &l.open, dialed: true}
		l.Post(func() { // set up where the state lives, before a byte is read
			connection.handler = newHandler(connection)
			if err := l.register(dialed, connection); err != nil {
				connection.closed = true
				done(nil, err)
				return
			}
			done(connection, nil)
		})
	}()
}
