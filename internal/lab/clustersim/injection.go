package clustersim

import (
	"time"
)

const (
	flapPeriod = 400 * time.Millisecond // cut for the first half
	clockStep  = 10 * time.Second
)

// inject begins a fault, and schedules its end.
func (s *simulation) inject(f Fault) {
	n := s.nodes[f.Process]
	end := f.At + f.Duration
	switch f.Kind {
	case FaultCutLink, FaultIsolate, FaultPartition:
		links := s.linksOf(f)
		s.cut(links)
		s.at(end, func() { s.restore(links) })
	case FaultFlap:
		s.flap(s.linksOf(f), f.At, end)
	case FaultCrash, FaultDiskLoss, FaultDiskRollback, FaultDiskFull:
		s.crash(n, f.Kind, end)
	case FaultCrashAllVoters:
		for _, v := range s.voters() {
			s.crash(v, f.Kind, end)
		}
	case FaultPause:
		n.pause(end)
	case FaultSlowDisk:
		n.voter.slowDisk++
		s.at(end, func() { n.voter.slowDisk-- })
	case FaultLossyNetwork:
		s.lossyNetwork++
		s.at(end, func() { s.lossyNetwork-- })
	case FaultClockStep:
		direction := time.Duration(2*s.rng.IntN(2) - 1)
		n.wallOffset += clockStep * direction
	case FaultReleaseDuties:
		n.execute(func() { n.member.releaseDuties() })
		s.at(end, func() { n.execute(func() { n.member.wantDuties() }) })
	case FaultTransferDuties:
		n.execute(func() { n.member.transferDuties() })
	}
}

// linksOf returns the links that a fault of the network cuts.
func (s *simulation) linksOf(f Fault) []link {
	node := nodeID(f.Process)
	switch {
	case f.Kind == FaultPartition:
		return s.linksAcross(f)
	case f.Kind == FaultCutLink:
		return []link{{node, nodeID(f.Other)}}
	case f.OneWay:
		return []link{{node, anyNode}}
	}
	return []link{{node, anyNode}, {anyNode, node}}
}

// linksAcross returns the links between the two sides of a partition.
func (s *simulation) linksAcross(f Fault) []link {
	var links []link
	for a := range s.nodes {
		for b := range s.nodes {
			if f.OnSameSide(s.size, a) != f.OnSameSide(s.size, b) {
				links = append(links, link{nodeID(a), nodeID(b)})
			}
		}
	}
	return links
}

func (s *simulation) cut(links []link) {
	for _, l := range links {
		s.cuts[l]++
	}
}

func (s *simulation) restore(links []link) {
	for _, l := range links {
		s.cuts[l]--
	}
}

// flap cuts and restores links in turn until the end; the last period is complete.
func (s *simulation) flap(links []link, from, end time.Duration) {
	for t := from; t < end; t += flapPeriod {
		s.at(t, func() { s.cut(links) })
		s.at(t+flapPeriod/2, func() { s.restore(links) })
	}
}

// crash ends a process that is up, and starts it again at the fault's end, unless it has been started otherwise
// by then. A disk is lost only while the group can bear it.
func (s *simulation) crash(n *node, kind FaultKind, end time.Duration) {
	if !n.up {
		return
	}
	n.stop()
	incarnation := n.incarnation
	affectsDisk := kind == FaultDiskLoss || kind == FaultDiskRollback
	s.at(end, func() {
		if n.incarnation != incarnation {
			return
		}
		if n.voter != nil && affectsDisk && s.allDisksVote() {
			n.voter.loseDisk(kind)
		}
		n.start()
	})
}
