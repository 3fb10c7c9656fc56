package clustersim

import "time"

// link is one direction between two nodes. anyNode on either side stands for all nodes.
type link struct{ from, to nodeID }

const anyNode nodeID = -1

// The network's delays are exponentially distributed, on top of a minimum.
const (
	minDelay        = 200 * time.Microsecond
	meanDelay       = 2 * time.Millisecond
	meanLossyDelay  = 600 * time.Millisecond // of a fifth of the messages in a lossy network
	lossShare       = 0.15                   // of the messages in a lossy network
	lossOrCopyShare = 0.25                   // lost, or delivered twice
)

// send delivers a message from one node to another, unless the network loses it. A message to a member or
// receiver that restarts meanwhile is lost too; voters take messages over a restart, as from a peer that
// sends again.
func (s *simulation) send(from, to nodeID, deliver func()) {
	if s.isCut(from, to) {
		return
	}
	for range s.copies(from, to) {
		delay := s.delay()
		incarnation := s.nodes[to].incarnation
		s.at(s.now+delay, func() {
			receiver := s.nodes[to]
			sameProcess := receiver.incarnation == incarnation
			if sameProcess || receiver.voter != nil {
				receiver.execute(deliver)
			}
		})
	}
}

func (s *simulation) isCut(from, to nodeID) bool {
	return s.cuts[link{from, to}] > 0 || s.cuts[link{from, anyNode}] > 0 || s.cuts[link{anyNode, to}] > 0
}

// copies returns how often a message is delivered. Only messages between voters are duplicated: calls of
// members use streams.
func (s *simulation) copies(from, to nodeID) int {
	if s.lossyNetwork == 0 {
		return 1
	}
	r := s.rng.Float64()
	betweenVoters := s.nodes[from].voter != nil && s.nodes[to].voter != nil
	switch {
	case r < lossShare:
		return 0
	case r < lossOrCopyShare && betweenVoters:
		return 2
	}
	return 1
}

func (s *simulation) delay() time.Duration {
	d := minDelay + time.Duration(s.rng.ExpFloat64()*float64(meanDelay))
	if s.lossyNetwork > 0 && s.rng.IntN(5) == 0 {
		d += time.Duration(s.rng.ExpFloat64() * float64(meanLossyDelay))
	}
	return d
}
