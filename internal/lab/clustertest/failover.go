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
	rejoinPause     = 500 * time.Millisecond // after a restart, for the process to contend for the duty again
	failoverTimeout = time.Minute
	failoverPoll    = time.Millisecond
)

var errNoFailover = errors.New("the duty had no lease holder for a minute")

// FailoverTimes are the seconds from the signal that ended a duty's holder to the first reported act under a higher
// token.
type FailoverTimes struct {
	Planned   []float64 `json:"planned_s"`   // after SIGTERM
	Unplanned []float64 `json:"unplanned_s"` // after SIGKILL
}

// MeasureFailover ends the holder of one duty 2*times times, by SIGTERM and SIGKILL in turn, in a group of real
// processes without other faults. Along with an error it returns the times measured so far.
func MeasureFailover(ctx context.Context, opts Options, times int) (FailoverTimes, error) {
	opts.Size.Duties = 1
	harness := newHarness(opts)
	defer harness.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // before close kills the processes, so that their end is no violation
	if err := harness.start(ctx); err != nil {
		return FailoverTimes{}, err
	}
	var measured FailoverTimes
	for i := range 2 * times {
		signal, results := syscall.SIGTERM, &measured.Planned
		if i%2 == 1 {
			signal, results = syscall.SIGKILL, &measured.Unplanned
		}
		took, err := harness.failOver(ctx, signal)
		if took > 0 {
			*results = append(*results, took.Seconds())
		}
		if err != nil {
			return measured, err
		}
		sleep(ctx, rejoinPause)
	}
	if violations := harness.snapshot().Violations; len(violations) > 0 {
		return measured, errors.New(violations[0])
	}
	return measured, ctx.Err()
}

// failOver ends the duty's holder by a signal, waits for an act under a higher token, and starts the ended process
// again. took is the time from the signal to the report of that act, or 0 if there was none.
func (h *harness) failOver(ctx context.Context, signal syscall.Signal) (took time.Duration, err error) {
	name, token, err := h.waitForHolder(ctx, 0)
	if err != nil {
		return 0, err
	}
	holder, err := h.processNamed(name)
	if err != nil {
		return 0, err
	}
	signalledAt := time.Now()
	done := h.signalEnd(holder, signal)
	if _, _, err := h.waitForHolder(ctx, token); err != nil {
		return 0, err
	}
	took = time.Since(signalledAt)
	<-done
	return took, h.startProcess(ctx, holder)
}

// processNamed returns the process that a report names.
func (h *harness) processNamed(name string) (*process, error) {
	for _, process := range h.processes {
		if process.name == name {
			return process, nil
		}
	}
	return nil, fmt.Errorf("report from an unknown process: %q", name)
}

// waitForHolder waits until a holder has acted under a token higher than above. It returns the highest token and that
// token's holder, or fails after failoverTimeout.
func (h *harness) waitForHolder(ctx context.Context, above lease.Token) (name string, token lease.Token, err error) {
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

// latestHolder returns the highest reported token of the duty and its holder; the token is 0 if there is none.
func (h *harness) latestHolder(duty lease.Duty) (name string, token lease.Token) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for candidate, use := range h.uses[duty] {
		if candidate > token {
			name, token = use.holder, candidate
		}
	}
	return name, token
}
