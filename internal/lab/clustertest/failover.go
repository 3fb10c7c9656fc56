package clustertest

import (
	"context"
	"errors"
	"syscall"
	"time"

	"piernotch/internal/group/lease"
)

// Times are how long a duty was in nobody's hand, in seconds, from the signal to the first act under the
// next token.
type Times struct {
	Planned   []float64 `json:"planned_s"`   // SIGTERM
	Unplanned []float64 `json:"unplanned_s"` // SIGKILL
}

// Measure ends the holder of one duty again and again, in turn by either signal, on a group of real
// processes without other faults.
func Measure(ctx context.Context, opts Options, times int) (Times, error) {
	opts.Size.Duties = 1
	r, err := begin(ctx, opts)
	defer r.close()
	if err != nil {
		return Times{}, err
	}
	var out Times
	for i := range 2 * times {
		name, token, err := r.holder(0)
		if err != nil {
			return out, err
		}
		for _, p := range r.procs {
			if p.name != name {
				continue
			}
			s, into := syscall.SIGTERM, &out.Planned
			if i%2 == 1 {
				s, into = syscall.SIGKILL, &out.Unplanned
			}
			at := time.Now()
			done := r.kill(p, s)
			if _, _, err = r.holder(token); err != nil {
				return out, err
			}
			*into = append(*into, time.Since(at).Seconds())
			<-done
			if err := r.start(p); err != nil {
				return out, err
			}
		}
		r.sleep(500 * time.Millisecond) // whoever came back waits for the duty by then
	}
	if len(r.result.Broken) > 0 {
		return out, errors.New(r.result.Broken[0])
	}
	return out, ctx.Err()
}

// holder waits until somebody acts under a token above one, and returns who.
func (r *rig) holder(above uint64) (name string, token uint64, err error) {
	for begun := time.Now(); time.Since(begun) < time.Minute; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		for t, s := range r.acts[lease.Duty("d0")] {
			if t > above && t > token {
				name, token = s.name, t
			}
		}
		r.mu.Unlock()
		if token > above {
			return name, token, nil
		}
		if r.ctx.Err() != nil {
			return "", 0, r.ctx.Err()
		}
	}
	return "", 0, errors.New("nobody holds the duty for a minute")
}
