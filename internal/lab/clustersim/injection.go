package clustersim

import (
	"time"
)

const (
	flapPeriod = 400 * time.Millisecond // the links are cut in the first half
	clockStep  = 10 * time.Second
)

// inject starts a fault, and schedules its end. A step of the wall clock has no end; a transfer of
// duties lasts transferPause.
func (s *simulation) inject(fault Fault) {
	affected := s.processes[fault.Process]
	end := fault.At + fault.Duration
	switch fault.Kind {
	case FaultCutLink, FaultIsolate, FaultPartition:
		links := s.linksOf(fault)
		s.cut(links)
		s.at(end, func() { s.restore(links) })
	case FaultFlap:
		s.flap(s.linksOf(fault), fault.At, end)
	case FaultCrash, FaultDiskLoss, FaultDiskRollback, FaultDiskFull:
		s.crash(affected, fault.Kind, end)
	case FaultCrashAllVoters:
		for _, voter := range s.voters() {
			s.crash(voter, fault.Kind, end)
		}
	case FaultPause:
		affected.pause(end)
	case FaultSlowDisk:
		affected.voter.slowDisk++
		s.at(end, func() { affected.voter.slowDisk-- })
	case FaultLossyNetwork:
		s.lossyNetwork++
		s.at(end, func() { s.lossyNetwork-- })
	case FaultClockStep:
		direction := time.Duration(2*s.rng.IntN(2) - 1)
		affected.wallOffset += clockStep * direction
	case FaultReleaseDuties:
		affected.execute(func() { affected.client.releaseDuties() })
		s.at(end, func() { affected.execute(func() { affected.client.wantDuties() }) })
	case FaultTransferDuties:
		affected.execute(func() { affected.client.transferDuties() })
	}
}

// linksOf returns the links that a network fault cuts.
func (s *simulation) linksOf(fault Fault) []link {
	process := processID(fault.Process)
	switch {
	case fault.Kind == FaultPartition:
		return s.linksAcross(fault)
	case fault.Kind == FaultCutLink:
		return []link{{process, processID(fault.Other)}}
	case fault.OneWay:
		return []link{{process, anyProcess}}
	}
	return []link{{process, anyProcess}, {anyProcess, process}}
}

// linksAcross returns the links between the two sides of a partition.
func (s *simulation) linksAcross(fault Fault) []link {
	var links []link
	for from := range s.processes {
		for to := range s.processes {
			if fault.OnSameSide(s.size, from) != fault.OnSameSide(s.size, to) {
				links = append(links, link{processID(from), processID(to)})
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

// flap cuts and restores links in turn until end. A cut that has begun lasts its full half period.
func (s *simulation) flap(links []link, from, end time.Duration) {
	for t := from; t < end; t += flapPeriod {
		s.at(t, func() { s.cut(links) })
		s.at(t+flapPeriod/2, func() { s.restore(links) })
	}
}

// crash stops a process that is up, and starts the process again at end, unless its incarnation has changed by then. A
// disk fault takes effect at end, and only if allDisksVote then reports true: otherwise the group could lose its
// majority for good.
func (s *simulation) crash(crashed *process, kind FaultKind, end time.Duration) {
	if !crashed.up {
		return
	}
	crashed.stop()
	incarnation := crashed.incarnation
	affectsDisk := kind == FaultDiskLoss || kind == FaultDiskRollback
	s.at(end, func() {
		if crashed.incarnation != incarnation {
			return
		}
		if crashed.voter != nil && affectsDisk && s.allDisksVote() {
			crashed.voter.loseDisk(kind)
		}
		crashed.start()
	})
}
