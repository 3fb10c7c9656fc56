package upstream

import (
	"errors"
	"fmt"
	"syscall"
)

var (
	errResponseMemory = errors.New("no memory for the rest of the response")
	// errRequestMemory is a shortage on this machine: it says nothing about the server.
	errRequestMemory = fmt.Errorf("no memory for the unsent part of the request: %w", syscall.ENOBUFS)
)

// chargeRequest charges the pool of requests for what the kernel has not accepted of the attempt's request. If the pool
// does not fit any more, the attempt fails: the server has not received the whole request, and cannot have executed it.
func (c *connection) chargeRequest() {
	c.requestMemory.SetHeld(c.socket.UnsentBytes())
	if c.requestMemory.Charged() > 0 && !c.pool.upstream.requestMemory.Fits() {
		c.fail(Writing, errRequestMemory)
	}
}

// chargeResponse charges the pool of responses for what has arrived of the attempt's response. If the pool does not fit
// any more, it returns errResponseMemory.
func (c *connection) chargeResponse() error {
	c.responseMemory.SetHeld(int64(c.parser.Held()))
	if c.responseMemory.Charged() > 0 && !c.pool.upstream.responseMemory.Fits() {
		return errResponseMemory
	}
	return nil
}

// updateRequestMemory records how much of the attempts' requests is still unsent.
func (u *Upstream) updateRequestMemory() {
	for _, attempt := range u.attempts {
		if connection := attempt.connection; connection != nil && connection.requestMemory.Charged() > 0 {
			connection.requestMemory.SetHeld(connection.socket.UnsentBytes())
		}
	}
}

// releaseMemory records that the connection holds neither a request nor a response.
func (c *connection) releaseMemory() {
	c.requestMemory.SetHeld(0)
	c.responseMemory.SetHeld(0)
}

// close closes the socket and releases what the connection holds.
func (c *connection) close() {
	c.socket.Close()
	c.parser.Discard()
	c.releaseMemory()
}
