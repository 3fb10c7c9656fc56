package downstream

import "log/slog"

// connectionState is what a connection is waiting for, for the log.
type connectionState uint8

const (
	stateSilent     connectionState = iota // its first byte
	stateIncomplete                        // the rest of a request
	statePending                           // the core's response
	stateUnread                            // the client's reading of a response
	stateIdle                              // the next request
	stateClosing                           // the client's close
	connectionStateCount
)

func (c *connection) state() connectionState {
	switch {
	case c.closing:
		return stateClosing
	case c.exchange != 0:
		return statePending
	case c.socket.UnsentBytes() > 0:
		return stateUnread
	case !c.receivedData:
		return stateSilent
	case !c.parser.Idle():
		return stateIncomplete
	}
	return stateIdle
}

// LogState logs how many client connections are in which state, and how many connections this
// process has closed for which reason since its start.
func (d *Downstream) LogState() {
	var counts [connectionStateCount]int
	for client := range d.connections {
		counts[client.state()]++
	}
	slog.Info(
		"client connections",
		"silent", counts[stateSilent],
		"incomplete", counts[stateIncomplete],
		"pending", counts[statePending],
		"unread", counts[stateUnread],
		"idle", counts[stateIdle],
		"closing", counts[stateClosing],
		"bad_requests", d.badRequests,
		"memory_rejected", d.memoryRejected,
		"closed_last_response", d.closes[closeLastResponse],
		"closed_lingered", d.closes[closeLingered],
		"closed_unread", d.closes[closeUnread],
		"closed_silent", d.closes[closeSilent],
		"closed_idle", d.closes[closeIdleTooLong],
		"closed_shutdown", d.closes[closeIdleAtShutdown],
		"closed_shed", d.closes[closeShed],
		"closed_memory", d.closes[closeMemory],
	)
}
