package chaos

import (
	"fmt"
	"strings"
	"time"

	"piernotch/internal/lab/faultproxy"
)

// Action is what a step does.
type Action string

// Actions. The values are those of stored schedules.
const (
	FaultLink     Action = "link" // Step.Fault on Step.Directions, for as long as the step lasts
	FlapLink      Action = "flap" // the same, on and off every FlapInterval
	PauseBalancer Action = "stop" // SIGSTOP, then SIGCONT
	KillBalancer  Action = "kill" // SIGKILL, then a new start
)

// onProcess reports whether the action concerns a process and not its links.
func (a Action) onProcess() bool { return a == PauseBalancer || a == KillBalancer }

// FlapInterval is how long a flapping link stays in one state.
const FlapInterval = 200 * time.Millisecond

// Directions says which directions of a link a fault is on.
type Directions uint8

// Directions of a fault. The values are those of stored schedules.
const (
	Both Directions = iota
	OnlyToTarget
	OnlyFromTarget
)

// Includes reports whether a direction is among them.
func (ds Directions) Includes(d faultproxy.Direction) bool {
	switch ds {
	case OnlyToTarget:
		return d == faultproxy.ToTarget
	case OnlyFromTarget:
		return d == faultproxy.FromTarget
	}
	return ds == Both
}

// Targets of a link that are not the number of a server. The values are those of stored schedules.
const (
	Discovery  = -1
	AllServers = -2
)

// Step is one fault of a schedule.
type Step struct {
	At         time.Duration    `json:"at_ns"` // since the day began
	Duration   time.Duration    `json:"for_ns"`
	Action     Action           `json:"act"`
	Balancer   int              `json:"balancer"`
	Target     int              `json:"to"` // of FaultLink and FlapLink: a server, Discovery or AllServers
	Directions Directions       `json:"way"`
	Fault      faultproxy.Fault `json:"fault"`
}

// End returns when the step is over.
func (s Step) End() time.Duration { return s.At + s.Duration }

// String describes the step in words.
func (s Step) String() string {
	when := fmt.Sprintf("%5.2f s for %.2f s: ", s.At.Seconds(), s.Duration.Seconds())
	switch s.Action {
	case PauseBalancer:
		return when + fmt.Sprintf("balancer %d stands still", s.Balancer)
	case KillBalancer:
		return when + fmt.Sprintf("balancer %d is killed, and started again", s.Balancer)
	}
	directions := [...]string{"", ", one way there", ", one way back"}[s.Directions]
	return when + fmt.Sprintf("balancer %d to %s%s: %s", s.Balancer, s.targetName(), directions, s.faultText())
}

func (s Step) targetName() string {
	switch s.Target {
	case Discovery:
		return "the roster"
	case AllServers:
		return "all servers"
	}
	return fmt.Sprintf("server %d", s.Target)
}

func (s Step) faultText() string {
	var parts []string
	f := s.Fault
	if f.Cut != faultproxy.Open {
		parts = append(parts, "cut, "+f.Cut.String())
	} else {
		if f.Delay+f.Jitter > 0 {
			parts = append(parts, fmt.Sprintf("later by %v to %v", f.Delay, f.Delay+f.Jitter))
		}
		if f.BytesPerSecond > 0 {
			parts = append(parts, fmt.Sprintf("%d bytes a second", f.BytesPerSecond))
		}
	}
	if s.Action == FlapLink {
		parts = append(parts, "on and off")
	}
	return strings.Join(parts, ", ")
}

// conflictsWith reports whether two steps concern the same process or link at the same time.
func (s Step) conflictsWith(o Step) bool {
	overlap := s.At < o.End() && o.At < s.End()
	if !overlap || s.Balancer != o.Balancer || s.Action.onProcess() != o.Action.onProcess() {
		return false
	}
	if s.Action.onProcess() || s.Target == o.Target {
		return true
	}
	return s.Target == AllServers && o.Target >= 0 || o.Target == AllServers && s.Target >= 0
}
