package loganalysis

import (
	"cmp"
	"slices"

	"piernotch/internal/lab/storednames"
)

// Second is what all balancers did in one second.
type Second struct {
	Second            int            `json:"second"`
	Requests          int            `json:"requests"` // received
	Served            int            `json:"served"`
	Rejected          int            `json:"refused"`
	RejectedUnsent    int            `json:"never_sent"` // of the rejected: those without an attempt
	Failed            int            `json:"failed"`
	ClientDisconnects int            `json:"given_up"`
	Attempts          int            `json:"sends"`                       // started
	AttemptStatuses   map[string]int `json:"ends"`                        // completed attempts, by stored status
	UnwrittenAttempts int            `json:"attempts_without_connection"` // completed before they were written
	DiscoveryFailures int            `json:"list_failures"`
}

// Server is what one server was sent.
type Server struct {
	Name            string         `json:"name"`
	Attempts        int            `json:"sends"`
	AttemptStatuses map[string]int `json:"ends"`      // completed attempts, by stored status
	FirstUpdate     float64        `json:"listed"`    // seconds, of its first endpoint update; 0: never
	PeakAttempts    int            `json:"most"`      // most attempts within any window
	PeakTime        float64        `json:"most_at"`   // seconds, the end of that window
	PeakBalancers   int            `json:"balancers"` // that the attempts of that window came from
	attempts        []attempt
}

// attempt is one attempt that was started at a server.
type attempt struct {
	time     float64
	balancer string
}

// Report is the sum over all balancers.
type Report struct {
	Balancers int      `json:"balancers"`
	Skipped   int      `json:"skipped"` // lines that could not be read
	Seconds   []Second `json:"seconds"` // in order; those without a line are left out
	Servers   []Server `json:"servers"` // highest peak first
}

// Summarize counts over the logs of all balancers of a folder. The window, in seconds, is that in which
// a server's peak of attempts is looked for. Errors are those of Each.
func Summarize(dir string, window float64) (*Report, error) {
	counts := counter{seconds: map[int]*Second{}, servers: map[string]*Server{}}
	files, skipped, err := Each(dir, counts.count)
	if err != nil {
		return nil, err
	}
	report := &Report{Balancers: files, Skipped: skipped}
	for _, second := range counts.seconds {
		report.Seconds = append(report.Seconds, *second)
	}
	slices.SortFunc(report.Seconds, func(a, b Second) int { return cmp.Compare(a.Second, b.Second) })
	for _, server := range counts.servers {
		server.findPeak(window)
		report.Servers = append(report.Servers, *server)
	}
	slices.SortFunc(report.Servers, func(a, b Server) int {
		return cmp.Or(cmp.Compare(b.PeakAttempts, a.PeakAttempts), cmp.Compare(a.Name, b.Name))
	})
	return report, nil
}

// counter counts lines by second and by server.
type counter struct {
	seconds map[int]*Second
	servers map[string]*Server
}

// count counts one line.
func (c *counter) count(line Line) {
	second := c.second(int(line.Time))
	switch line.Event {
	case eventRequestReceived:
		second.Requests++
	case eventRequestCompleted:
		second.countCompletedRequest(line)
	case eventClientDisconnected:
		second.ClientDisconnects++
	case eventAttemptStarted:
		second.Attempts++
		server := c.server(line)
		server.attempts = append(server.attempts, attempt{line.Time, line.Balancer})
	case eventAttemptCompleted:
		status := storednames.Stored(storednames.AttemptStatuses, line.Fields[keyStatus])
		second.AttemptStatuses[status]++
		c.server(line).AttemptStatuses[status]++
		if line.Fields[keyWritten] == "false" {
			second.UnwrittenAttempts++
		}
	case eventEndpointUpdate:
		server := c.server(line)
		if server.FirstUpdate == 0 || line.Time < server.FirstUpdate {
			server.FirstUpdate = line.Time
		}
	case eventDiscoveryFailed:
		second.DiscoveryFailures++
	}
}

func (c *counter) second(number int) *Second {
	second := c.seconds[number]
	if second == nil {
		second = &Second{Second: number, AttemptStatuses: map[string]int{}}
		c.seconds[number] = second
	}
	return second
}

// server returns the counts of the server that a line names.
func (c *counter) server(line Line) *Server {
	name := line.Fields[keyServer]
	server := c.servers[name]
	if server == nil {
		server = &Server{Name: name, AttemptStatuses: map[string]int{}}
		c.servers[name] = server
	}
	return server
}

func (s *Second) countCompletedRequest(line Line) {
	switch line.Fields[keyResult] {
	case resultServed:
		s.Served++
	case resultRejected:
		s.Rejected++
		if line.Fields[keyAttempts] == "0" {
			s.RejectedUnsent++
		}
	case resultFailed:
		s.Failed++
	}
}

// findPeak finds the window, in seconds, in which the server was sent most attempts.
func (s *Server) findPeak(window float64) {
	s.Attempts = len(s.attempts)
	if s.Attempts == 0 { // single attempts are logged at level debug alone
		return
	}
	slices.SortFunc(s.attempts, func(a, b attempt) int { return cmp.Compare(a.time, b.time) })
	first, peakEnd := 0, 0 // of the window, and the last attempt of the peak
	for i, last := range s.attempts {
		for last.time-s.attempts[first].time >= window {
			first++
		}
		if attempts := i - first + 1; attempts > s.PeakAttempts {
			s.PeakAttempts = attempts
			s.PeakTime = last.time
			peakEnd = i
		}
	}
	balancers := map[string]bool{}
	from := max(peakEnd+1-s.PeakAttempts, 0)
	for _, peakAttempt := range s.attempts[from : from+s.PeakAttempts] {
		balancers[peakAttempt.balancer] = true
	}
	s.PeakBalancers = len(balancers)
}
