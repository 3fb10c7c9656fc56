package downstream

import "log/slog"

// closeReason is why this process closes a client's connection, as logged under the
// key "reason".
type closeReason string

const (
	closeLastResponse   closeReason = "last response"        // the response announced the close
	closeLingered       closeReason = "client did not close" // the client's side is still open after lingerTimeout
	closeUnread         closeReason = "response not read"
	closeSilent         closeReason = "no first byte"
	closeIdleTooLong    closeReason = "idle"
	closeIdleAtShutdown closeReason = "idle at shutdown or drain"
	closeShed           closeReason = "descriptors short"
)

// logClose logs the close at level debug, with its reason, the duration of the current
// phase (see phaseStart) and whether the client has sent data.
func (c *connection) logClose(reason closeReason) {
	slog.Debug("client connection closed", "reason", reason,
		"phase_ms", (c.downstream.now() - c.phaseStart).Milliseconds(), "received_data", c.receivedData)
}
