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

// Errors that Draw returns, wrapped with details.
var (
	ErrUnknownKind = errors.New("no such schedule")
	ErrTooSmall    = errors.New("too small for a schedule")
)

// Size describes the run that a schedule is drawn for.
type Size struct {
	Balancers int
	Servers   int
	Length    time.Duration // of the run; no fault lasts into the final RecoveryTime
	Steps     int           // at most; fewer if too many of the drawn steps conflict
}

// RecoveryTime is the time without faults at the end of a run, in which the service must recover.
const RecoveryTime = 8 * time.Second

// leadTime is the time without faults at the start of a run.
const leadTime = 3 * time.Second

// A schedule takes at most placementAttempts draws per requested step.
const placementAttempts = 20

// Names of the kinds. They are stored in schedules, and each is hashed into the random seed: a renamed kind would give
// other schedules.
const (
	kindLinks     = "links"
	kindDiscovery = "roster"
	kindProcesses = "processes"
	kindFlaps     = "flaps"
	kindMixed     = "mixed"
	kindSoak      = "soak"
)

// Kind is a kind of schedule.
type Kind struct {
	Name        string // as stored and passed to Draw; package storednames has the name to display
	Description string
}

// Kinds are the kinds of schedules that Draw knows.
var Kinds = []Kind{
	{kindLinks, "links to servers are cut, delayed, throttled and reset, in one direction or both"},
	{kindDiscovery, "links to discovery are cut, delayed, throttled and reset, while servers are added and removed"},
	{kindProcesses, "balancers are paused and killed"},
	{kindFlaps, "links are cut and healed every 200 ms"},
	{kindMixed, "all of these, overlapping"},
	{
		kindSoak,
		"watches fall silent, discovery is cut, balancers get series of signals, are killed at the earliest or paused",
	},
}

// Draw draws a schedule of a kind, ordered by time. Steps on the same link or process do not overlap, because the end
// of one step would also end the other step's fault. Draw fails with ErrUnknownKind, or with ErrTooSmall if there is no
// balancer, no server or no time for faults.
func Draw(kind string, seed uint64, size Size) ([]Step, error) {
	if !slices.ContainsFunc(Kinds, func(known Kind) bool { return known.Name == kind }) {
		return nil, fmt.Errorf("%w: %q; --list prints them", ErrUnknownKind, kind)
	}
	available := size.Length - leadTime - RecoveryTime
	if size.Balancers < 1 || size.Servers < 1 || available <= 0 {
		return nil, fmt.Errorf(
			"%d balancers, %d servers and %v are %w",
			size.Balancers,
			size.Servers,
			size.Length,
			ErrTooSmall,
		)
	}
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(kind)))
	var steps []Step
	for attempts := 0; len(steps) < size.Steps && attempts < placementAttempts*size.Steps; attempts++ {
		step := drawStep(kind, rng, size)
		step.Duration = min(step.Duration, available)
		step.At = leadTime + time.Duration(rng.Int64N(int64(available-step.Duration)+1))
		if !slices.ContainsFunc(steps, step.conflictsWith) {
			steps = append(steps, step)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps, nil
}

// drawStep draws a step except its start time. A new order of the random draws would change the schedule of every
// seed.
func drawStep(kind string, rng *rand.Rand, size Size) Step {
	step := Step{Action: FaultLink}
	step.Balancer = rng.IntN(size.Balancers)
	step.Target = Target(rng.IntN(size.Servers))
	step.Duration = between(rng, 300*time.Millisecond, 6*time.Second)
	if kind == kindSoak {
		step.drawSoakStep(rng)
		return step
	}
	if kind == kindMixed {
		kind = []string{kindLinks, kindLinks, kindDiscovery, kindProcesses, kindFlaps}[rng.IntN(5)]
	}
	switch kind {
	case kindDiscovery:
		step.Target = Discovery
	case kindProcesses:
		step.Action = PauseBalancer
		step.Target = 0
		if rng.IntN(2) == 0 {
			step.Action = KillBalancer
			step.Duration = between(rng, 200*time.Millisecond, 3*time.Second)
		}
		return step
	case kindFlaps:
		step.Action = FlapLink
		if rng.IntN(4) == 0 {
			step.Target = Discovery
		}
	case kindLinks:
		if rng.IntN(5) == 0 {
			step.Target = AllServers
		}
	}
	step.drawFault(rng)
	return step
}

// shortPause is the longest pause of a balancer in a soak: too short to excuse any violation.
const shortPause = 150 * time.Millisecond

// drawSoakStep draws a step of a soak. No such step affects a link to a server: a fault there would excuse late
// attempts.
func (s *Step) drawSoakStep(rng *rand.Rand) {
	s.Target = 0
	switch rng.IntN(8) {
	case 0, 1:
		s.Action = FreezeLink
		s.Target = Discovery
	case 2:
		s.Target = Discovery
		s.drawFault(rng)
	case 3, 4:
		s.Action = TerminateBalancer
		s.SignalSeries = rng.IntN(2) == 0
		s.Duration += 4 * time.Second // longer than the time until SIGKILL
	case 5:
		s.Action = ReloadBalancer
		s.Duration = min(s.Duration, time.Second)
	case 6:
		s.Action = PauseBalancer
		s.Duration = between(rng, shortPause/2, shortPause)
	default:
		s.Action = KillBalancer
		s.Duration = between(rng, 200*time.Millisecond, 3*time.Second)
	}
}

// drawFault draws a link's fault and the fault's directions. For FlapLink, the fault is always a cut.
func (s *Step) drawFault(rng *rand.Rand) {
	s.Directions = Directions(rng.IntN(3))
	flaps := s.Action == FlapLink
	switch choice := rng.IntN(5); {
	case choice < 2, flaps && choice < 4:
		s.Fault.Cut = faultproxy.Blackhole
	case choice == 2, flaps:
		s.Fault.Cut = faultproxy.Reset
		s.Directions = Both
	case choice == 3:
		s.Fault.Delay = between(rng, 10*time.Millisecond, 800*time.Millisecond)
		s.Fault.Jitter = between(rng, time.Millisecond, 300*time.Millisecond)
	default:
		s.Fault.BytesPerSecond = 200 + rng.IntN(20000)
	}
}

// between draws a duration in [lower, upper).
func between(rng *rand.Rand, lower, upper time.Duration) time.Duration {
	return lower + time.Duration(rng.Int64N(int64(upper-lower)))
}
