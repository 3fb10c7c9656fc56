package loganalysis

import "maps"

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

// storedStatuses are the statuses of attempts whose name in a stored report differs from that in the
// log. Logs of versions before the log's name changed have the stored one.
var storedStatuses = map[string]string{"not_sent": "moot"}

// storedStatus returns the name in a stored report of a status in the log, of any version.
func storedStatus(logged string) string {
	if stored, differs := storedStatuses[logged]; differs {
		return stored
	}
	return logged
}

// PrintedStatuses returns counts by stored status under the names that the log has now.
func PrintedStatuses(counts map[string]int) map[string]int {
	printed := maps.Clone(counts)
	for logged, stored := range storedStatuses {
		if count, counted := printed[stored]; counted {
			delete(printed, stored)
			printed[logged] += count
		}
	}
	return printed
}

// The results of a completed request.
const (
	resultServed   = "served"
	resultRejected = "rejected"
	resultFailed   = "failed"
)
