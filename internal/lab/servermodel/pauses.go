package servermodel

import "time"

// pauseTiming holds the mean time between the starts of pauses and their mean length. Drawn values differ from
// the means by up to half.
type pauseTiming struct{ every, length time.Duration }

// SetPauses replaces PauseEvery and PauseFor of the kind, and schedules the next pause anew. A length of 0
// restores the values of the kind.
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

// pauseDue reports whether the next pause is due and no other is under way.
func (s *Server) pauseDue() bool {
	return s.nextPause <= s.now && s.now >= s.pauseEnd
}

// schedulePause draws when the next pause after now starts. Without pauses, this is Never.
func (s *Server) schedulePause(now time.Duration) {
	timing := s.pauseTiming()
	s.nextPause = Never
	if timing.length > 0 && timing.every > 0 {
		s.nextPause = now + time.Duration((0.5+s.pauses.Float64())*float64(timing.every))
	}
}

// beginPause schedules the next pause and, if a process runs, begins the pause that is due.
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
