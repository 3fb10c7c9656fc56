package servermodel

import "time"

// maxReports is how many load reports are kept: enough for the longest delay.
const maxReports = 16

// LoadReport is what a server reports of its load.
type LoadReport struct {
	ErrorsPerSec float64
	PerSec       float64 // requests completed per second
	Inflight     float64 // requests running or queued
}

// timedReport is a load report and when it was made.
type timedReport struct {
	at   time.Duration
	load LoadReport
}

// makeReport makes the load report that is due.
func (s *Server) makeReport() {
	interval := s.kind.Report.Interval
	seconds := interval.Seconds()
	// The order of the three draws is fixed.
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

// Report returns the load report that a response at now carries, when a fault delays reports by a
// further delay. It returns false if there is none yet.
func (s *Server) Report(now, delay time.Duration) (LoadReport, bool) {
	for i := s.reportCount - 1; i >= 0 && i >= s.reportCount-maxReports; i-- {
		report := &s.reports[i%maxReports]
		if report.at+s.kind.Report.Delay+delay <= now {
			return report.load, true
		}
	}
	return LoadReport{}, false
}
