package experiment

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
)

// Plan is what is to be run.
type Plan struct {
	Scenario *scenario.Scenario
	Seed     uint64 // the first; the others follow it
	Runs     int    // how many seeds
	Workers  int    // days played at once; 0: as many as there are cores
	Progress func() // called for each run that has ended, from any goroutine; may be nil
}

// Counter counts runs, for callers that print their number now and then. Its methods may be called from any
// goroutine.
type Counter struct{ n atomic.Int64 }

// Done counts one run. It can be a Plan's Progress.
func (c *Counter) Done() { c.n.Add(1) }

// Count returns how many have ended.
func (c *Counter) Count() int { return int(c.n.Load()) }

// Run plays all seeds for one variant. The results are in the order of the seeds, whatever the number of
// workers. It ends with the first error, or with the context's.
func Run(ctx context.Context, p Plan, v Variant) ([]*simulation.Result, error) {
	s, err := p.Scenario.With(v.Set...)
	if err != nil {
		return nil, err
	}
	results := make([]*simulation.Result, p.Runs)
	workers, ctx := errgroup.WithContext(ctx)
	workers.SetLimit(p.workers())
	for i := range p.Runs {
		workers.Go(func() error { // ends with its day
			if ctx.Err() != nil {
				return ctx.Err()
			}
			r, err := runSeed(s, p.Seed+uint64(i), v.Adapter)
			if err != nil {
				return err
			}
			results[i] = r
			if p.Progress != nil {
				p.Progress()
			}
			return nil
		})
	}
	if err := workers.Wait(); err != nil {
		return nil, err
	}
	return results, nil
}

func (p *Plan) workers() int {
	if p.Workers == 0 {
		return runtime.GOMAXPROCS(0)
	}
	return max(p.Workers, 1)
}

// runSeed plays one day.
func runSeed(s *scenario.Scenario, seed uint64, adapter string) (*simulation.Result, error) {
	realization, err := s.Draw(seed)
	if err != nil {
		return nil, err
	}
	var tier simulation.Tier = simulation.NewInProcess()
	if adapter != "" {
		tier, err = simulation.StartChild(realization, adapter)
		if err != nil {
			return nil, err
		}
	}
	w, err := simulation.New(realization, tier)
	if err != nil {
		_ = tier.Close() // the first error says more
		return nil, err
	}
	r, err := w.Run()
	closeErr := tier.Close()
	if err == nil && closeErr != nil {
		err = fmt.Errorf("seed %d: %w", seed, closeErr)
	}
	return r, err
}
