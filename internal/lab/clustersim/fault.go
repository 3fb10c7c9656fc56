package clustersim

import (
	"fmt"
	"time"
)

// FaultKind is a kind of fault. Its values are stored in schedule files.
type FaultKind string

// Kinds of faults. Processes are numbered: voters first, then clients, then receivers.
const (
	FaultCutLink        FaultKind = "cut"     // nothing from Process to Other arrives
	FaultIsolate        FaultKind = "isolate" // nothing from or to Process arrives; if OneWay, nothing from Process
	FaultPartition      FaultKind = "split"   // the processes are split into two sides: see Fault.OnSameSide
	FaultFlap           FaultKind = "flap"    // Process is isolated and connected again every 200 ms
	FaultCrash          FaultKind = "crash"   // Process ends; at the fault's end it starts again with its disk
	FaultDiskLoss       FaultKind = "forget"  // a crash, then a start with an empty disk
	FaultDiskRollback   FaultKind = "rewind"  // a crash, then a start with the disk as it was at an earlier start
	FaultCrashAllVoters FaultKind = "alldown" // all voters end at once; at the fault's end they start again
	FaultPause          FaultKind = "stall"   // Process is suspended
	FaultSlowDisk       FaultKind = "slow"    // each sync of Process's disk takes 2 s
	FaultDiskFull       FaultKind = "full"    // Process's disk takes no writes: the voter is down until the fault's end
	FaultLossyNetwork   FaultKind = "lossy"   // messages are lost, duplicated and delayed on all links
	FaultClockStep      FaultKind = "step"    // Process's wall clock steps by 10 s, forward or back
	FaultReleaseDuties  FaultKind = "leave"   // Process releases its duties; at the fault's end it requests them again
	FaultTransferDuties FaultKind = "handon"  // Process transfers its duties to a random client
)

// Fault is one step of a schedule. Schedule files store its JSON form.
type Fault struct {
	At       time.Duration `json:"At"` // since the start of the run, in true time
	Duration time.Duration `json:"For"`
	Kind     FaultKind     `json:"Kind"`
	Process  int           `json:"Node"` // number of the affected process
	// Other is the process that a cut link leads to. In a partition, the parity of Other selects the clients and
	// receivers on Process's side.
	Other  int  `json:"Other"`
	OneWay bool `json:"OneWay"`
}

// String describes the fault in one line, with times in seconds.
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

// OnSameSide reports whether a process is on the same side of a partition as the voter f.Process. Every second client
// and receiver is on that side, too; all other processes are on the opposite side.
func (f Fault) OnSameSide(size Size, process int) bool {
	if process == f.Process {
		return true
	}
	return process >= size.Voters && (process+f.Other)%2 == 0
}

// Size is the size of a group and of its schedule. Schedule files store its JSON form.
type Size struct {
	Voters    int           `json:"Voters"`
	Clients   int           `json:"Members"` // processes that acquire duties
	Receivers int           `json:"Receivers"`
	Duties    int           `json:"Duties"`
	Duration  time.Duration `json:"Length"` // of a run, including QuietPeriod
	Faults    int           `json:"Faults"`
}

// DefaultSize has three voters, the fewest that tolerate the loss of one.
var DefaultSize = Size{Voters: 3, Clients: 4, Receivers: 2, Duties: 2, Duration: 60 * time.Second, Faults: 12}
