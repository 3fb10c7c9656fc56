package clustersim

import (
	"fmt"
	"time"
)

// FaultKind says what goes wrong. The values are part of schedules in files.
type FaultKind string

// Kinds of faults. Nodes are numbered: voters first, then members, then receivers.
const (
	FaultCutLink        FaultKind = "cut"     // nothing gets from Node to Other
	FaultIsolate        FaultKind = "isolate" // nothing gets from or to Node, or, with OneWay, only from it
	FaultPartition      FaultKind = "split"   // Node, a voter, and every second member and receiver on one side, the rest on the other
	FaultFlap           FaultKind = "flap"    // Node is isolated and connected again every 200 ms
	FaultCrash          FaultKind = "crash"   // Node ends, and starts again at the fault's end with its disk
	FaultDiskLoss       FaultKind = "forget"  // as a crash, with an empty disk
	FaultDiskRollback   FaultKind = "rewind"  // as a crash, with the disk as it was at an earlier start
	FaultCrashAllVoters FaultKind = "alldown" // all voters end at once, and start again
	FaultPause          FaultKind = "stall"   // Node's process is suspended
	FaultSlowDisk       FaultKind = "slow"    // Node's disk takes two seconds to sync
	FaultDiskFull       FaultKind = "full"    // Node's disk takes no writes: its voter ends, and starts again at the fault's end
	FaultLossyNetwork   FaultKind = "lossy"   // messages are lost, duplicated and delayed on all links
	FaultClockStep      FaultKind = "step"    // Node's wall clock steps by 10 s
	FaultReleaseDuties  FaultKind = "leave"   // Node releases its duties, and wants them again at the fault's end
	FaultTransferDuties FaultKind = "handon"  // Node transfers its duties to another member
)

// Fault is one step of a schedule. Its JSON form is that of schedules in files.
type Fault struct {
	At       time.Duration `json:"At"`  // since the start, in true time
	Duration time.Duration `json:"For"` // how long it lasts
	Kind     FaultKind     `json:"Kind"`
	Node     int           `json:"Node"`
	Other    int           `json:"Other"` // of a cut link; in a partition its parity chooses the members and receivers on Node's side
	OneWay   bool          `json:"OneWay"`
}

// String describes the fault for a person.
func (f Fault) String() string {
	s := fmt.Sprintf("%6.2f s for %.2f s: %s of node %d", f.At.Seconds(), f.Duration.Seconds(), f.Kind, f.Node)
	if f.Kind == FaultCutLink {
		s += fmt.Sprintf(" to node %d", f.Other)
	}
	if f.OneWay {
		s += ", one way"
	}
	return s
}

// OnNodeSide reports whether a node is on the same side of a partition as the fault's Node.
func (f Fault) OnNodeSide(size Size, node int) bool {
	if node == f.Node {
		return true
	}
	return node >= size.Voters && (node+f.Other)%2 == 0
}

// Size is the group that a schedule is played on, and how much of it. Its JSON form is that of schedules in
// files.
type Size struct {
	Voters    int           `json:"Voters"`
	Members   int           `json:"Members"` // processes that acquire duties
	Receivers int           `json:"Receivers"`
	Duties    int           `json:"Duties"`
	Duration  time.Duration `json:"Length"` // of a run, QuietPeriod included
	Faults    int           `json:"Faults"`
}

// DefaultSize is the size of most campaigns.
var DefaultSize = Size{Voters: 3, Members: 4, Receivers: 2, Duties: 2, Duration: 60 * time.Second, Faults: 12}
