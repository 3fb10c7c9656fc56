package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/sync/errgroup"

	"piernotch/internal/lab/clustersim"
	"piernotch/internal/lab/clustertest"
)

type clusterProcessesCmd struct {
	clusterOptions
	Parallel int    `name:"parallel" aliases:"beside" default:"2" help:"Seeds that are played at the same time."`
	Program  string `placeholder:"FILE" help:"The voter; piernotch-voter beside this program is the default."`
	Logs     string `placeholder:"DIR" help:"Keep configurations, disks and logs there."`
}

// playEach plays the seeds, several at a time, each with a directory of its own.
func (c *clusterProcessesCmd) playEach(ctx context.Context, std *streams, play func(clustertest.Options) error) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if err := resolveProgram(&c.Program, "piernotch-voter"); err != nil {
		return err
	}
	dir := c.Logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "group"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }() // temporary: what is left does no harm
	}
	bar := progressbar.NewOptions(
		c.Runs,
		progressbar.OptionSetWriter(std.err.writer),
		progressbar.OptionClearOnFinish(),
	)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(c.Parallel)
	for i := range c.Runs {
		group.Go(func() error {
			defer func() { _ = bar.Add(1) }()
			if ctx.Err() != nil {
				return ctx.Err()
			}
			seed := c.Seed + uint64(i)
			own := filepath.Join(dir, fmt.Sprint(seed))
			if err := os.MkdirAll(own, 0o700); err != nil {
				return err
			}
			options := clustertest.Options{
				VoterProgram:  c.Program,
				HolderProgram: self,
				Seed:          seed,
				Size:          c.size(),
				Dir:           own,
			}
			if err := play(options); err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			return nil
		})
	}
	return group.Wait()
}

func (c *clusterProcessesCmd) Run(ctx context.Context, std *streams) error {
	var (
		mu      sync.Mutex
		results []clustertest.Result
	)
	err := c.playEach(ctx, std, func(options clustertest.Options) error {
		result, err := clustertest.Run(ctx, options)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		results = append(results, result)
		return c.draw(result.Seed, clustersim.GenerateSchedule(result.Seed, options.Size), result.Spans)
	})
	if err != nil {
		return err
	}
	slices.SortFunc(results, func(a, b clustertest.Result) int { return cmp.Compare(a.Seed, b.Seed) })
	acts, fenced, grants := 0, 0, 0
	var gaps []float64
	failures := []clusterFailure{}
	for _, result := range results {
		acts += result.Acts
		fenced += result.Fenced
		grants += result.Grants
		gaps = append(gaps, result.Gaps...)
		if len(result.Violations) > 0 {
			failures = append(failures, clusterFailure{result.Seed, result.Violations, result.Faults})
		}
	}
	slices.Sort(gaps)
	std.out.Printf(
		"%d seeds, %d grants, %d acts, %d rejected by their fencing token",
		len(results),
		grants,
		acts,
		fenced,
	)
	if count := len(gaps); count > 0 {
		std.out.Printf(
			"; without a lease holder for %.3f s in the median, %.3f s at most",
			gaps[count/2],
			gaps[count-1],
		)
	}
	std.out.Println()
	return c.finish(std, "processes", results, failures)
}

type clusterTimesCmd struct {
	clusterProcessesCmd
	Failovers int `name:"failovers" aliases:"times" default:"10" help:"Failovers of either kind in each control group; --runs groups are measured."` //nolint:lll // struct tags cannot be wrapped
}

func (c *clusterTimesCmd) Run(ctx context.Context, std *streams) error {
	var (
		mu  sync.Mutex
		all clustertest.FailoverTimes
	)
	err := c.playEach(ctx, std, func(options clustertest.Options) error {
		measured, err := clustertest.MeasureFailover(ctx, options, c.Failovers)
		mu.Lock()
		defer mu.Unlock()
		all.Planned = append(all.Planned, measured.Planned...)
		all.Unplanned = append(all.Unplanned, measured.Unplanned...)
		return err
	})
	if err != nil {
		return err
	}
	for _, kind := range []struct {
		name    string
		seconds []float64
	}{{"planned", all.Planned}, {"unplanned", all.Unplanned}} {
		seconds := kind.seconds
		if count := len(seconds); count > 0 {
			slices.Sort(seconds)
			std.out.Printf(
				"%-9s %d times: median %.3f s, p99 %.3f s, longest %.3f s\n",
				kind.name,
				count,
				seconds[count/2],
				seconds[count*99/100],
				seconds[count-1],
			)
		}
	}
	if c.JSON != "" {
		return writeJSON(c.JSON, all)
	}
	return nil
}
