package upstream

import (
	"errors"
	"log/slog"
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
)

// maxHoldTime bounds how long a response that may belong to an earlier request is held.
const maxHoldTime = 2 * time.Second

var errRepeatedResponse = errors.New("second response to an earlier request")

// heldResponse is a response that may be a second one to an earlier request. HTTP/1.1 says of no response to which
// request it belongs: only the real one, behind it, shows that it was.
type heldResponse struct {
	response *http1.Message
	digests  exchangeDigests
	until    time.Duration // nothing came behind it by then: it is the real one
}

// mayBeRepeat reports whether a response to the connection's attempt may be a second one to an earlier request.
func (c *connection) mayBeRepeat(digests exchangeDigests, now time.Duration) bool {
	return !c.attempt.healthCheck && c.carried.hasResponse(digests, now) && !c.pool.upstream.history.common(digests)
}

// hold keeps a response that may be a second one to an earlier request, or fails the attempt if it is.
func (c *connection) hold(response *http1.Message, digests exchangeDigests, now time.Duration) {
	remaining := max(c.attempt.deadline-now, 0)
	c.held = &heldResponse{response: response, digests: digests, until: now + min(remaining/2, maxHoldTime)}
	if !c.parser.Idle() || c.pool.upstream.singleUse.active(c.pool.endpoint, now) {
		c.failHeld()
		return
	}
	slog.Info("repeated response held", "id", c.attempt.request.ID, "server", c.pool.endpoint.Address,
		"connection", c.number, "last_id", c.lastRequestID, "until_ms", (c.held.until - now).Milliseconds())
}

// failHeld fails the attempt whose response belongs to an earlier request. It may have run.
func (c *connection) failHeld() {
	c.pool.upstream.repeatReceived(c.pool.endpoint, c.sinceLastResponse())
	c.fail(Malformed, errRepeatedResponse)
}

// acceptHeld takes a held response for the attempt's: nothing came behind it. The connection is not used again.
func (c *connection) acceptHeld() {
	held := c.held
	c.held = nil
	held.response.Close = true
	slog.Info("repeated response accepted", "id", c.attempt.request.ID, "server", c.pool.endpoint.Address,
		"connection", c.number)
	c.pool.upstream.history.addCommon(held.digests, c.number)
	c.responseReceived(held.response)
}

// acceptHeldResponses accepts the held responses whose time is over.
func (u *Upstream) acceptHeldResponses(now time.Duration) {
	for _, attempt := range u.attempts {
		connection := attempt.connection
		if connection != nil && connection.held != nil && now >= connection.held.until {
			connection.acceptHeld()
		}
	}
}

// sinceLastResponse returns the time since the last response that was read for a request.
func (c *connection) sinceLastResponse() time.Duration {
	return c.pool.upstream.now() - c.carried[0].at
}

// repeatReceived notes that a server sent more than one response to a request, and how late.
func (u *Upstream) repeatReceived(from core.Endpoint, delay time.Duration) {
	u.UnsolicitedData++
	started, everywhere := u.singleUse.repeatReceived(from, delay, u.now())
	if !started {
		return
	}
	slog.Warn("connections used once", "server", from.Address, "delay_ms", delay.Milliseconds(),
		"all_servers", everywhere, "duration_s", singleUseTime.Seconds())
	for endpoint, pool := range u.pools {
		if everywhere || endpoint == from {
			pool.closeFree()
		}
	}
}
