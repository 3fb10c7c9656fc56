package scenario

import "time"

// Act is the kind of a step.
type Act uint8

// Acts. They are done to one server, to several, or to what all have in common.
const (
	Slow         Act = iota // Server runs Size times slower, on top of what it does already
	Pauses                  // Server stands still for Length, every Every; zeros end it
	Choke                   // Server is choked
	Drain                   // Server drains
	End                     // Server's process ends
	Start                   // Server's process starts, cold
	Vanish                  // Server falls silent
	Join                    // a machine like Server starts; Number tells it from others
	Takeover                // the same, at Server's address
	Lose                    // the list says by mistake that Servers are gone
	Regain                  // and has them again
	ReportsLater            // load reports come later by Length, which may be negative
	ListLater               // so does what the list learns
	Spoil                   // the share of spoilt answers changes by Size
	OutageBegins            // discovery goes down
	OutageEnds              // and comes back
)

// Step is one thing that is done to servers or discovery at a time.
type Step struct {
	At            time.Duration
	Do            Act
	Server        int
	Servers       []int
	Size          float64
	Every, Length time.Duration
	Number        int
}

// restartDuration is how long a server's process is away in a restart.
const restartDuration = 500 * time.Millisecond

// Steps is what the day's troubles do to servers and discovery, trouble by trouble: one
// script for all that play the day. Those of balancers and of traffic are not in it.
func (d *Instance) Steps() []Step {
	var out []Step
	for i := range d.Faults {
		in := &d.Faults[i]
		add := func(s Step) { out = append(out, s) }
		both := func(begin, end Step) { // over the whole of the trouble
			begin.At, end.At = in.At, in.End()
			add(begin)
			add(end)
		}
		late := time.Duration(in.Size * float64(time.Second))
		switch in.Kind {
		case "report_late":
			both(Step{Do: ReportsLater, Length: late}, Step{Do: ReportsLater, Length: -late})
		case "discovery_late":
			both(Step{Do: ListLater, Length: late}, Step{Do: ListLater, Length: -late})
		case "discovery_outage":
			both(Step{Do: OutageBegins}, Step{Do: OutageEnds})
		case "spoil":
			both(Step{Do: Spoil, Size: in.Part}, Step{Do: Spoil, Size: -in.Part})
		case "list_loss":
			both(Step{Do: Lose, Servers: in.Servers}, Step{Do: Regain, Servers: in.Servers})
		}
		for n, s := range in.Servers {
			// The n-th of many goes when its share of the time is over.
			at := in.At + in.For*time.Duration(n)/time.Duration(len(in.Servers))
			number := n + 1000*(in.Number+1)
			switch in.Kind {
			case "slow":
				both(Step{Do: Slow, Server: s, Size: in.Size}, Step{Do: Slow, Server: s, Size: 1 / in.Size})
			case "pauses":
				length := time.Duration(in.Size * float64(time.Millisecond))
				both(Step{Do: Pauses, Server: s, Every: in.Every, Length: length}, Step{Do: Pauses, Server: s})
			case "choke":
				add(Step{At: in.At, Do: Choke, Server: s})
			case "crash":
				both(Step{Do: End, Server: s}, Step{Do: Start, Server: s})
			case "vanish":
				both(Step{Do: Vanish, Server: s}, Step{Do: Start, Server: s})
			case "shrink", "leave", "replace", "restart":
				add(Step{At: at, Do: Drain, Server: s})
				add(Step{At: at + in.Ramp, Do: End, Server: s})
				if in.Kind == "replace" {
					add(Step{At: at, Do: Join, Server: s, Number: number})
				}
				if in.Kind == "restart" {
					add(Step{At: at + in.Ramp + restartDuration, Do: Start, Server: s})
				}
			case "join":
				add(Step{At: at, Do: Join, Server: s, Number: number})
			case "takeover":
				add(Step{At: at, Do: End, Server: s})
				add(Step{At: at + in.Ramp, Do: Takeover, Server: s, Number: number})
			}
		}
	}
	return out
}
