package upstream

import (
	"errors"
	"log/slog"
	"time"

	"piernotch/internal/http1"
	"piernotch/internal/serve/core"
)

// maxHoldTime is the longest time that a response is held because it may belong to an earlier request.
const maxHoldTime = 2 * time.Second

var errRepeatedResponse = errors.New("second response to an earlier request")

// heldResponse is a response that may be a second response to an earlier request. An HTTP/1.1 response does not name
// its request. So only the attempt's own response, if it follows, shows that the held response belongs to an earlier
// request.
type heldResponse struct {
	response *http1.Message
	digests  exchangeDigests
	until    time.Duration // if nothing has followed by then, the response counts as the attempt's own
}

// mayBeRepeat reports whether a response may be a second response to an earlier request: the connection has
// recently carried the same response, and the response is not a common one (see responseHistory). The result is always false for a health check.
func (c *connection) mayBeRepeat(digests exchangeDigests, now time.Duration) bool {
	return !c.attempt.healthCheck && c.carried.hasResponse(digests, now) && !c.pool.upstream.history.common(digests)
}

// hold holds back a response that may belong to an earlier request, for half of the attempt's remaining time and at
// most maxHoldTime. It fails the attempt at once if more data has followed. It also does so while singleUse is active
// for the endpoint, because late second responses are then likely.
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

// failHeld fails the attempt because the held response belongs to an earlier request, and reports the held response to
// repeatReceived. The server may have executed the attempt's request.
func (c *connection) failHeld() {
	c.pool.upstream.repeatReceived(c.pool.endpoint, c.sinceLastResponse())
	c.fail(Malformed, errRepeatedResponse)
}

// acceptHeld ends the attempt with the held response, because nothing followed it, and records the response as common.
// The connection is not reused.
func (c *connection) acceptHeld() {
	held := c.held
	c.held = nil
	held.response.Close = true
	slog.Info("repeated response accepted", "id", c.attempt.request.ID, "server", c.pool.endpoint.Address,
		"connection", c.number)
	c.pool.upstream.history.addCommon(held.digests, c.number)
	c.responseReceived(held.response)
}

// acceptHeldResponses accepts the held responses whose hold time is over.
func (u *Upstream) acceptHeldResponses(now time.Duration) {
	for _, attempt := range u.attempts {
		connection := attempt.connection
		if connection != nil && connection.held != nil && now >= connection.held.until {
			connection.acceptHeld()
		}
	}
}

// sinceLastResponse returns the time since the last response on the connection. A held response does not count.
// Without an earlier response, it returns the clock's time.
func (c *connection) sinceLastResponse() time.Duration {
	return c.pool.upstream.now() - c.carried.lastAt()
}

// repeatReceived counts a second response to a request, which came delay after the first one. If single use starts
// because of this response, the free connections to the server, or to all servers, are closed.
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
