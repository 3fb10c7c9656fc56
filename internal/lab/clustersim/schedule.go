package clustersim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// QuietPeriod is the time without faults at the end of a run. Every duty must be held when the run ends.
const QuietPeriod = 25 * time.Second

const (
	minFaultDuration  = 200 * time.Millisecond
	meanFaultDuration = 4 * time.Second  // mean of the exponentially distributed time added to minFaultDuration
	replacementTime   = 12 * time.Second // for the group to replace a lost disk
)

// drawnKinds are the kinds of faults in a schedule. Kinds listed more often are drawn more often. A new order would
// change the schedule of every seed.
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
	end              time.Duration // the latest end of a fault
	diskReplacedFrom time.Duration // by then the group has replaced the disks lost so far
}

// GenerateSchedule returns the schedule of a seed, ordered by time. No fault extends into QuietPeriod. Disks are lost
// or rolled back one at a time, and the group gets replacementTime to replace a disk before the next such fault.
func GenerateSchedule(seed uint64, size Size) []Fault {
	source := &scheduler{rng: rand.New(rand.NewPCG(seed, 0xfa17)), size: size, end: size.Duration - QuietPeriod}
	var faults []Fault
	for range size.Faults {
		faults = append(faults, source.draw())
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// draw draws one fault. A new order of the random draws would change the schedule of every seed.
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

// choose returns the voter or the client, with a probability of 2/5 each, or a random receiver (1/5).
func (s *scheduler) choose(voter, client int) int {
	switch s.rng.IntN(5) {
	case 0, 1:
		return client
	case 2:
		return s.size.Voters + s.size.Clients + s.rng.IntN(s.size.Receivers)
	}
	return voter
}

// delayDiskFault delays a disk fault until the previous disk is replaced, or makes it a crash if too little time is
// left.
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
