package core

import "piernotch"

// Counts are running totals since the start of the process, for the log.
type Counts struct {
	// Requests by outcome. Accepted is the sum of the four others and the pending requests.
	Accepted            int
	Served              int
	Rejected            int
	Failed              int
	ClientsDisconnected int

	// Attempts is the number of StartAttempt effects. The others count unsuccessful attempts by status.
	Attempts      int
	Timeouts      int
	Resets        int
	ConnectFailed int
	Full          int
	Errors        int

	// DeadlineExceeded counts the failed requests that the module had not responded to by the deadline.
	DeadlineExceeded int
}

func (c *Counts) countResponse(result Result) {
	switch result {
	case Served:
		c.Served++
	case Rejected:
		c.Rejected++
	case Failed:
		c.Failed++
	}
}

// countAttempt counts a completed attempt, unless its status is OK, Cancelled or NotSent.
func (c *Counts) countAttempt(status piernotch.Status) {
	switch status {
	case piernotch.Timeout:
		c.Timeouts++
	case piernotch.Reset:
		c.Resets++
	case piernotch.ConnectFailed:
		c.ConnectFailed++
	case piernotch.Full:
		c.Full++
	case piernotch.Error:
		c.Errors++
	}
}
