package upstream

import (
	"time"

	"piernotch/internal/serve/core"
)

const (
	// lateRepeat is how late behind the first one a second response has to be for its server's connections not to be
	// used again. Settling is enough for earlier ones.
	lateRepeat = settleTime / 2
	// singleUseTime is for how long each connection then carries one request.
	singleUseTime = 5 * time.Minute
	// widespreadRepeats is the number of servers with late second responses from which on the connections to all
	// servers are used once.
	widespreadRepeats = 2
)

// singleUse says to which servers a connection carries one request alone: a second response to it then meets no
// other request.
type singleUse struct {
	lateRepeats map[core.Endpoint]time.Duration // when a server's second response last came late
}

// repeatReceived notes a second response, which came delay after the first one. It reports whether connections
// are used once from now on that were not before, and whether that holds for all servers.
func (s *singleUse) repeatReceived(from core.Endpoint, delay, now time.Duration) (started, everywhere bool) {
	// Servers may also write a time-out before they close an idle connection: that is later still.
	if delay <= lateRepeat || delay > repeatWindow {
		return false, false
	}
	wasActive := s.active(from, now)
	wasEverywhere := s.everywhere()
	s.lateRepeats[from] = now
	return !wasActive || !wasEverywhere && s.everywhere(), s.everywhere()
}

// active reports whether connections to a server are used once.
func (s *singleUse) active(endpoint core.Endpoint, now time.Duration) bool {
	for other, at := range s.lateRepeats {
		if now-at >= singleUseTime {
			delete(s.lateRepeats, other)
		}
	}
	_, late := s.lateRepeats[endpoint]
	return late || s.everywhere()
}

func (s *singleUse) everywhere() bool { return len(s.lateRepeats) >= widespreadRepeats }
