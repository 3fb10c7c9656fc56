package downstream

import (
	"time"

	"piernotch/internal/http1"
)

const (
	// firstByteTimeout is how long a new connection may send nothing at all.
	// Together with requestTimeout it bounds how long an attacker can hold a
	// descriptor without a request.
	firstByteTimeout = 2 * time.Second

	// requestTimeout is how long a request may take from its first byte to its
	// last.
	requestTimeout = 2 * time.Second

	// responseTimeout is how long a client may take to read its response.
	responseTimeout = 10 * time.Second

	// idleTimeout is how long a connection is kept between two requests.
	// crowdedIdleTimeout applies while clients hold more than a quarter of all
	// descriptors: clients that send one request and keep their connection would
	// otherwise use up the descriptors that other clients' requests need.
	idleTimeout        = 2 * time.Second
	crowdedIdleTimeout = 300 * time.Millisecond

	// lingerTimeout is how long input is read and discarded after the sending side
	// was closed, until the client closes its side. A close over unread bytes is a
	// reset, which would destroy a response that is still on its way.
	lingerTimeout = 2 * time.Second

	// drainIdleGrace is how long after the start of draining connections may stay
	// idle. The response to the next request closes a connection anyway, and a client
	// whose idle connection is closed may just have sent a request on it.
	drainIdleGrace = 2500 * time.Millisecond

	// newConnectionGrace is how long CloseIdle waits for the first request of a
	// connection that has just been accepted.
	newConnectionGrace = 300 * time.Millisecond
)

// Tick must be called once per core.TickInterval. It closes the connections that
// are done, that were silent or idle for too long, or whose client is too slow to
// send its request or to read its response.
func (d *Downstream) Tick() {
	now := d.now()
	idleLimit := idleTimeout
	if len(d.connections) > d.crowdedAbove {
		idleLimit = crowdedIdleTimeout
	}
	if d.drainingSince > 0 && now-d.drainingSince > drainIdleGrace {
		d.CloseIdle()
	}
	for c := range d.connections {
		c.enforceTimeouts(now, idleLimit)
	}
}

// enforceTimeouts applies the timeout of the connection's current phase.
func (c *connection) enforceTimeouts(now, idleLimit time.Duration) {
	age := now - c.phaseStart
	switch {
	case c.writeClosed:
		if age > lingerTimeout {
			c.closeNow(closeLingered)
		}
	case c.exchange != 0: // the core enforces the request's deadline
	case c.closing || c.socket.UnsentBytes() > 0:
		if age > responseTimeout {
			c.closeNow(closeUnread)
		} else if c.closing {
			c.closeWriteIfSent()
		}
	case !c.receivedData:
		if age > firstByteTimeout && c.socket.InputEmpty() {
			c.startClose(closeSilent)
		}
	case !c.parser.Idle():
		if age > requestTimeout {
			c.rejectMalformed(http1.StatusRequestTimeout, "the request did not come to its end")
		}
	case age > idleLimit && c.socket.InputEmpty():
		c.startClose(closeIdleTooLong)
	}
}

// CloseIdle closes all idle connections, except those on which a request has
// just arrived or is to be expected.
func (d *Downstream) CloseIdle() {
	now := d.now()
	for c := range d.connections {
		expectsFirstRequest := !c.receivedData && now-c.phaseStart <= newConnectionGrace
		if c.idle() && !expectsFirstRequest && c.socket.InputEmpty() {
			c.startClose(closeIdleAtShutdown)
		}
	}
}
