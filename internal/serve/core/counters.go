package core

import "piernotch"

// Counts are running totals since the start of the process, for the log.
type Counts struct {
	// Requests by how they ended. Accepted is their sum and those that are pending.
	Accepted    int
	Served      int
	Rejected    int
	Failed      int
	ClientsGone int

	// Attempts that were started outside, and the unsuccessful ones by status.
	Attempts      int
	Timeouts      int
	Resets        int
	ConnectFailed int
	Full          int
	Errors        int

	// DeadlineExceeded are those among Failed that the module had left without a response.
	DeadlineExceeded int
}

// countResponse counts a request by its result.
func (n *Counts) countResponse(result Result) {
	switch result {
	case Served:
		n.Served++
	case Rejected:
		n.Rejected++
	case Failed:
		n.Failed++
	}
}

// countAttempt counts a completed attempt by its status.
func (n *Counts) countAttempt(status piernotch.Status) {
	switch status {
	case piernotch.Timeout:
		n.Timeouts++
	case piernotch.Reset:
		n.Resets++
	case piernotch.ConnectFailed:
		n.ConnectFailed++
	case piernotch.Full:
		n.Full++
	case piernotch.Error:
		n.Errors++
	}
}
