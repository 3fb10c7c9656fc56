package loadtest

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"piernotch/internal/lab/scenario"
)

// HandoverKind is the course that a handover takes.
type HandoverKind string

// Kinds of handovers. After each, the balancer has one process. The values are those of stored results.
const (
	HandoverPlain            HandoverKind = "plain"       // the old process gets SIGTERM once the new one is ready
	HandoverLateStop         HandoverKind = "late"        // the old one gets SIGTERM StopDelay after the new is ready
	HandoverCrashBeforeReady HandoverKind = "dies-early"  // the new one is killed before it is ready
	HandoverCrashAfterReady  HandoverKind = "dies-late"   // the new one is killed after it is ready; the old serves on
	HandoverBothReload       HandoverKind = "both-reload" // both get SIGHUP once the new one is ready
	HandoverStopBeforeReady  HandoverKind = "too-soon"    // the old one gets SIGTERM while the new one starts
	HandoverThirdProcess     HandoverKind = "third"       // a third process takes over from the new and the old one
	// A server is excluded at both processes, and included again at the new one.
	HandoverExclude HandoverKind = "exclude"
	// The balancer is drained at the old process and rejoins at the new one.
	HandoverDrain HandoverKind = "drain"
)

// HandoverKinds lists all kinds. Their order affects what DrawHandovers draws.
var HandoverKinds = []HandoverKind{
	HandoverPlain, HandoverLateStop, HandoverCrashBeforeReady, HandoverCrashAfterReady, HandoverBothReload,
	HandoverStopBeforeReady, HandoverThirdProcess, HandoverExclude, HandoverDrain,
}

// Handover is a planned handover of one balancer to a new process.
type Handover struct {
	At       time.Duration // since the run began
	Balancer int
	Kind     HandoverKind
	// StopDelay is the time from the new process's readiness to SIGTERM in HandoverLateStop. HandoverCrashAfterReady
	// waits a third of StopDelay before the kill.
	StopDelay time.Duration
}

const (
	// HandoverInterval is the time between the starts of two handovers of a balancer. It usually exceeds the longest
	// handover; if not, the next one waits.
	HandoverInterval = maxStopDelay + 8*time.Second
	// HandoverLeadTime is the time from the run's beginning to its first handover.
	HandoverLeadTime = 2 * time.Second

	maxStopDelay = 6 * time.Second
	// readyTimeout is how long a new process may take to become ready.
	readyTimeout = 5 * time.Second
	// killGrace is the time that a process gets to exit after SIGTERM, on top of minStopLimit or a longer class
	// deadline.
	killGrace = 700 * time.Millisecond
)

// handoverStream is the random stream of DrawHandovers. Other draws of the same seed use other streams.
const handoverStream = 23

// DrawHandovers draws handovers from the realization's seed. Balancers take turns, with HandoverInterval between two
// handovers of the same one. The numbers of handovers of any two kinds differ by at most one.
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

// HandoverReport counts the outcomes of a run's handovers. It is complete when Run has returned.
type HandoverReport struct {
	mu           sync.Mutex
	Done         map[HandoverKind]int `json:"done"`
	SlowestReady time.Duration        `json:"slowest_yes_ns"`
	Problems     []string             `json:"wrong,omitempty"` // late or wrong admin responses and health checks
	Exited       int                  `json:"ended"`           // processes that exited in time after SIGTERM
	Killed       int                  `json:"killed"`          // processes killed: no exit in time after SIGTERM
	// ClosedUnderRequest counts requests on reused connections that the balancer, as far as clients can tell, closed
	// before it read the request. Killed and paused balancers are left out.
	ClosedUnderRequest int `json:"turned_back"`
}

func (h *HandoverReport) addProblem(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Problems = append(h.Problems, fmt.Sprintf(format, args...))
}

func (h *HandoverReport) addDone(kind HandoverKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Done[kind]++
}

// addReady updates SlowestReady with the time that a new process took to become ready.
func (h *HandoverReport) addReady(after time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.SlowestReady = max(h.SlowestReady, after)
}

// addExited counts a process that exited in time after SIGTERM.
func (h *HandoverReport) addExited() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Exited++
}

// addKilled counts a process that had to be killed after SIGTERM.
func (h *HandoverReport) addKilled() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Killed++
}
