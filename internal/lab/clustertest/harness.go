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

// LeaseDuration is that of the groups under test.
const LeaseDuration = 2 * time.Second

const (
	maxClockDrift = 0.01
	startTimeout  = 20 * time.Second // until every duty is held for the first time
	endTimeout    = time.Second      // the same at the end of a run
	listInterval  = 50 * time.Millisecond
	maxViolations = 8
	harnessNumber = -1 // of the harness' own client, among the numbers of processes
)

// Options say what is run.
type Options struct {
	VoterProgram  string // the path of the voter's program
	HolderProgram string // the path of the holder's program: piernotch-lab, whose command "hold" is run
	Seed          uint64
	Size          clustersim.Size // Receivers is not used: the harness receives the acts
	Dir           string          // an existing folder for configurations, stores and logs
}

// Result is what came of one seed.
type Result struct {
	Seed        uint64             `json:"seed"`
	Violations  []string           `json:"broken,omitempty"` // the violations
	Faults      []clustersim.Fault `json:"faults,omitempty"` // of a run with violations
	Spans       []clustersim.Span  `json:"-"`
	Unsupported []string           `json:"left,omitempty"` // kinds of faults that cannot be injected into processes
	Acts        int                `json:"acts"`
	Fenced      int                `json:"fenced"` // acts whose token the harness rejected
	Calls       int                `json:"calls"`
	Grants      int                `json:"grants"` // tokens under which something was done
	Gaps        []float64          `json:"gaps_s"` // seconds between the acts under one token and the next
}

// harness is the state of one run. Its goroutines are the collector of reports, which close ends, one for
// each process, which ends with the process, and one for each fault, which Run waits for.
type harness struct {
	opts      Options
	proxies   *faultproxy.Network
	rng       *rand.Rand // under mu
	processes []*process // voters first, then holders: by the numbers of a schedule's processes
	listener  net.Listener
	observer  *client.Client // without duties: shows leases and voters
	startedAt time.Time      // of the schedule

	mu         sync.Mutex
	knownDisks map[string]protocol.VoterID // the identity of each voter's disk when allDisksVote was called last
	lostDisks  map[string]protocol.VoterID // the identity of the disk that each voter lost last
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

// Run plays the schedule of one seed. Violations are in the result; the error says why a run could not be
// played or was ended by ctx.
func Run(ctx context.Context, opts Options) (Result, error) {
	harness := newHarness(opts)
	defer harness.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // runs before close, whose end of the processes is then no violation
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

// start starts all processes and waits until every duty is held. close has to be called in any case.
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

// close ends all that start began. The context of start must be done.
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

// waitUntilHeld waits until every duty is held.
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

// beginSchedule sets the zero of the schedule's times.
func (h *harness) beginSchedule() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startedAt = time.Now()
}

func (h *harness) elapsed() time.Duration { return time.Since(h.startedAt) }

// violation records that the run broke a property.
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

// sleep waits, and reports whether ctx was not done before.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
