package loganalysis

import "piernotch/internal/lab/storednames"

// The log events that are counted. What balancers log under these names is listed in docs/ONCALL.md.
const (
	eventRequestReceived    = "request received"
	eventRequestCompleted   = "request completed"
	eventClientDisconnected = "client disconnected"
	eventAttemptStarted     = "attempt started"
	eventAttemptCompleted   = "attempt completed"
	eventEndpointUpdate     = "endpoint update"
	eventDiscoveryFailed    = "discovery failed"
	eventState              = "state"
)

// The keys that are read of them.
const (
	keyEvent    = "msg"
	keyTime     = "time"
	keyRequest  = "id"
	keyServer   = "server"
	keyResult   = "result"   // of a completed request
	keyAttempts = "attempts" // of a completed request: how many were started
	keyStatus   = "status"   // of a completed attempt
	keyWritten  = "written"  // of a completed attempt: whether it got a connection
	keyModule   = "module"   // of a state line: the decision module's state, as key=value
)

// PrintedStatuses returns counts by stored status under the names that the log has now.
func PrintedStatuses(counts map[string]int) map[string]int {
	printed := make(map[string]int, len(counts))
	for stored, count := range counts {
		printed[storednames.Display(storednames.AttemptStatuses, stored)] += count
	}
	return printed
}

// The results of a completed request.
const (
	resultServed   = "served"
	resultRejected = "rejected"
	resultFailed   = "failed"
)
