package clustertest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"piernotch/internal/controlgroup/client"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
	"piernotch/internal/lab/clustersim"
	"piernotch/internal/lab/faultproxy"
)

// LeaseDuration is the duration of leases in the groups under test.
const LeaseDuration = 2 * time.Second

const (
	maxClockDrift = 0.01
	startTimeout  = 20 * time.Second // from the start until every duty is held
	endTimeout    = time.Second      // at the end of a run, until every duty is held
	listInterval  = 50 * time.Millisecond
	maxViolations = 8
	harnessNumber = -1 // of the harness's own client, among the process numbers
)

// Options are the settings of a run.
type Options struct {
	VoterProgram  string // path
	HolderProgram string // path of piernotch-lab, whose command "hold" is run
	Seed          uint64
	Size          clustersim.Size // Receivers only shapes the schedule: the harness receives the acts
	Dir           string          // existing directory for configurations, stores and logs
}

// Result is the outcome of one run.
type Result struct {
	Seed        uint64             `json:"seed"`
	Violations  []string           `json:"broken,omitempty"`
	Faults      []clustersim.Fault `json:"faults,omitempty"` // only after a violation
	Spans       []clustersim.Span  `json:"-"`
	Unsupported []string           `json:"left,omitempty"` // kinds of faults that cannot be injected into processes
	Acts        int                `json:"acts"`
	Fenced      int                `json:"fenced"` // acts whose token the harness rejected
	Calls       int                `json:"calls"`
	Grants      int                `json:"grants"` // tokens under which a holder acted
	Gaps        []float64          `json:"gaps_s"` // seconds from the last act under a token to the next token's first
}

// harness is the state of one run. Its goroutines are: the collector of reports, until close; one for each
// connection of a holder and one for each process, until the process ends; and one for each fault, for which Run waits.
type harness struct {
	opts      Options
	proxies   *faultproxy.Network
	rng       *rand.Rand // under mu
	processes []*process // voters first, then holders, as numbered in a schedule
	listener  net.Listener
	observer  *client.Client // lists leases and voters, and acquires no duties
	startedAt time.Time      // zero of the schedule's times

	mu         sync.Mutex
	knownDisks map[string]protocol.VoterID // voter IDs by voter name, when allDisksVote last reported true
	lostDisks  map[string]protocol.VoterID // by voter name, the ID of the disk lost last
	uses       map[lease.Duty]map[lease.Token]*tokenUse
	fence      lease.Fence
	calls      []clustersim.Call
	result     Result
}

func newHarness(opts Options) *harness {
	return &harness{
		opts:       opts,
		proxies:    faultproxy.New(opts.Seed),
		rng:        rand.New(rand.NewPCG(opts.Seed, 0x916)),
		knownDisks: map[string]protocol.VoterID{},
		lostDisks:  map[string]protocol.VoterID{},
		uses:       map[lease.Duty]map[lease.Token]*tokenUse{},
		result:     Result{Seed: opts.Seed},
	}
}

// Run plays the schedule of one seed. Violations are in the result; the error says why the group did not start, or
// that ctx ended the run.
func Run(ctx context.Context, opts Options) (Result, error) {
	harness := newHarness(opts)
	defer harness.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // before close kills the processes, so that their end is no violation
	if err := harness.start(ctx); err != nil {
		return harness.snapshot(), err
	}
	harness.beginSchedule()
	faults := clustersim.GenerateSchedule(opts.Seed, opts.Size)
	var injections sync.WaitGroup
	for _, fault := range faults {
		injections.Go(func() {
			if sleep(ctx, fault.At-harness.elapsed()) {
				harness.inject(ctx, fault)
			}
		})
	}
	injections.Wait()
	sleep(ctx, opts.Size.Duration-harness.elapsed())
	if ctx.Err() == nil {
		harness.checkEnd(ctx)
	}
	result := harness.snapshot()
	if len(result.Violations) > 0 {
		result.Faults = faults
	}
	return result, ctx.Err()
}

// start starts all processes and waits until every duty is held. close must be called even if start fails.
func (h *harness) start(ctx context.Context) error {
	var err error
	if h.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	go h.collectReports() // until close
	if err := h.prepare(ctx); err != nil {
		return err
	}
	for _, process := range h.processes {
		if err := h.startProcess(ctx, process); err != nil {
			return err
		}
	}
	return h.waitUntilHeld(ctx, startTimeout)
}

// close ends everything that start began. The context of start must be done.
func (h *harness) close() {
	if h.observer != nil {
		h.observer.Close(0)
	}
	for _, process := range h.processes {
		if done := h.signalEnd(process, syscall.SIGKILL); done != nil {
			<-done
		}
	}
	if h.listener != nil {
		_ = h.listener.Close()
	}
	h.proxies.Close()
}

// waitUntilHeld waits until the group lists a grant for every duty. It fails if List fails, or after timeout.
func (h *harness) waitUntilHeld(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		list, err := h.observer.List(ctx)
		if err != nil {
			return fmt.Errorf("the group has no leader: %w", err)
		}
		if len(list.Leases.Grants) == h.opts.Size.Duties {
			return nil
		}
		sleep(ctx, listInterval)
	}
}

// beginSchedule makes the current time the zero of the schedule's times.
func (h *harness) beginSchedule() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startedAt = time.Now()
}

func (h *harness) elapsed() time.Duration { return time.Since(h.startedAt) }

// violation records a violated property with its time in the schedule.
func (h *harness) violation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.result.Violations) < maxViolations {
		text := fmt.Sprintf("%.3f s: ", h.elapsed().Seconds()) + fmt.Sprintf(format, args...)
		h.result.Violations = append(h.result.Violations, text)
	}
}

func (h *harness) snapshot() Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.result
}

// sleep waits for duration and returns true, or returns false as soon as ctx is done.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
