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
	Workers  int    // runs at the same time; 0: as many as there are cores
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
func Run(ctx context.Context, plan Plan, variant Variant) ([]*simulation.Result, error) {
	varied, err := plan.Scenario.With(variant.Set...)
	if err != nil {
		return nil, err
	}
	results := make([]*simulation.Result, plan.Runs)
	workers, ctx := errgroup.WithContext(ctx)
	workers.SetLimit(plan.workers())
	for i := range plan.Runs {
		workers.Go(func() error { // ends with its run
			if ctx.Err() != nil {
				return ctx.Err()
			}
			result, err := runSeed(varied, plan.Seed+uint64(i), variant.Adapter)
			if err != nil {
				return err
			}
			results[i] = result
			if plan.Progress != nil {
				plan.Progress()
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

// runSeed plays one realization.
func runSeed(definition *scenario.Scenario, seed uint64, adapter string) (*simulation.Result, error) {
	realization, err := definition.Draw(seed)
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
	world, err := simulation.New(realization, tier)
	if err != nil {
		_ = tier.Close() // the first error says more
		return nil, err
	}
	result, err := world.Run()
	closeErr := tier.Close()
	if err == nil && closeErr != nil {
		err = fmt.Errorf("seed %d: %w", seed, closeErr)
	}
	return result, err
}
