// Package chaos draws schedules of faults between processes: links cut, slowed or reset, processes
// stopped, killed and started again. A schedule follows from its kind, its seed and the size of what
// it is played on, and can be told in words. Who plays it has the processes and the links; the
// package does no I/O.
package chaos

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"piernotch/internal/lab/faultproxy"
)

// Act is what a step does.
type Act string

// Acts.
const (
	Link Act = "link" // what Fault says, on Way, for as long as the step lasts
	Flap Act = "flap" // the same, on and off every flapEvery
	Stop Act = "stop" // SIGSTOP, then SIGCONT
	Kill Act = "kill" // SIGKILL, then a new start
)

// FlapEvery is how long a flapping link stays in one state.
const FlapEvery = 200 * time.Millisecond

// Way is which directions of a link are concerned.
type Way uint8

// Ways.
const (
	Both Way = iota
	OnlyThere
	OnlyBack
)

// Has tells whether a direction is concerned.
func (w Way) Has(d faultproxy.Direction) bool {
	return w == Both || w == OnlyThere && d == faultproxy.There || w == OnlyBack && d == faultproxy.Back
}

// Ends of a link that are no server.
const (
	Roster  = -1
	Servers = -2 // all servers
)

// Step is one fault.
type Step struct {
	At       time.Duration    `json:"at_ns"`
	For      time.Duration    `json:"for_ns"`
	Act      Act              `json:"act"`
	Balancer int              `json:"balancer"`
	To       int              `json:"to"` // of Link and Flap: a server, Roster or Servers
	Way      Way              `json:"way"`
	Fault    faultproxy.Fault `json:"fault"`
}

// End is when the step is over.
func (s Step) End() time.Duration { return s.At + s.For }

// String tells the step in words.
func (s Step) String() string {
	head := fmt.Sprintf("%5.2f s for %.2f s: ", s.At.Seconds(), s.For.Seconds())
	switch s.Act {
	case Stop:
		return head + fmt.Sprintf("balancer %d stands still", s.Balancer)
	case Kill:
		return head + fmt.Sprintf("balancer %d is killed, and started again", s.Balancer)
	}
	to := fmt.Sprintf("server %d", s.To)
	switch s.To {
	case Roster:
		to = "the roster"
	case Servers:
		to = "all servers"
	}
	what := []string{}
	if f := s.Fault; f.Cut != faultproxy.Open {
		what = append(what, "cut, "+f.Cut.String())
	} else {
		if f.Delay+f.Jitter > 0 {
			what = append(what, fmt.Sprintf("later by %v to %v", f.Delay, f.Delay+f.Jitter))
		}
		if f.BytesPerSecond > 0 {
			what = append(what, fmt.Sprintf("%d bytes a second", f.BytesPerSecond))
		}
	}
	if s.Act == Flap {
		what = append(what, "on and off")
	}
	return head + fmt.Sprintf("balancer %d to %s%s: %s", s.Balancer, to, [...]string{"", ", one way there", ", one way back"}[s.Way], strings.Join(what, ", "))
}

// Size is what a schedule is drawn for.
type Size struct {
	Balancers, Servers int
	Length             time.Duration // all faults are over by then, but for Rest
	Steps              int
}

// Rest is the time at the end of a run without faults, in which the service has to be whole again.
const Rest = 8 * time.Second

// lead is the time before the first fault.
const lead = 3 * time.Second

// Kinds are the kinds of schedules and what they hold.
var Kinds = []struct{ Name, What string }{
	{"links", "links to servers are cut, slowed, throttled and reset, one way or both"},
	{"roster", "the links to the roster are, while servers come and go"},
	{"processes", "balancers stand still and are killed"},
	{"flaps", "links go on and off every 200 ms"},
	{"mixed", "all of these, overlapping"},
}

// Draw draws a schedule. Steps at one balancer's same link, or at the same process, do not overlap:
// the later one would end the earlier.
func Draw(kind string, seed uint64, size Size) ([]Step, error) {
	if !slices.ContainsFunc(Kinds, func(k struct{ Name, What string }) bool { return k.Name == kind }) {
		return nil, fmt.Errorf("no schedule %q; --list tells them", kind)
	}
	room := size.Length - lead - Rest
	if size.Balancers < 1 || size.Servers < 1 || room <= 0 {
		return nil, fmt.Errorf("%d balancers, %d servers and %v are too little for a schedule", size.Balancers, size.Servers, size.Length)
	}
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(kind)))
	var all []Step
	for tries := 0; len(all) < size.Steps && tries < 20*size.Steps; tries++ {
		s := draw(kind, rng, size)
		s.For = min(s.For, room)
		s.At = lead + time.Duration(rng.Int64N(int64(room-s.For)+1))
		if !slices.ContainsFunc(all, s.meets) {
			all = append(all, s)
		}
	}
	slices.SortStableFunc(all, func(a, b Step) int { return int(a.At - b.At) })
	return all, nil
}

func draw(kind string, rng *rand.Rand, size Size) Step {
	between := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo))) }
	s := Step{Balancer: rng.IntN(size.Balancers), Act: Link, To: rng.IntN(size.Servers), For: between(300*time.Millisecond, 6*time.Second)}
	if kind == "mixed" {
		kind = []string{"links", "links", "roster", "processes", "flaps"}[rng.IntN(5)]
	}
	switch kind {
	case "roster":
		s.To = Roster
	case "processes":
		s.Act, s.To = Stop, 0
		if rng.IntN(2) == 0 {
			s.Act, s.For = Kill, between(200*time.Millisecond, 3*time.Second)
		}
		return s
	case "flaps":
		s.Act = Flap
		if rng.IntN(4) == 0 {
			s.To = Roster
		}
	case "links":
		if rng.IntN(5) == 0 {
			s.To = Servers
		}
	}
	s.Way = Way(rng.IntN(3))
	switch n := rng.IntN(5); {
	case n < 2 || s.Act == Flap && n < 4:
		s.Fault.Cut = faultproxy.Silent
	case n == 2 || s.Act == Flap:
		s.Fault.Cut, s.Way = faultproxy.Reset, Both
	case n == 3:
		s.Fault.Delay, s.Fault.Jitter = between(10*time.Millisecond, 800*time.Millisecond), between(time.Millisecond, 300*time.Millisecond)
	default:
		s.Fault.BytesPerSecond = 200 + rng.IntN(20000)
	}
	return s
}

// meets tells whether two steps touch the same thing at the same time.
func (s Step) meets(o Step) bool {
	if s.At >= o.End() || o.At >= s.End() || s.Balancer != o.Balancer {
		return false
	}
	process := func(a Act) bool { return a == Stop || a == Kill }
	if process(s.Act) != process(o.Act) {
		return false
	}
	return process(s.Act) || s.To == o.To || s.To == Servers && o.To >= 0 || o.To == Servers && s.To >= 0
}

// Shrink leaves out steps as long as fails says that what is left still fails, and returns what it
// could not leave out. It asks at most so many times.
func Shrink[T any](steps []T, most int, fails func([]T) bool) []T {
	for size := (len(steps) + 1) / 2; size >= 1 && most > 0; {
		shorter := false
		for i := 0; i < len(steps) && len(steps) > 1 && most > 0; i += size {
			rest := slices.Concat(steps[:i], steps[min(i+size, len(steps)):])
			if len(rest) == 0 {
				continue
			}
			most--
			if fails(rest) {
				steps, shorter = rest, true
				break
			}
		}
		if !shorter {
			size /= 2
		}
		size = min(size, len(steps))
	}
	return steps
}
