package core

import "piernotch"

// Counts are running totals since the start of the process, for the log.
type Counts struct {
	// Requests by how they ended. Accepted is their sum and those that are pending.
	Accepted            int
	Served              int
	Rejected            int
	Failed              int
	ClientsDisconnected int

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

// countAttempt counts a completed attempt by its status.
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
