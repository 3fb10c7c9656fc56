package servermodel

import "time"

// pauseTiming is how often and how long a server pauses: means, which pauses vary around by half.
type pauseTiming struct{ every, length time.Duration }

// SetPauses has the server pause for length, every so often, instead of as its kind does; zeros end
// that.
func (s *Server) SetPauses(now, every, length time.Duration) {
	s.advanceClock(now)
	s.pauseFault = pauseTiming{every, length}
	s.schedulePause(now)
}

func (s *Server) pauseTiming() pauseTiming {
	if s.pauseFault.length > 0 {
		return s.pauseFault
	}
	return pauseTiming{s.kind.PauseEvery, s.kind.PauseFor}
}

// pauseDue reports whether a pause is to begin that no other one covers.
func (s *Server) pauseDue() bool {
	return s.nextPause <= s.now && s.now >= s.pauseEnd
}

// schedulePause draws when the next pause begins.
func (s *Server) schedulePause(now time.Duration) {
	timing := s.pauseTiming()
	s.nextPause = Never
	if timing.length > 0 && timing.every > 0 {
		s.nextPause = now + time.Duration((0.5+s.pauses.Float64())*float64(timing.every))
	}
}

// beginPause begins the pause that is due and schedules the one after it.
func (s *Server) beginPause() {
	begin := s.nextPause
	length := s.pauseTiming().length
	s.schedulePause(begin)
	if length == 0 || !s.state.running() {
		return
	}
	drawn := float64(length) * (0.5 + s.pauses.Float64()) * (1 + s.kind.PauseGrow*s.busy)
	s.pauseEnd = max(s.now, begin) + time.Duration(drawn)
}
