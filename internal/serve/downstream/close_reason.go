package downstream

import "log/slog"

// closeReason is why this process closes a client's connection, as logged under the
// key "reason".
type closeReason uint8

const (
	closeLastResponse   closeReason = iota // the response announced the close
	closeLingered                          // the client's side is still open after lingerTimeout
	closeUnread                            // the client did not read its response in time
	closeSilent                            // the client sent no byte in time
	closeIdleTooLong                       // no request came in time
	closeIdleAtShutdown                    // idle at shutdown or drain
	closeShed                              // descriptors were short
	closeMemory                            // unread responses had used up their memory
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	closeLastResponse:   "last response",
	closeLingered:       "client did not close",
	closeUnread:         "response not read",
	closeSilent:         "no first byte",
	closeIdleTooLong:    "idle",
	closeIdleAtShutdown: "idle at shutdown or drain",
	closeShed:           "descriptors short",
	closeMemory:         "response memory short",
}

// String returns the reason as it appears in the log.
func (r closeReason) String() string { return closeReasonNames[r] }

// recordClose counts the close, and logs it at level debug with its reason, the duration of the
// current phase (see phaseStart) and whether the client has sent data.
func (c *connection) recordClose(reason closeReason) {
	c.downstream.closes[reason]++
	slog.Debug("client connection closed", "reason", reason, "client", c.socket.RemoteAddress(),
		"phase_ms", (c.downstream.now() - c.phaseStart).Milliseconds(), "received_data", c.receivedData)
}
