package loadtest

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"piernotch/internal/lab/scenario"
)

// HandoverKind is how a handover goes.
type HandoverKind string

// Kinds of handovers. Each ends with one process of the balancer. The values are those of stored
// results.
const (
	HandoverPlain            HandoverKind = "plain"       // the old process is asked to end once the new one is ready
	HandoverLateStop         HandoverKind = "late"        // up to maxStopDelay after that
	HandoverCrashBeforeReady HandoverKind = "dies-early"  // the new one is killed before it is ready
	HandoverCrashAfterReady  HandoverKind = "dies-late"   // and after it, before the old one is asked to end
	HandoverBothReload       HandoverKind = "both-reload" // both get a SIGHUP meanwhile
	HandoverStopBeforeReady  HandoverKind = "too-soon"    // the old one is asked to end while the new one starts
	HandoverThirdProcess     HandoverKind = "third"       // a third is started beside the two
	// A server is excluded at either process meanwhile, and included again.
	HandoverExclude HandoverKind = "exclude"
	// The balancer is drained at one process and rejoins at the other.
	HandoverDrain HandoverKind = "drain"
)

// HandoverKinds are all of them.
var HandoverKinds = []HandoverKind{
	HandoverPlain, HandoverLateStop, HandoverCrashBeforeReady, HandoverCrashAfterReady, HandoverBothReload,
	HandoverStopBeforeReady, HandoverThirdProcess, HandoverExclude, HandoverDrain,
}

// Handover is one of a balancer's handovers in a run.
type Handover struct {
	At        time.Duration // since the run began
	Balancer  int
	Kind      HandoverKind
	StopDelay time.Duration // until the old process is asked to end, where that is late
}

const (
	// HandoverInterval is the time from one handover of a balancer to its next, which covers the
	// longest.
	HandoverInterval = maxStopDelay + 8*time.Second
	// HandoverLeadTime is the time before the first handover.
	HandoverLeadTime = 2 * time.Second

	maxStopDelay = 6 * time.Second
	// readyTimeout is how long a new process may take to be ready.
	readyTimeout = 5 * time.Second
	// killGrace is how long after the longest deadline of a class a process that was asked to end
	// is killed.
	killGrace = 700 * time.Millisecond
)

// handoverStream is the random stream of DrawHandovers, apart from those that other draws of a seed use.
const handoverStream = 23

// DrawHandovers spreads a number of handovers over the balancers of a realization, one after the other at
// each, and gives every kind the same share. They are determined by the realization's seed.
func DrawHandovers(realization *scenario.Realization, count int) []Handover {
	rng := rand.New(rand.NewPCG(realization.Seed, handoverStream))
	handovers := make([]Handover, count)
	for i := range handovers {
		handovers[i] = Handover{
			Balancer: i % len(realization.Balancers), Kind: HandoverKinds[i%len(HandoverKinds)],
			StopDelay: time.Duration(rng.Int64N(int64(maxStopDelay))),
		}
	}
	rng.Shuffle(count, func(i, j int) { handovers[i].Kind, handovers[j].Kind = handovers[j].Kind, handovers[i].Kind })
	for i := range handovers {
		handovers[i].At = HandoverLeadTime + time.Duration(i)*HandoverInterval/time.Duration(len(realization.Balancers))
	}
	return handovers
}

// HandoverReport is the result of the handovers. It is complete when Run has returned.
type HandoverReport struct {
	mu           sync.Mutex
	Done         map[HandoverKind]int `json:"done"`
	SlowestReady time.Duration        `json:"slowest_yes_ns"`
	Problems     []string             `json:"wrong,omitempty"` // admin calls whose response was late or wrong
	Exited       int                  `json:"ended"`           // processes that ended when asked to
	Killed       int                  `json:"killed"`          // and that had to be killed after their time
	// ClosedUnderRequest counts requests whose connection was closed unread, by processes that were not killed.
	ClosedUnderRequest int `json:"turned_back"`
}

func (h *HandoverReport) addProblem(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Problems = append(h.Problems, fmt.Sprintf(format, args...))
}

// addDone counts a handover that has come to its end.
func (h *HandoverReport) addDone(kind HandoverKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Done[kind]++
}

// addReady counts a new process that was ready after a time.
func (h *HandoverReport) addReady(after time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.SlowestReady = max(h.SlowestReady, after)
}

// addExited counts an old process that ended when it was asked to.
func (h *HandoverReport) addExited() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Exited++
}

// addKilled counts an old process that had to be killed.
func (h *HandoverReport) addKilled() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Killed++
}
