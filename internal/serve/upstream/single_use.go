package upstream

import (
	"time"

	"piernotch/internal/serve/core"
)

const (
	// lateRepeat is the delay after the first response beyond which a second response is late: its server's
	// connections then carry only one request each. A second response that is not late arrives within settleTime,
	// when its connection is not reused anyway.
	lateRepeat = settleTime / 2
	// singleUseTime is how long connections carry only one request each after a late second response.
	singleUseTime = 5 * time.Minute
	// widespreadRepeats is how many servers must have sent a late second response within singleUseTime before the
	// connections to all servers carry only one request each.
	widespreadRepeats = 2
)

// singleUse tracks the servers whose connections carry only one request each. On such a connection a second
// response cannot be mistaken for the response to a later request.
type singleUse struct {
	lateRepeats map[core.Endpoint]time.Duration // time of the last late second response, by server
}

// repeatReceived records a second response that is late; delay is its time since the first one. started reports whether
// single use now applies to more servers than before, and everywhere whether it applies to all. Both are false for a
// response that is not recorded.
func (s *singleUse) repeatReceived(from core.Endpoint, delay, now time.Duration) (started, everywhere bool) {
	// Data that comes later than repeatWindow is not recorded: it may be a time-out response that the server writes
	// before closing an idle connection.
	if delay <= lateRepeat || delay > repeatWindow {
		return false, false
	}
	wasActive := s.active(from, now)
	wasEverywhere := s.everywhere()
	s.lateRepeats[from] = now
	return !wasActive || !wasEverywhere && s.everywhere(), s.everywhere()
}

// active reports whether connections to a server carry only one request each. It also drops the servers for which
// singleUseTime has passed.
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
