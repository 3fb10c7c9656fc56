package clustersim

import (
	"fmt"
	"time"
)

// FaultKind says what goes wrong. The values are part of schedules in files.
type FaultKind string

// Kinds of faults. Processes are numbered: voters first, then clients, then receivers.
const (
	FaultCutLink        FaultKind = "cut"     // nothing gets from Process to Other
	FaultIsolate        FaultKind = "isolate" // nothing gets from or to Process, or, with OneWay, only from it
	FaultPartition      FaultKind = "split"   // of the processes into two sides: see Fault.OnSameSide
	FaultFlap           FaultKind = "flap"    // Process is isolated and connected again every 200 ms
	FaultCrash          FaultKind = "crash"   // Process ends, and starts again at the fault's end with its disk
	FaultDiskLoss       FaultKind = "forget"  // as a crash, with an empty disk
	FaultDiskRollback   FaultKind = "rewind"  // as a crash, with the disk as it was at an earlier start
	FaultCrashAllVoters FaultKind = "alldown" // all voters end at once, and start again
	FaultPause          FaultKind = "stall"   // Process is suspended
	FaultSlowDisk       FaultKind = "slow"    // Process's disk takes two seconds to sync
	FaultDiskFull       FaultKind = "full"    // Process's disk takes no writes: its voter ends until the fault's end
	FaultLossyNetwork   FaultKind = "lossy"   // messages are lost, duplicated and delayed on all links
	FaultClockStep      FaultKind = "step"    // Process's wall clock steps by 10 s
	FaultReleaseDuties  FaultKind = "leave"   // Process releases its duties, and wants them again at the fault's end
	FaultTransferDuties FaultKind = "handon"  // Process transfers its duties to another client
)

// Fault is one step of a schedule. Its JSON form is that of schedules in files.
type Fault struct {
	At       time.Duration `json:"At"`  // since the start, in true time
	Duration time.Duration `json:"For"` // how long it lasts
	Kind     FaultKind     `json:"Kind"`
	Process  int           `json:"Node"` // the number of the process that it happens to
	// Other is the process at the other end of a cut link; in a partition its parity chooses the clients and
	// receivers on Process's side.
	Other  int  `json:"Other"`
	OneWay bool `json:"OneWay"`
}

// String describes the fault for a person.
func (f Fault) String() string {
	text := fmt.Sprintf("%6.2f s for %.2f s: %s of process %d", f.At.Seconds(), f.Duration.Seconds(), f.Kind, f.Process)
	if f.Kind == FaultCutLink {
		text += fmt.Sprintf(" to process %d", f.Other)
	}
	if f.OneWay {
		text += ", one way"
	}
	return text
}

// OnSameSide reports whether a process is on the same side of a partition as the fault's Process, a voter:
// every second client and receiver is, all other processes are on the other side.
func (f Fault) OnSameSide(size Size, process int) bool {
	if process == f.Process {
		return true
	}
	return process >= size.Voters && (process+f.Other)%2 == 0
}

// Size is the group that a schedule is played on, and how much of it. Its JSON form is that of schedules in
// files.
type Size struct {
	Voters    int           `json:"Voters"`
	Clients   int           `json:"Members"` // clients of the group: processes that acquire duties
	Receivers int           `json:"Receivers"`
	Duties    int           `json:"Duties"`
	Duration  time.Duration `json:"Length"` // of a run, QuietPeriod included
	Faults    int           `json:"Faults"`
}

// DefaultSize is the size of most campaigns.
var DefaultSize = Size{Voters: 3, Clients: 4, Receivers: 2, Duties: 2, Duration: 60 * time.Second, Faults: 12}
