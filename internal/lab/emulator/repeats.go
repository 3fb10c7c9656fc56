package emulator

import (
	"net"
	"time"
)

// responseRepeats says which responses come a second time on their connection, whatever that carries by then.
type responseRepeats struct {
	share    float64       // of the responses
	maxDelay time.Duration // the second one comes up to so much later
}

// repeatLater draws whether a response that was written comes a second time, and when.
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
