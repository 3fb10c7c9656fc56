package clustersim

import "time"

// link is one direction of the connection between two processes. anyProcess on either side stands for all processes.
type link struct{ from, to processID }

const anyProcess processID = -1

// The delay of a message is minDelay plus an exponentially distributed time.
const (
	minDelay        = 200 * time.Microsecond
	meanDelay       = 2 * time.Millisecond
	meanLossyDelay  = 600 * time.Millisecond // additional delay of one message in five in a lossy network
	lossShare       = 0.15                   // share of messages that a lossy network loses
	lossOrCopyShare = 0.25                   // lossShare plus the share that it delivers twice, between voters only
)

// send delivers a message from one process to another, unless the network loses it. Messages in flight to a client or
// receiver are lost if that process restarts. Those to a voter survive a restart, as if the sender had repeated them.
func (s *simulation) send(from, to processID, deliver func()) {
	if s.isCut(from, to) {
		return
	}
	for range s.copies(from, to) {
		delay := s.delay()
		incarnation := s.processes[to].incarnation
		s.at(s.now+delay, func() {
			receiver := s.processes[to]
			sameProcess := receiver.incarnation == incarnation
			if sameProcess || receiver.voter != nil {
				receiver.execute(deliver)
			}
		})
	}
}

func (s *simulation) isCut(from, to processID) bool {
	return s.cuts[link{from, to}] > 0 || s.cuts[link{from, anyProcess}] > 0 || s.cuts[link{anyProcess, to}] > 0
}

// copies returns how many times a message is delivered: 0, 1 or 2. Only messages between voters are duplicated,
// because the calls of clients use streams.
func (s *simulation) copies(from, to processID) int {
	if s.lossyNetwork == 0 {
		return 1
	}
	drawn := s.rng.Float64()
	betweenVoters := s.processes[from].voter != nil && s.processes[to].voter != nil
	switch {
	case drawn < lossShare:
		return 0
	case drawn < lossOrCopyShare && betweenVoters:
		return 2
	}
	return 1
}

func (s *simulation) delay() time.Duration {
	delay := minDelay + time.Duration(s.rng.ExpFloat64()*float64(meanDelay))
	if s.lossyNetwork > 0 && s.rng.IntN(5) == 0 {
		delay += time.Duration(s.rng.ExpFloat64() * float64(meanLossyDelay))
	}
	return delay
}
