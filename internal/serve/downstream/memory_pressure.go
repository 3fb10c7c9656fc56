package downstream

import (
	"log/slog"
	"time"

	"piernotch/internal/http1"
)

// memoryLogInterval is the minimum time between two log lines about a lasting shortage of memory.
const memoryLogInterval = time.Second

// chargeRequest charges the pool of requests for what the connection holds of a request; message is the request if it
// is complete. If the pool does not fit any more, requests that have not been passed on are rejected. chargeRequest
// returns false if this one was.
func (c *connection) chargeRequest(message *http1.Message) (accepted bool) {
	held := c.parser.Held()
	if message != nil {
		held += message.Size()
	}
	c.holdRequest(int64(held))
	if !c.downstream.requestMemory.Fits() {
		c.rejectForMemory()
	}
	return !c.closing
}

// rejectSlowestRequest rejects the slowest of the requests that are charged to the pool and have not been passed on. A
// client that has stopped, or sends little by little, thereby makes room for those that send on. It returns false if
// there is no such request.
func (d *Downstream) rejectSlowestRequest() bool {
	var slowest *connection
	now := d.now()
	for client := range d.charged {
		if client.exchange != 0 {
			continue
		}
		if slowest == nil || client.receiveRate(now) < slowest.receiveRate(now) {
			slowest = client
		}
	}
	if slowest == nil {
		return false
	}
	slowest.rejectForMemory()
	return true
}

// holdRequest records how many bytes the connection holds of a request.
func (c *connection) holdRequest(bytes int64) {
	c.requestMemory.SetHeld(bytes)
	if c.requestMemory.Charged() > 0 {
		c.downstream.charged[c] = struct{}{}
	} else {
		delete(c.downstream.charged, c)
	}
}

// receiveRate returns the mean rate at which a request in progress has arrived so far, in charged bytes per second.
func (c *connection) receiveRate(now time.Duration) float64 {
	age := max(now-c.phaseStart, time.Millisecond)
	return float64(c.requestMemory.Charged()) / age.Seconds()
}

// rejectForMemory rejects a request that the core does not know of, and ends the connection, because the rest of the
// request is not kept.
func (c *connection) rejectForMemory() {
	d := c.downstream
	d.memoryRejected++
	if now := d.now(); d.memoryLogged == 0 || now-d.memoryLogged >= memoryLogInterval {
		d.memoryLogged = now
		slog.Warn("request memory used up", "used_kb", d.requestMemory.Used()>>10,
			"limit_kb", d.requestMemory.Limit()>>10, "rejected", d.memoryRejected, "client", c.socket.RemoteAddress(),
			"held", c.requestMemory.Charged(), "phase_ms", (now - c.phaseStart).Milliseconds())
	}
	c.parser.Discard()
	c.holdRequest(0)
	c.closeAfterResponse = true
	c.respondRejected(0)
}

// chargeResponse charges the pool of responses for the part of the output that the kernel has not accepted. If the
// pool does not fit any more, connections whose client does not read are closed. chargeResponse returns false if this
// one was.
func (c *connection) chargeResponse() (open bool) {
	c.responseMemory.SetHeld(c.socket.UnsentBytes())
	c.downstream.responseMemory.Fits()
	_, open = c.downstream.connections[c]
	return open
}

// updateResponseMemory records how much of the output is still unsent.
func (c *connection) updateResponseMemory() {
	if c.responseMemory.Charged() > 0 {
		c.responseMemory.SetHeld(c.socket.UnsentBytes())
	}
}

// closeSlowestReader closes the connection whose client has left a response unread for longest. It returns false if
// there is no unread response.
func (d *Downstream) closeSlowestReader() bool {
	var slowest *connection
	for client := range d.connections {
		if client.responseMemory.Charged() > 0 && (slowest == nil || client.phaseStart < slowest.phaseStart) {
			slowest = client
		}
	}
	if slowest == nil {
		return false
	}
	slowest.closeNow(closeMemory)
	return true
}
