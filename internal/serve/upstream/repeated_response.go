package upstream

import (
	"errors"
	"log/slog"
	"time"

	"piernotch/internal/serve/core"
)

var errRepeatedResponse = errors.New("no success behind a second response to an earlier request")

// isRepeat reports whether a response is a second response to an earlier request: the connection has recently carried
// an equal one. Requests that may get equal responses do not share a connection: see canCarry and responseHistory. The
// result is always false for a health check.
func (c *connection) isRepeat(response uint64, now time.Duration) bool {
	return !c.attempt.healthCheck && c.carried.hasResponse(response, now)
}

// dropRepeat drops a second response to an earlier request, and reports it to repeatReceived. The attempt's own
// response is still due, however long it takes.
func (c *connection) dropRepeat(digests exchangeDigests) {
	c.repeatDropped = true
	c.responseStarted = !c.parser.Idle()
	slog.Info("repeated response dropped", "id", c.attempt.requestID, "server", c.pool.endpoint.Address,
		"connection", c.number, "last_id", c.lastRequestID)
	// It may be one that servers give to many requests after all.
	c.pool.upstream.history.addCommon(c.attempt.class, digests)
	c.pool.upstream.repeatReceived(c.pool.endpoint, c.sinceLastResponse())
}

// sinceLastResponse returns the time since the last response on the connection. A dropped response does not count.
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
