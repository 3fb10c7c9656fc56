package downstream

import "log/slog"

// closeReason is why this process closes a client's connection, as the log says it.
type closeReason string

// The reasons.
const (
	closeLastResponse   closeReason = "last response"        // it said that the connection closes
	closeLingered       closeReason = "client did not close" // within lingerTimeout of the last response
	closeUnread         closeReason = "response not read"
	closeSilent         closeReason = "no first byte"
	closeIdleTooLong    closeReason = "idle"
	closeIdleAtShutdown closeReason = "idle at shutdown or drain"
	closeShed           closeReason = "descriptors short"
)

// logClose logs a close at level debug.
func (c *connection) logClose(reason closeReason) {
	slog.Debug("client connection closed", "reason", reason,
		"phase_ms", (c.downstream.now() - c.phaseStart).Milliseconds(), "received_data", c.receivedData)
}
