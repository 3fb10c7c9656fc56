package chaos

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"piernotch/internal/lab/faultproxy"
)

// Errors of Draw.
var (
	ErrUnknownKind = errors.New("no such schedule")
	ErrTooSmall    = errors.New("too little for a schedule")
)

// Size is what a schedule is drawn for.
type Size struct {
	Balancers int
	Servers   int
	Length    time.Duration // of the day; all faults are over RecoveryTime before its end
	Steps     int           // fewer are drawn where so many cannot be placed without conflicts
}

// RecoveryTime is the time without faults at the end of a run, in which the service has to recover.
const RecoveryTime = 8 * time.Second

// leadTime is the time before the first fault.
const leadTime = 3 * time.Second

// placementAttempts bounds how often a place is drawn for a step, on average.
const placementAttempts = 20

// Kind is a kind of schedule.
type Kind struct {
	Name        string // as given to Draw
	Description string
}

// Kinds are the kinds of schedules.
var Kinds = []Kind{
	{"links", "links to servers are cut, slowed, throttled and reset, one way or both"},
	{"roster", "the links to the roster are, while servers come and go"},
	{"processes", "balancers stand still and are killed"},
	{"flaps", "links go on and off every 200 ms"},
	{"mixed", "all of these, overlapping"},
}

// Draw draws a schedule of a kind, in the order of time. Steps on the same link or process do not
// overlap: the later one would end the earlier. It fails with ErrUnknownKind or ErrTooSmall.
func Draw(kind string, seed uint64, size Size) ([]Step, error) {
	if !slices.ContainsFunc(Kinds, func(k Kind) bool { return k.Name == kind }) {
		return nil, fmt.Errorf("%w: %q; --list prints them", ErrUnknownKind, kind)
	}
	available := size.Length - leadTime - RecoveryTime
	if size.Balancers < 1 || size.Servers < 1 || available <= 0 {
		return nil, fmt.Errorf("%d balancers, %d servers and %v are %w", size.Balancers, size.Servers, size.Length, ErrTooSmall)
	}
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(kind)))
	var steps []Step
	for attempts := 0; len(steps) < size.Steps && attempts < placementAttempts*size.Steps; attempts++ {
		s := drawStep(kind, rng, size)
		s.Duration = min(s.Duration, available)
		s.At = leadTime + time.Duration(rng.Int64N(int64(available-s.Duration)+1))
		if !slices.ContainsFunc(steps, s.conflictsWith) {
			steps = append(steps, s)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps, nil
}

// drawStep draws a step without its time. The order of the draws is part of what a seed means.
func drawStep(kind string, rng *rand.Rand, size Size) Step {
	s := Step{Action: FaultLink}
	s.Balancer = rng.IntN(size.Balancers)
	s.Target = rng.IntN(size.Servers)
	s.Duration = between(rng, 300*time.Millisecond, 6*time.Second)
	if kind == "mixed" {
		kind = []string{"links", "links", "roster", "processes", "flaps"}[rng.IntN(5)]
	}
	switch kind {
	case "roster":
		s.Target = Discovery
	case "processes":
		s.Action = PauseBalancer
		s.Target = 0
		if rng.IntN(2) == 0 {
			s.Action = KillBalancer
			s.Duration = between(rng, 200*time.Millisecond, 3*time.Second)
		}
		return s
	case "flaps":
		s.Action = FlapLink
		if rng.IntN(4) == 0 {
			s.Target = Discovery
		}
	case "links":
		if rng.IntN(5) == 0 {
			s.Target = AllServers
		}
	}
	s.drawFault(rng)
	return s
}

// drawFault draws the fault of a link and its directions. A link that flaps is cut.
func (s *Step) drawFault(rng *rand.Rand) {
	s.Directions = Directions(rng.IntN(3))
	flaps := s.Action == FlapLink
	switch n := rng.IntN(5); {
	case n < 2, flaps && n < 4:
		s.Fault.Cut = faultproxy.Blackhole
	case n == 2, flaps:
		s.Fault.Cut = faultproxy.Reset
		s.Directions = Both
	case n == 3:
		s.Fault.Delay = between(rng, 10*time.Millisecond, 800*time.Millisecond)
		s.Fault.Jitter = between(rng, time.Millisecond, 300*time.Millisecond)
	default:
		s.Fault.BytesPerSecond = 200 + rng.IntN(20000)
	}
}

// between draws a duration from lo up to, but not including, hi.
func between(rng *rand.Rand, lo, hi time.Duration) time.Duration {
	return lo + time.Duration(rng.Int64N(int64(hi-lo)))
}
