package chaos

import (
	"fmt"
	"strings"
	"time"

	"piernotch/internal/lab/faultproxy"
)

// Action is the kind of a step's fault.
type Action string

// Actions. The values are stored in schedules.
const (
	FaultLink     Action = "link" // applies Step.Fault on Step.Directions until the step's end
	FlapLink      Action = "flap" // applies and heals Step.Fault in turn, every FlapInterval
	PauseBalancer Action = "stop" // SIGSTOP, then SIGCONT
	KillBalancer  Action = "kill" // SIGKILL, then a new start
	// FreezeLink silences the link's connections that are open at Step.At. New connections are healthy.
	FreezeLink Action = "freeze"
	// TerminateBalancer sends SIGTERM and, if the balancer is then still running, SIGKILL at the earliest time that
	// the platform allows. Clients continue to send on connections that stay open. The balancer starts again at the
	// end of the step, but not before it has exited.
	TerminateBalancer Action = "terminate"
	// ReloadBalancer sends SIGHUP every ReloadInterval until the step's end.
	ReloadBalancer Action = "reload"
)

// ReloadInterval is the time between two SIGHUPs of ReloadBalancer.
const ReloadInterval = 150 * time.Millisecond

// onProcess reports whether the action affects a process rather than a link.
func (a Action) onProcess() bool {
	switch a {
	case PauseBalancer, KillBalancer, TerminateBalancer, ReloadBalancer:
		return true
	}
	return false
}

// OnLink reports whether the step affects a link rather than a process.
func (s Step) OnLink() bool { return !s.Action.onProcess() }

// FlapInterval is how long a flapping link stays cut, and how long it stays healthy.
const FlapInterval = 200 * time.Millisecond

// Directions are the directions of a link that a fault affects.
type Directions uint8

// Directions of a fault. The values are stored in schedules.
const (
	Both Directions = iota
	OnlyToTarget
	OnlyFromTarget
)

// Includes reports whether d includes a direction.
func (d Directions) Includes(direction faultproxy.Direction) bool {
	switch d {
	case OnlyToTarget:
		return direction == faultproxy.ToTarget
	case OnlyFromTarget:
		return direction == faultproxy.FromTarget
	}
	return d == Both
}

// Target is the far end of a balancer's link: the number of a server, Discovery or AllServers.
type Target int

// Targets that are not the number of a server. The values are stored in schedules.
const (
	Discovery  Target = -1
	AllServers Target = -2
)

// includes reports whether a fault of the links to t also affects all links to other.
func (t Target) includes(other Target) bool {
	return t == other || t == AllServers && other >= 0
}

// Step is one fault of a schedule. Its JSON form is stored.
type Step struct {
	At         time.Duration    `json:"at_ns"` // since the start of the run
	Duration   time.Duration    `json:"for_ns"`
	Action     Action           `json:"act"`
	Balancer   int              `json:"balancer"`
	Target     Target           `json:"to"` // of FaultLink, FlapLink and FreezeLink
	Directions Directions       `json:"way"`
	Fault      faultproxy.Fault `json:"fault"`
	// SignalSeries makes TerminateBalancer send SIGHUP and a second SIGTERM after the first SIGTERM.
	SignalSeries bool `json:"signals,omitempty"`
}

// End returns the time since the start of the run at which the step ends.
func (s Step) End() time.Duration { return s.At + s.Duration }

// String describes the step in one line, with times in seconds.
func (s Step) String() string {
	when := fmt.Sprintf("%5.2f s for %.2f s: ", s.At.Seconds(), s.Duration.Seconds())
	switch s.Action {
	case PauseBalancer:
		return when + fmt.Sprintf("balancer %d is paused", s.Balancer)
	case KillBalancer:
		return when + fmt.Sprintf("balancer %d is killed, and started again", s.Balancer)
	case TerminateBalancer:
		series := ""
		if s.SignalSeries {
			series = ", SIGHUP and SIGTERM"
		}
		return when + fmt.Sprintf("balancer %d gets SIGTERM%s, SIGKILL, and is started again", s.Balancer, series)
	case ReloadBalancer:
		return when + fmt.Sprintf("balancer %d gets a series of SIGHUP", s.Balancer)
	case FreezeLink:
		return when + fmt.Sprintf("open connections of balancer %d to %s fall silent", s.Balancer, s.Target)
	}
	directions := [...]string{"", ", only to it", ", only from it"}[s.Directions]
	return when + fmt.Sprintf("balancer %d to %s%s: %s", s.Balancer, s.Target, directions, s.faultText())
}

// String returns "discovery", "all servers" or "server" with the number.
func (t Target) String() string {
	switch t {
	case Discovery:
		return "discovery"
	case AllServers:
		return "all servers"
	}
	return fmt.Sprintf("server %d", int(t))
}

func (s Step) faultText() string {
	var parts []string
	fault := s.Fault
	if fault.Cut != faultproxy.Open {
		parts = append(parts, "cut, "+fault.Cut.String())
	} else {
		if fault.Delay+fault.Jitter > 0 {
			parts = append(parts, fmt.Sprintf("delayed by %v to %v", fault.Delay, fault.Delay+fault.Jitter))
		}
		if fault.BytesPerSecond > 0 {
			parts = append(parts, fmt.Sprintf("throttled to %d bytes a second", fault.BytesPerSecond))
		}
	}
	if s.Action == FlapLink {
		parts = append(parts, "flapping")
	}
	return strings.Join(parts, ", ")
}

// conflictsWith reports whether two steps affect the same process or the same link at the same time.
func (s Step) conflictsWith(other Step) bool {
	overlap := s.At < other.End() && other.At < s.End()
	if !overlap || s.Balancer != other.Balancer || s.Action.onProcess() != other.Action.onProcess() {
		return false
	}
	return s.Action.onProcess() || s.Target.includes(other.Target) || other.Target.includes(s.Target)
}
