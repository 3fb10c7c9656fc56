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

	// maxConcurrentDials is how many connections to one endpoint may be in the
	// making at once. Accepting costs the feed server, so a burst waits for
	// connections in use.
	maxConcurrentDials = 8
)

// pool holds the connections to one endpoint, and the attempts that wait for one.
type pool struct {
	upstream *Upstream
	endpoint core.Endpoint
	idle     []*connection // most recently used last
	settling []*connection // after a response, earliest first; not to be used yet
	waiting  []*attempt    // longest wait first
	dials    int           // dials in progress
	draining bool          // the server drains or is gone: free connections are closed
}

// acquire gives an attempt the most recently used idle connection, or queues it
// and dials.
func (p *pool) acquire(a *attempt) {
	p.draining = false
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if c.socket.InputEmpty() {
			p.assign(c, a)
			return
		}
		c.socket.Close() // the server closed it or sent unsolicited data
	}
	a.waiting = true
	p.waiting = append(p.waiting, a)
	p.dialForWaiting()
}

// assign hands a free connection to an attempt.
func (p *pool) assign(c *connection, a *attempt) {
	now := p.upstream.now()
	c.attempt = a
	c.requestWritten = false
	c.responseStarted = false
	c.idleFor = now - c.lastActivity
	a.conn = c
	a.waiting = false
	if a.healthCheck {
		c.writeRequest(now)
		return
	}
	p.upstream.emit(core.AttemptConnected{Ref: a.ref})
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
	c := &connection{pool: p, parser: http1.NewResponseParser(http1.MaxBody)}
	opened := func(socket *eventloop.Conn) eventloop.Handler {
		c.socket = socket
		return c
	}
	done := func(_ *eventloop.Conn, err error) {
		p.dials--
		if err != nil {
			p.dialFailed(err)
			return
		}
		c.lastActivity = p.upstream.now()
		p.release(c)
	}
	p.upstream.loop.Dial(p.endpoint.Address, p.upstream.dialTimeout, opened, done)
}

// dialFailed fails the attempt that has waited longest: the dial was for it.
func (p *pool) dialFailed(err error) {
	if a := p.nextWaiting(); a != nil {
		p.upstream.fail(a, &AttemptError{Stage: Connecting, Address: p.endpoint.Address, Err: err})
	}
	p.dialForWaiting()
}

// nextWaiting removes and returns the attempt that has waited longest, nil if
// none waits.
func (p *pool) nextWaiting() *attempt {
	if len(p.waiting) == 0 {
		return nil
	}
	a := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	a.waiting = false
	return a
}

// removeWaiting takes an attempt out of the waiting list, so that no connection
// is opened for it any more.
func (p *pool) removeWaiting(a *attempt) {
	a.waiting = false
	p.waiting = slices.DeleteFunc(p.waiting, func(other *attempt) bool { return other == a })
}

// release gives a free connection to the longest waiting attempt, or makes it
// idle.
func (p *pool) release(c *connection) {
	if a := p.nextWaiting(); a != nil {
		p.assign(c, a)
		return
	}
	if p.draining {
		c.socket.Close()
		return
	}
	c.lastActivity = p.upstream.now()
	p.idle = append(p.idle, c)
}

// settle holds back a connection that has just carried a response.
func (p *pool) settle(c *connection) {
	if p.draining {
		c.socket.Close()
		return
	}
	c.lastActivity = p.upstream.now()
	p.settling = append(p.settling, c)
}

// releaseSettled releases the connections whose settle time is over.
func (p *pool) releaseSettled(now time.Duration) {
	for len(p.settling) > 0 && now-p.settling[0].lastActivity >= settleTime {
		c := p.settling[0]
		p.settling = slices.Delete(p.settling, 0, 1)
		if c.socket.InputEmpty() {
			p.release(c)
		} else {
			c.closeAndReplace()
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

// closeOldestIdle closes the n connections that have been idle longest.
func (p *pool) closeOldestIdle(n int) {
	for _, c := range p.idle[:n] {
		c.socket.Close()
	}
	p.idle = slices.Delete(p.idle, 0, n)
}

// startDraining closes all free connections and has those in use closed once
// they are free.
func (p *pool) startDraining() {
	p.draining = true
	p.closeOldestIdle(len(p.idle))
	for _, c := range p.settling {
		c.socket.Close()
	}
	p.settling = nil
	p.dialForWaiting()
}

// remove takes a closed connection out of the pool and replaces it for the
// attempts that wait.
func (p *pool) remove(c *connection) {
	same := func(other *connection) bool { return other == c }
	p.idle = slices.DeleteFunc(p.idle, same)
	p.settling = slices.DeleteFunc(p.settling, same)
	p.dialForWaiting()
}

// unused reports whether the pool has neither free connections nor waiting
// attempts nor dials in progress. Connections in use do not count.
func (p *pool) unused() bool {
	return len(p.idle)+len(p.settling)+len(p.waiting)+p.dials == 0
}
