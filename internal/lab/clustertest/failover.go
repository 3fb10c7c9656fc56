package clustertest

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"piernotch/internal/controlgroup/lease"
)

const (
	rejoinPause     = 500 * time.Millisecond // after a restart, until the process waits for the duty
	failoverTimeout = time.Minute
	failoverPoll    = time.Millisecond
)

var errNoFailover = errors.New("nobody holds the duty for a minute")

// FailoverTimes are how long a duty was held by nobody, in seconds, from the signal that ended its holder to the
// first act under the next token.
type FailoverTimes struct {
	Planned   []float64 `json:"planned_s"`   // SIGTERM
	Unplanned []float64 `json:"unplanned_s"` // SIGKILL
}

// MeasureFailover ends the holder of one duty 2*times times, by SIGTERM and SIGKILL in turn, in a group of real
// processes without other faults. With an error it returns what was measured before.
func MeasureFailover(ctx context.Context, opts Options, times int) (FailoverTimes, error) {
	opts.Size.Duties = 1
	h := newHarness(opts)
	defer h.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // runs before close, whose end of the processes is then no violation
	if err := h.start(ctx); err != nil {
		return FailoverTimes{}, err
	}
	var measured FailoverTimes
	for i := range 2 * times {
		signal, results := syscall.SIGTERM, &measured.Planned
		if i%2 == 1 {
			signal, results = syscall.SIGKILL, &measured.Unplanned
		}
		took, err := h.failOver(ctx, signal)
		if took > 0 {
			*results = append(*results, took.Seconds())
		}
		if err != nil {
			return measured, err
		}
		sleep(ctx, rejoinPause)
	}
	if violations := h.snapshot().Violations; len(violations) > 0 {
		return measured, errors.New(violations[0])
	}
	return measured, ctx.Err()
}

// failOver ends the duty's holder by a signal and starts it again after another took over. took is 0 if
// none did.
func (h *harness) failOver(ctx context.Context, signal syscall.Signal) (took time.Duration, err error) {
	name, token, err := h.waitForHolder(ctx, 0)
	if err != nil {
		return 0, err
	}
	p, err := h.processNamed(name)
	if err != nil {
		return 0, err
	}
	signalledAt := time.Now()
	done := h.signalEnd(p, signal)
	if _, _, err := h.waitForHolder(ctx, token); err != nil {
		return 0, err
	}
	took = time.Since(signalledAt)
	<-done
	return took, h.startProcess(ctx, p)
}

// processNamed returns the process of a name that a report has given.
func (h *harness) processNamed(name string) (*process, error) {
	for _, p := range h.processes {
		if p.name == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("a report of an unknown process: %q", name)
}

// waitForHolder waits until a holder acts under a token above one, and returns the highest such token.
func (h *harness) waitForHolder(ctx context.Context, above uint64) (name string, token uint64, err error) {
	for startedAt := time.Now(); time.Since(startedAt) < failoverTimeout; time.Sleep(failoverPoll) {
		name, token = h.latestHolder("d0")
		if token > above {
			return name, token, nil
		}
		if ctx.Err() != nil {
			return "", 0, ctx.Err()
		}
	}
	return "", 0, errNoFailover
}

// latestHolder returns who acted under the duty's highest token so far; 0 if nobody did.
func (h *harness) latestHolder(d lease.Duty) (name string, token uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for t, use := range h.uses[d] {
		if t > token {
			name, token = use.holder, t
		}
	}
	return name, token
}
