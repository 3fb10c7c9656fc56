package upstream

import (
	"slices"
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
)

const (
	// settleTime is how long a connection is not reused after a response. Surplus
	// bytes may directly follow the response, and must not be read as the next
	// response.
	settleTime = 2 * core.TickInterval

	// maxConcurrentDials limits the dials to one endpoint that are in progress at a time.
	// Accepting a connection costs the server work, so in a burst the other attempts
	// wait until connections in use become free.
	maxConcurrentDials = 8
)

// pool holds the free connections to one endpoint, and the attempts that wait for a connection.
type pool struct {
	upstream *Upstream
	endpoint core.Endpoint
	idle     []*connection // most recently used last
	settling []*connection // not reused until settleTime after their response; earliest first
	waiting  []*attempt    // longest waiting first
	dials    int           // number of dials in progress
	draining bool          // the server is draining or gone: connections are closed once free
	// generation is the number of times that draining has started. Connections of an earlier generation are never
	// reused: they may lead to an earlier process of the server, which now stands for another one at its address.
	generation int
}

// acquire assigns the most recently used idle connection that can carry an attempt. If there is none, it queues the
// attempt and dials if necessary. It also ends the pool's draining.
func (p *pool) acquire(attempt *attempt) {
	p.draining = false
	now := p.upstream.now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		connection := p.idle[i]
		if !connection.canCarry(attempt, now) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if connection.socket.InputEmpty() {
			p.assign(connection, attempt)
			return
		}
		// The server has closed the connection or sent unsolicited data. The connection's handler will log such
		// data and close the connection.
	}
	attempt.waiting = true
	p.waiting = append(p.waiting, attempt)
	p.dialForWaiting()
}

// assign gives a free connection to an attempt. A health check's request is written at once. For any other attempt
// core.AttemptConnected is emitted, and the core decides whether the request is written.
func (p *pool) assign(connection *connection, attempt *attempt) {
	now := p.upstream.now()
	connection.attempt = attempt
	connection.requestWritten = false
	connection.responseStarted = false
	connection.idleFor = now - connection.lastActivity
	attempt.connection = connection
	attempt.waiting = false
	if attempt.healthCheck {
		connection.writeRequest(now)
		return
	}
	p.upstream.emit(core.AttemptConnected{Ref: attempt.ref})
}

// dialForWaiting dials for those waiting attempts for which there is no settling
// connection and no dial in progress, with at most maxConcurrentDials dials at a time.
func (p *pool) dialForWaiting() {
	for p.dials < maxConcurrentDials && p.dials+len(p.settling) < len(p.waiting) {
		p.dial()
	}
}

// dial starts to open a connection. Later release is called with the connection, or
// dialFailed with an error.
func (p *pool) dial() {
	p.dials++
	p.upstream.ConnectionsOpened++
	connection := &connection{
		number:     p.upstream.ConnectionsOpened,
		pool:       p,
		generation: p.generation,
		parser:     http1.NewResponseParser(http1.MaxBody),

		requestMemory:  p.upstream.requestMemory.NewAccount(),
		responseMemory: p.upstream.responseMemory.NewAccount(),
	}
	opened := func(socket *eventloop.Conn) eventloop.Handler {
		connection.socket = socket
		return connection
	}
	done := func(_ *eventloop.Conn, err error) {
		p.dials--
		if err != nil {
			p.dialFailed(err)
			return
		}
		connection.lastActivity = p.upstream.now()
		p.release(connection)
	}
	target := eventloop.Target{Address: p.endpoint.Address, Timeout: p.upstream.dialTimeout}
	p.upstream.loop.Dial(target, opened, done)
}

// dialFailed fails the attempt that has waited longest, because each dial is for one
// attempt. It dials for the other waiting attempts if necessary.
func (p *pool) dialFailed(err error) {
	if attempt := p.takeWaiting(func(*attempt) bool { return true }); attempt != nil {
		p.upstream.fail(attempt, &AttemptError{Stage: Connecting, Address: p.endpoint.Address, Err: err})
	}
	p.dialForWaiting()
}

// takeWaiting removes and returns the attempt that has waited longest of those that satisfy a condition, or nil if
// there is none.
func (p *pool) takeWaiting(satisfies func(*attempt) bool) *attempt {
	i := slices.IndexFunc(p.waiting, satisfies)
	if i < 0 {
		return nil
	}
	attempt := p.waiting[i]
	p.waiting = slices.Delete(p.waiting, i, i+1)
	attempt.waiting = false
	return attempt
}

// removeWaiting removes an attempt from the waiting list, so that no connection is
// dialed for it.
func (p *pool) removeWaiting(cancelled *attempt) {
	cancelled.waiting = false
	p.waiting = slices.DeleteFunc(p.waiting, func(other *attempt) bool { return other == cancelled })
}

// release gives a free connection to the attempt that has waited longest of those that it can carry. If there is
// none, the connection becomes idle, or is closed if the pool is draining. Others are dialed for the attempts that it
// cannot carry. A connection of an earlier generation is closed.
func (p *pool) release(connection *connection) {
	if connection.generation != p.generation {
		connection.closeAndReplace()
		return
	}
	now := p.upstream.now()
	carried := p.takeWaiting(func(waiting *attempt) bool { return connection.canCarry(waiting, now) })
	switch {
	case carried != nil:
		p.assign(connection, carried)
		return
	case p.draining:
		connection.close()
	default:
		connection.lastActivity = now
		p.idle = append(p.idle, connection)
	}
	p.dialForWaiting()
}

// settle keeps a connection from reuse for settleTime after a response, or closes it
// if the pool is draining or the connection is of an earlier generation.
func (p *pool) settle(connection *connection) {
	if p.draining || connection.generation != p.generation {
		connection.closeAndReplace()
		return
	}
	connection.lastActivity = p.upstream.now()
	p.settling = append(p.settling, connection)
}

// releaseSettled releases the connections whose settleTime has passed, except those
// that the server has closed or sent data on.
func (p *pool) releaseSettled(now time.Duration) {
	for len(p.settling) > 0 && now-p.settling[0].lastActivity >= settleTime {
		connection := p.settling[0]
		p.settling = slices.Delete(p.settling, 0, 1)
		if connection.socket.InputEmpty() {
			p.release(connection)
		} else {
			// The server has closed the connection or sent data, so the connection's handler will close it. Dial
			// a replacement if an attempt needs one.
			p.dialForWaiting()
		}
	}
}

// closeExpiredIdle closes the connections that have been idle for longer than idleTimeout.
func (p *pool) closeExpiredIdle(now time.Duration) {
	expired := 0
	for expired < len(p.idle) && now-p.idle[expired].lastActivity > p.upstream.idleTimeout {
		expired++
	}
	p.closeOldestIdle(expired)
}

// closeOldestIdle closes count connections: those that have been idle longest.
func (p *pool) closeOldestIdle(count int) {
	for _, connection := range p.idle[:count] {
		connection.close()
	}
	p.idle = slices.Delete(p.idle, 0, count)
}

// startDraining closes the free connections now, and the others once they are free.
func (p *pool) startDraining() {
	p.draining = true
	p.generation++
	p.closeFree()
}

// closeFree closes all connections that no attempt uses. It dials for waiting
// attempts that would have got a settling connection.
func (p *pool) closeFree() {
	p.closeOldestIdle(len(p.idle))
	for _, connection := range p.settling {
		connection.close()
	}
	p.settling = nil
	p.dialForWaiting()
}

// remove removes a closed connection from the pool, and dials a replacement if an
// attempt needs one.
func (p *pool) remove(closed *connection) {
	same := func(other *connection) bool { return other == closed }
	p.idle = slices.DeleteFunc(p.idle, same)
	p.settling = slices.DeleteFunc(p.settling, same)
	p.dialForWaiting()
}

// unused reports whether the pool has no free connections, waiting attempts or dials
// in progress. Connections in use do not count.
func (p *pool) unused() bool {
	return len(p.idle)+len(p.settling)+len(p.waiting)+p.dials == 0
}
