package servermodel

import "time"

// SetOverloaded puts a running server into overload at once, unless the kind has no overload. The
// overload ends by the same rules as after a long queue.
func (s *Server) SetOverloaded(now time.Duration) {
	s.advanceClock(now)
	if s.kind.Overload.QueuePerCore > 0 && s.state.running() {
		s.beginOverload(now)
	}
}

// watchQueue records since when the queue has been too long.
func (s *Server) watchQueue(now time.Duration) {
	limit := s.kind.Overload.QueuePerCore
	tooLong := limit > 0 && float64(len(s.queue)) > limit*float64(s.kind.Cores)
	switch {
	case !tooLong:
		s.queueLongSince = Never
	case s.queueLongSince == Never:
		s.queueLongSince = now
	}
}

// updateOverload begins or ends overload by the rules of Kind.Overload.
func (s *Server) updateOverload(now time.Duration) {
	settings := &s.kind.Overload
	if settings.QueuePerCore == 0 {
		return
	}
	if !s.overloaded {
		if s.queueLongSince != Never && now-s.queueLongSince >= settings.After {
			s.beginOverload(now)
		}
		return
	}
	switch {
	case s.busy >= settings.IdleBelow:
		s.idleSince = Never
	case s.idleSince == Never:
		s.idleSince = now
	}
	recovered := s.idleSince != Never && now-s.idleSince >= settings.IdleFor
	expired := settings.MaxDuration > 0 && now-s.overloadedAt >= settings.MaxDuration
	if recovered || expired {
		s.overloaded = false
		s.queueLongSince = Never
		s.watchQueue(now)
	}
}

func (s *Server) beginOverload(now time.Duration) {
	s.overloaded = true
	s.overloadedAt = now
	s.idleSince = Never
}
