package core

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"piernotch"
)

// ShutdownGrace is how long the process still listens after a Shutdown, since clients learn of the shutdown
// with a delay.
const ShutdownGrace = 700 * time.Millisecond

const (
	// maxDrainTime is an upper limit: after ShutdownGrace, the platform waits for the longest deadline of a
	// request, but no longer than this, and may then kill the process.
	maxDrainTime = 3 * time.Second
	// responseMargin is the time that remains for the last response to reach its client before the platform
	// may kill the process.
	responseMargin = 200 * time.Millisecond
)

// ShuttingDown reports whether a graceful shutdown has started.
func (c *Core) ShuttingDown() bool { return c.shuttingDown }

// handleShutdown starts a graceful shutdown: after ShutdownGrace the process stops listening, and it
// exits once no response is pending.
func (c *Core) handleShutdown() {
	if c.shuttingDown {
		return
	}
	c.shuttingDown = true
	c.respondBy = c.now + ShutdownGrace + min(c.longestDeadline(), maxDrainTime) - responseMargin
	c.timers.At(c.now+ShutdownGrace, func() {
		c.stoppedListening = true
		c.emit(StopListening{})
	})
	// Requests that were open before the shutdown keep their deadline. This timer fails them if the
	// platform may kill the process before that deadline.
	c.timers.At(c.respondBy+overdueMargin, c.failPending)
}

// failPending fails all requests without a response, shortly before the platform may kill the process.
func (c *Core) failPending() {
	for _, exchange := range slices.Sorted(maps.Keys(c.exchanges)) {
		request := c.exchanges[exchange]
		slog.Info("request failed before the kill", "id", request.clientID, "attempts", len(request.attempts),
			"remaining_ms", (request.deadline - c.now).Milliseconds())
		c.failUnanswered(request, piernotch.Timeout)
	}
}

// longestDeadline returns the longest deadline of any class, counted from the receipt of a request.
func (c *Core) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
