package scenario

import "time"

// Action is the kind of a step.
type Action uint8

// Actions. An action is applied to one server, to several, or to a property that all have in common.
const (
	Slow             Action = iota // Server's speed is divided by Size, on top of earlier slowdowns
	Pauses                         // Server pauses for Length every Every; zeros end the pauses
	Overload                       // Server is put into overload collapse
	Drain                          // Server starts to drain
	Exit                           // Server's process exits
	Start                          // Server's process starts, in slow start
	Vanish                         // Server is cut off: it responds to nothing any more
	Join                           // a server of Server's kind starts; Number identifies it
	Takeover                       // the same, at Server's address
	DelistServers                  // discovery omits Servers by mistake
	RelistServers                  // discovery lists Servers again
	DelayReports                   // the delay of load reports grows by Length, which may be negative
	DelayDiscovery                 // the delay of discovery grows by Length, which may be negative
	CorruptResponses               // the share of corrupted responses grows by Size, which may be negative
	RepeatResponses                // Size of the responses come a second time, up to Length later; 0 ends it
	DiscoveryDown                  // discovery becomes unavailable
	DiscoveryUp                    // discovery is available again
)

// Step is one change to servers or to discovery. Fields that its action does not name are zero.
type Step struct {
	At            time.Duration // since the start of the run
	Action        Action
	Server        int   // index into Realization.Servers
	Servers       []int // indexes into Realization.Servers; not to be modified
	Size          float64
	Every, Length time.Duration
	Number        int // identifies a server that joins, see Realization.Like
}

// maxServersPerFault keeps the numbers of servers that join by different faults apart; two faults that
// affect more servers may give servers of the same draw.
const maxServersPerFault = 1000

// restartDuration is the time from the exit of a server's process to its start in a restart.
const restartDuration = 500 * time.Millisecond

// Steps returns what the faults of the realization do to servers and to discovery, fault by fault; within
// a fault the times need not ascend. Faults of balancers and of traffic have no steps.
func (r *Realization) Steps() []Step {
	var steps []Step
	for i := range r.Faults {
		fault := &r.Faults[i]
		steps = append(steps, fault.sharedSteps()...)
		for position := range fault.Servers {
			steps = append(steps, fault.serverSteps(position)...)
		}
	}
	return steps
}

// during returns a step for the start of the fault and one for its end.
func (f *Fault) during(begin, end Step) []Step {
	begin.At = f.At
	end.At = f.End()
	return []Step{begin, end}
}

// sharedSteps returns the steps of faults that affect all servers or discovery.
func (f *Fault) sharedSteps() []Step {
	switch f.Kind {
	case FaultLateReports:
		delay := time.Duration(f.Size * float64(time.Second))
		return f.during(Step{Action: DelayReports, Length: delay}, Step{Action: DelayReports, Length: -delay})
	case FaultLateDiscovery:
		delay := time.Duration(f.Size * float64(time.Second))
		return f.during(Step{Action: DelayDiscovery, Length: delay}, Step{Action: DelayDiscovery, Length: -delay})
	case FaultDiscoveryOutage:
		return f.during(Step{Action: DiscoveryDown}, Step{Action: DiscoveryUp})
	case FaultCorruptResponses:
		return f.during(Step{Action: CorruptResponses, Size: f.Part}, Step{Action: CorruptResponses, Size: -f.Part})
	case FaultRepeatedResponses:
		delay := time.Duration(f.Size * float64(time.Millisecond))
		return f.during(Step{Action: RepeatResponses, Size: f.Part, Length: delay}, Step{Action: RepeatResponses})
	case FaultDelistServers:
		return f.during(
			Step{Action: DelistServers, Servers: f.Servers},
			Step{Action: RelistServers, Servers: f.Servers},
		)
	}
	return nil
}

// serverSteps returns the steps of faults that affect servers one by one, for the server at a
// position in the fault's list.
func (f *Fault) serverSteps(position int) []Step {
	server := f.Servers[position]
	switch f.Kind {
	case FaultSlowServers:
		return f.during(
			Step{Action: Slow, Server: server, Size: f.Size},
			Step{Action: Slow, Server: server, Size: 1 / f.Size},
		)
	case FaultServerPauses:
		length := time.Duration(f.Size * float64(time.Millisecond))
		return f.during(
			Step{Action: Pauses, Server: server, Every: f.Every, Length: length},
			Step{Action: Pauses, Server: server},
		)
	case FaultOverloadServers:
		return []Step{{At: f.At, Action: Overload, Server: server}}
	case FaultCrashServers:
		return f.during(Step{Action: Exit, Server: server}, Step{Action: Start, Server: server})
	case FaultUnresponsiveServers:
		return f.during(Step{Action: Vanish, Server: server}, Step{Action: Start, Server: server})
	}
	return f.membershipSteps(position)
}

// membershipSteps returns the steps of faults that replace, add, remove or restart servers in turn:
// the turns are spread evenly over the duration of the fault.
func (f *Fault) membershipSteps(position int) []Step {
	server := f.Servers[position]
	at := f.At + f.For*time.Duration(position)/time.Duration(len(f.Servers))
	drain := Step{At: at, Action: Drain, Server: server}
	end := Step{At: at + f.Ramp, Action: Exit, Server: server}
	number := position + maxServersPerFault*(f.Number+1)
	switch f.Kind {
	case FaultShrink, FaultLeave:
		return []Step{drain, end}
	case FaultReplaceServers:
		return []Step{drain, end, {At: at, Action: Join, Server: server, Number: number}}
	case FaultRestartServers:
		return []Step{drain, end, {At: at + f.Ramp + restartDuration, Action: Start, Server: server}}
	case FaultJoinServers:
		return []Step{{At: at, Action: Join, Server: server, Number: number}}
	case FaultAddressTakeover:
		return []Step{
			{At: at, Action: Exit, Server: server},
			{At: at + f.Ramp, Action: Takeover, Server: server, Number: number},
		}
	}
	return nil
}
