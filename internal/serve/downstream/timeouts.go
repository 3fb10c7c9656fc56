package downstream

import (
	"time"

	"piernotch/internal/http1"
)

const (
	// firstByteTimeout is how long a new connection may stay silent. Together with
	// requestTimeout it limits how long an attacker can hold a descriptor without
	// sending a complete request.
	firstByteTimeout = 2 * time.Second

	// requestTimeout is how long a request may take from its first byte to its
	// last.
	requestTimeout = 2 * time.Second

	// responseTimeout is how long a client may take to read its response.
	responseTimeout = 10 * time.Second

	// idleTimeout is how long a connection is kept open between two requests.
	// crowdedIdleTimeout applies while clients hold more than a quarter of all
	// descriptors. With the longer timeout, clients that send one request and keep their
	// connection open would use up the descriptors that other clients need.
	idleTimeout        = 2 * time.Second
	crowdedIdleTimeout = 300 * time.Millisecond

	// lingerTimeout is how long input is discarded after the sending side was closed,
	// unless the client closes its side earlier. Closing a socket with unread input
	// resets the connection, and could destroy a response in transit.
	lingerTimeout = 2 * time.Second

	// drainIdleGrace is how long connections may stay idle after draining has started.
	// They are not closed earlier because a client may just have sent a request on an
	// idle connection. The response to that request closes the connection anyway.
	drainIdleGrace = 2500 * time.Millisecond

	// newConnectionGrace is the age up to which CloseIdle does not close a connection
	// whose client has not sent a byte yet: its first request is still expected.
	newConnectionGrace = 300 * time.Millisecond
)

// Tick must be called once per core.TickInterval. It closes connections that were
// silent or idle for too long, or whose client is too slow to send its request, read
// its response or close its side. Once draining has lasted for more than
// drainIdleGrace, it calls CloseIdle. It also continues closes that waited for unsent
// output.
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
		c.updateResponseMemory()
		c.enforceTimeouts(now, idleLimit)
	}
}

// enforceTimeouts closes the connection, or rejects its incomplete request, if the
// current phase has lasted too long. It also continues a close that waited for unsent
// output. No timeout applies while a request waits for the core's response.
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

// CloseIdle closes all idle connections, except those with unread input and those whose
// first request is still expected (see newConnectionGrace).
func (d *Downstream) CloseIdle() {
	now := d.now()
	for c := range d.connections {
		expectsFirstRequest := !c.receivedData && now-c.phaseStart <= newConnectionGrace
		if c.idle() && !expectsFirstRequest && c.socket.InputEmpty() {
			c.startClose(closeIdleAtShutdown)
		}
	}
}
