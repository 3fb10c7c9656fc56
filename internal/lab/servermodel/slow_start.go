package servermodel

import "time"

// arrival is work that reached a server in slow start.
type arrival struct {
	at   time.Duration
	work float64 // ms
}

// CapacityShare returns the share of the server's capacity that slow start leaves available at now. The
// call ends slow start once the server is warm.
func (s *Server) CapacityShare(now time.Duration) float64 {
	if s.warm || s.kind.SlowStartDuration == 0 {
		return 1
	}
	progress := float64(now-s.started) / float64(s.kind.SlowStartDuration)
	if s.kind.WarmUpBy == WarmByWork {
		// The work, in ms, that a warm server does if half busy for SlowStartDuration.
		need := s.kind.Capacity() * s.kind.SlowStartDuration.Seconds() / 2
		progress = max(progress, s.doneSinceStart/need)
	}
	if progress >= 1 {
		s.warm = true
		s.arrivals, s.arrivedWork = nil, 0
		return 1
	}
	return s.kind.SlowStartCapacity + (1-s.kind.SlowStartCapacity)*progress
}

// InSlowStart reports whether a process runs and slow start reduces its capacity.
func (s *Server) InSlowStart(now time.Duration) bool {
	return s.state.running() && s.CapacityShare(now) < 1
}

// recordArrival counts work that reaches a server in slow start, updates SlowStartPeak, and reports whether
// this work makes the server collapse.
func (s *Server) recordArrival(now time.Duration, work float64) (collapses bool) {
	limit := &s.kind.Collapse
	if limit.Multiple == 0 || s.warm || s.CapacityShare(now) >= 1 {
		return false
	}
	s.arrivals = append(s.arrivals, arrival{now, work})
	s.arrivedWork += work
	for len(s.arrivals) > 0 && s.arrivals[0].at <= now-limit.For {
		s.arrivedWork -= s.arrivals[0].work
		s.arrivals = s.arrivals[1:]
	}
	budget := limit.Multiple * s.kind.Capacity() * s.CapacityShare(now) * limit.For.Seconds()
	if len(s.arrivals) < 2 { // a single arrival never causes a collapse
		return false
	}
	s.arrivalPeak = max(s.arrivalPeak, s.arrivedWork/(budget*(1+CollapseSlack)))
	return s.arrivedWork > budget*(1+CollapseSlack)
}
