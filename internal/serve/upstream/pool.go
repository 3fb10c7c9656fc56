package upstream

import (
	"slices"
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/eventloop"
)

const (
	// settleTime is how long a connection is not reused after a response. Bytes
	// beyond the response may follow right behind it, and must not be read as the
	// next response.
	settleTime = 2 * core.TickInterval

	// maxConcurrentDials is how many connections to one endpoint may be dialed
	// at once. Accepting costs the server, so in a burst attempts wait for connections in use.
	maxConcurrentDials = 8
)

// pool holds the connections to one endpoint, and the attempts that wait for one.
type pool struct {
	upstream *Upstream
	endpoint core.Endpoint
	idle     []*connection // most recently used last
	settling []*connection // after a response, earliest first; not to be used yet
	waiting  []*attempt    // longest waiting first
	dials    int           // dials in progress
	draining bool          // the server drains or is gone: free connections are closed
}

// acquire gives an attempt the most recently used idle connection, or queues it
// and dials.
func (p *pool) acquire(attempt *attempt) {
	p.draining = false
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		connection := p.idle[last]
		p.idle = p.idle[:last]
		if connection.socket.InputEmpty() {
			p.assign(connection, attempt)
			return
		}
		// The server closed it or sent unsolicited data: its handler is told, and logs which.
	}
	attempt.waiting = true
	p.waiting = append(p.waiting, attempt)
	p.dialForWaiting()
}

// assign hands a free connection to an attempt.
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

// dialForWaiting opens connections for waiting attempts: no more than will be
// needed besides the settling ones, and no more than maxConcurrentDials at once.
func (p *pool) dialForWaiting() {
	for p.dials < maxConcurrentDials && p.dials+len(p.settling) < len(p.waiting) {
		p.dial()
	}
}

// dial opens one connection.
func (p *pool) dial() {
	p.dials++
	p.upstream.ConnectionsOpened++
	connection := &connection{
		number: p.upstream.ConnectionsOpened,
		pool:   p,
		parser: http1.NewResponseParser(http1.MaxBody),
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

// dialFailed fails the attempt that has waited longest: the dial was for it.
func (p *pool) dialFailed(err error) {
	if attempt := p.nextWaiting(); attempt != nil {
		p.upstream.fail(attempt, &AttemptError{Stage: Connecting, Address: p.endpoint.Address, Err: err})
	}
	p.dialForWaiting()
}

// nextWaiting removes and returns the attempt that has waited longest, nil if
// none waits.
func (p *pool) nextWaiting() *attempt {
	if len(p.waiting) == 0 {
		return nil
	}
	attempt := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	attempt.waiting = false
	return attempt
}

// removeWaiting takes an attempt out of the waiting list, so that no connection
// is opened for it any more.
func (p *pool) removeWaiting(cancelled *attempt) {
	cancelled.waiting = false
	p.waiting = slices.DeleteFunc(p.waiting, func(other *attempt) bool { return other == cancelled })
}

// release gives a free connection to the longest waiting attempt, or makes it
// idle.
func (p *pool) release(connection *connection) {
	if attempt := p.nextWaiting(); attempt != nil {
		p.assign(connection, attempt)
		return
	}
	if p.draining {
		connection.socket.Close()
		return
	}
	connection.lastActivity = p.upstream.now()
	p.idle = append(p.idle, connection)
}

// settle holds back a connection that has just carried a response.
func (p *pool) settle(connection *connection) {
	if p.draining {
		connection.socket.Close()
		return
	}
	connection.lastActivity = p.upstream.now()
	p.settling = append(p.settling, connection)
}

// releaseSettled releases the connections whose settle time is over.
func (p *pool) releaseSettled(now time.Duration) {
	for len(p.settling) > 0 && now-p.settling[0].lastActivity >= settleTime {
		connection := p.settling[0]
		p.settling = slices.Delete(p.settling, 0, 1)
		if connection.socket.InputEmpty() {
			p.release(connection)
		} else {
			p.dialForWaiting() // in its place; its handler is told what came, and closes it
		}
	}
}

// closeExpiredIdle closes the connections that were idle beyond the timeout.
func (p *pool) closeExpiredIdle(now time.Duration) {
	expired := 0
	for expired < len(p.idle) && now-p.idle[expired].lastActivity > p.upstream.idleTimeout {
		expired++
	}
	p.closeOldestIdle(expired)
}

// closeOldestIdle closes the given number of connections: those that have been idle longest.
func (p *pool) closeOldestIdle(count int) {
	for _, connection := range p.idle[:count] {
		connection.socket.Close()
	}
	p.idle = slices.Delete(p.idle, 0, count)
}

// startDraining closes all free connections and has those in use closed once
// they are free.
func (p *pool) startDraining() {
	p.draining = true
	p.closeFree()
}

// closeFree closes all connections that no attempt uses.
func (p *pool) closeFree() {
	p.closeOldestIdle(len(p.idle))
	for _, connection := range p.settling {
		connection.socket.Close()
	}
	p.settling = nil
	p.dialForWaiting()
}

// remove takes a closed connection out of the pool and replaces it for the
// attempts that wait.
func (p *pool) remove(closed *connection) {
	same := func(other *connection) bool { return other == closed }
	p.idle = slices.DeleteFunc(p.idle, same)
	p.settling = slices.DeleteFunc(p.settling, same)
	p.dialForWaiting()
}

// unused reports whether the pool has neither free connections nor waiting
// attempts nor dials in progress. Connections in use do not count.
func (p *pool) unused() bool {
	return len(p.idle)+len(p.settling)+len(p.waiting)+p.dials == 0
}
