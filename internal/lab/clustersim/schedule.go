package clustersim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// QuietPeriod is the time without faults at the end of a run, in which every duty has to be held again.
const QuietPeriod = 25 * time.Second

const (
	minFaultDuration  = 200 * time.Millisecond
	meanFaultDuration = 4 * time.Second // on top of the minimum; exponentially distributed
	replacementTime   = 12 * time.Second
)

// drawnKinds are the kinds of faults in a schedule. A kind that is listed more often is drawn more often. The
// order is part of what a seed means.
var drawnKinds = []FaultKind{
	FaultCutLink, FaultCutLink,
	FaultIsolate, FaultIsolate,
	FaultPartition, FaultPartition, FaultPartition,
	FaultFlap,
	FaultCrash, FaultCrash, FaultCrash,
	FaultDiskLoss,
	FaultDiskRollback,
	FaultCrashAllVoters,
	FaultPause, FaultPause, FaultPause,
	FaultSlowDisk,
	FaultDiskFull,
	FaultLossyNetwork, FaultLossyNetwork,
	FaultClockStep,
	FaultReleaseDuties,
	FaultTransferDuties, FaultTransferDuties,
}

// scheduler draws the faults of one schedule.
type scheduler struct {
	rng              *rand.Rand
	size             Size
	end              time.Duration // all faults are over by then
	diskReplacedFrom time.Duration // from then on the group has replaced the disks that were lost so far
}

// GenerateSchedule returns the schedule of a seed, ordered by time. All faults are over when QuietPeriod begins.
// Disks are lost or rolled back one at a time, and only after the group has had the time to replace those
// lost before.
func GenerateSchedule(seed uint64, size Size) []Fault {
	source := &scheduler{rng: rand.New(rand.NewPCG(seed, 0xfa17)), size: size, end: size.Duration - QuietPeriod}
	var faults []Fault
	for range size.Faults {
		faults = append(faults, source.draw())
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// draw draws one fault. The order of the draws is part of what a seed means.
func (s *scheduler) draw() Fault {
	var fault Fault
	fault.Kind = drawnKinds[s.rng.IntN(len(drawnKinds))]
	fault.Duration = minFaultDuration + time.Duration(s.rng.ExpFloat64()*float64(meanFaultDuration))
	fault.Duration = min(fault.Duration, s.end/2)
	fault.At = time.Duration(s.rng.Int64N(int64(s.end - fault.Duration)))
	fault.OneWay = s.rng.IntN(3) == 0
	voter := s.rng.IntN(s.size.Voters)
	client := s.size.Voters + s.rng.IntN(s.size.Clients)
	fault.Process = voter
	fault.Other = s.rng.IntN(s.size.Voters + s.size.Clients + s.size.Receivers)
	switch fault.Kind {
	case FaultPause, FaultCrash, FaultClockStep, FaultIsolate, FaultFlap:
		fault.Process = s.choose(voter, client)
	case FaultReleaseDuties, FaultTransferDuties:
		fault.Process = client
	case FaultDiskLoss, FaultDiskRollback:
		s.delayDiskFault(&fault)
	}
	return fault
}

// choose draws a voter (two times in five), a client (two) and a receiver (one).
func (s *scheduler) choose(voter, client int) int {
	switch s.rng.IntN(5) {
	case 0, 1:
		return client
	case 2:
		return s.size.Voters + s.size.Clients + s.rng.IntN(s.size.Receivers)
	}
	return voter
}

// delayDiskFault moves a disk fault behind the replacement of the disk before it, or makes it a crash if
// there is no time left for that.
func (s *scheduler) delayDiskFault(fault *Fault) {
	at := max(fault.At, s.diskReplacedFrom)
	replacedFrom := at + fault.Duration + replacementTime
	if replacedFrom > s.end {
		fault.Kind = FaultCrash
		return
	}
	fault.At = at
	s.diskReplacedFrom = replacedFrom
}
