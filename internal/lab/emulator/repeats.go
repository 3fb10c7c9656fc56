package emulator

import (
	"net"
	"time"
)

// responseRepeats says which responses are written a second time to their connection, even if the connection
// carries another response by then.
type responseRepeats struct {
	share    float64       // share of the responses that are repeated
	maxDelay time.Duration // upper bound of the random delay of the second copy
}

// repeatLater decides at random whether and when a response is written a second time, and schedules that write.
func (s *server) repeatLater(connection net.Conn, response []byte) {
	repeats := s.fleet.repeats.Load()
	if repeats.share == 0 {
		return
	}
	s.mu.Lock()
	repeated := s.rng.Float64() < repeats.share
	delay := time.Duration(s.rng.Float64() * float64(repeats.maxDelay))
	s.mu.Unlock()
	if repeated {
		time.AfterFunc(delay, func() { _, _ = connection.Write(response) }) // fails on a closed connection
	}
}
