package servermodel

import "time"

// maxReports is the number of load reports kept: enough for the longest delay.
const maxReports = 16

// LoadReport is a server's load. Rates are means over the last interval.
type LoadReport struct {
	ErrorsPerSec float64
	PerSec       float64 // requests completed per second, errors included
	Inflight     float64 // requests running or queued when the report was made
}

// timedReport is a load report with the time of its making.
type timedReport struct {
	at   time.Duration
	load LoadReport
}

// makeReport makes the load report that is due, resets the counts and schedules the next report.
func (s *Server) makeReport() {
	interval := s.kind.Report.Interval
	seconds := interval.Seconds()
	// In another order, the three calls of noisy would give other values for a seed.
	noisy := func(value float64) float64 { return max(value*(1+s.kind.Report.Noise*s.noise.NormFloat64()), 0) }
	s.reports[s.reportCount%maxReports] = timedReport{s.nextReport, LoadReport{
		ErrorsPerSec: noisy(float64(s.reportErrors) / seconds),
		PerSec:       noisy(float64(s.reportCompleted) / seconds),
		Inflight:     noisy(float64(s.Inflight())),
	}}
	s.reportCount++
	s.reportCompleted = 0
	s.reportErrors = 0
	s.nextReport += interval
}

// Report returns the load report that a response at now carries, or false if none is old enough. A fault's delay
// adds to the kind's delay.
func (s *Server) Report(now, delay time.Duration) (LoadReport, bool) {
	for i := s.reportCount - 1; i >= 0 && i >= s.reportCount-maxReports; i-- {
		report := &s.reports[i%maxReports]
		if report.at+s.kind.Report.Delay+delay <= now {
			return report.load, true
		}
	}
	return LoadReport{}, false
}
