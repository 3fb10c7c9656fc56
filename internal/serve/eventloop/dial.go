package eventloop

import (
	"net"
	"time"
)

// dialOvershoot is the number of descriptors by which ordinary dials may exceed the limit after
// ShedAll. The connections that ShedAll closes are counted as closed only a moment later; until
// then the reserved descriptors cover the excess.
const dialOvershoot = ReservedDescriptors / 4

// DialKind says which descriptors a dial may use.
type DialKind uint8

// The kinds of dials, with the descriptors that they may use.
const (
	OrdinaryDial DialKind = iota // descriptors within the limit
	ReservedDial                 // also ReservedDescriptors, for a connection that the process cannot work without
)

// Target is the destination of a dial.
type Target struct {
	Address string // IP address and port
	Timeout time.Duration
	Kind    DialKind
}

// Dial connects to a target. When the connection is up, newHandler returns its handler. Then, or
// when the dial has failed, done is called with the connection or the error, which is
// ErrDescriptorsExhausted if the descriptor limit is reached. newHandler and done run on the owning
// goroutine after Dial has returned. Dial must be called on the owning goroutine.
//
// Package net dials, and nbio takes over the established connection: nbio's own asynchronous dial
// reports a refused connection as established, and its timeout may fire on an established
// connection.
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
	// Owned by the Loop; ends when the dial does, at the latest after its timeout.
	go func() {
		dialed, err := net.DialTimeout("tcp", target.Address, target.Timeout)
		if err != nil {
			l.open.Add(-1)
			l.Post(func() { done(nil, err) })
			return
		}
		connection := &Conn{loop: l, openCount: &l.open, dialed: true}
		l.Post(func() {
			if err := connection.takeOver(dialed); err != nil {
				_ = dialed.Close()
				connection.release()
				done(nil, err)
				return
			}
			l.register(connection, func(err error) {
				if err != nil {
					done(nil, err)
					return
				}
				connection.handler = newHandler(connection)
				done(connection, nil)
			})
		})
	}()
}
