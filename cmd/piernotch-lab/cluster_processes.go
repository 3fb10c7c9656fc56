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
	Beside  int    `default:"2" help:"Seeds that are played side by side."`
	Program string `placeholder:"FILE" help:"The voter; piernotch-voter beside this program is the default."`
	Logs    string `placeholder:"DIR" help:"Keep configurations, disks and logs there."`
}

// playEach plays the seeds, several at a time, each with a directory of its own.
func (c *clusterProcessesCmd) playEach(ctx context.Context, o *output, play func(clustertest.Options) error) error {
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
	bar := progressbar.NewOptions(c.Runs, progressbar.OptionSetWriter(o.err.writer), progressbar.OptionClearOnFinish())
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(c.Beside)
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
			if err := play(clustertest.Options{VoterProgram: c.Program, HolderProgram: self, Seed: seed, Size: c.size(), Dir: own}); err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			return nil
		})
	}
	return group.Wait()
}

func (c *clusterProcessesCmd) Run(ctx context.Context, o *output) error {
	var (
		mu      sync.Mutex
		results []clustertest.Result
	)
	err := c.playEach(ctx, o, func(opts clustertest.Options) error {
		r, err := clustertest.Run(ctx, opts)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		results = append(results, r)
		return c.draw(r.Seed, clustersim.GenerateSchedule(r.Seed, opts.Size), r.Spans)
	})
	if err != nil {
		return err
	}
	slices.SortFunc(results, func(a, b clustertest.Result) int { return cmp.Compare(a.Seed, b.Seed) })
	acts, fenced, grants := 0, 0, 0
	var gaps []float64
	failures := []clusterFailure{}
	for _, r := range results {
		acts += r.Acts
		fenced += r.Fenced
		grants += r.Grants
		gaps = append(gaps, r.Gaps...)
		if len(r.Violations) > 0 {
			failures = append(failures, clusterFailure{r.Seed, r.Violations, r.Faults})
		}
	}
	slices.Sort(gaps)
	o.out.Printf("%d seeds, %d grants, %d acts, %d refused by their token", len(results), grants, acts, fenced)
	if n := len(gaps); n > 0 {
		o.out.Printf("; from one holder to the next %.3f s in the median, %.3f s at most", gaps[n/2], gaps[n-1])
	}
	o.out.Println()
	return c.finish(o, "processes", results, failures)
}

type clusterTimesCmd struct {
	clusterProcessesCmd
	Times int `default:"10" help:"Ends of either kind in each group; --runs groups are measured."`
}

func (c *clusterTimesCmd) Run(ctx context.Context, o *output) error {
	var (
		mu  sync.Mutex
		all clustertest.FailoverTimes
	)
	err := c.playEach(ctx, o, func(opts clustertest.Options) error {
		t, err := clustertest.MeasureFailover(ctx, opts, c.Times)
		mu.Lock()
		defer mu.Unlock()
		all.Planned = append(all.Planned, t.Planned...)
		all.Unplanned = append(all.Unplanned, t.Unplanned...)
		return err
	})
	if err != nil {
		return err
	}
	for _, kind := range []struct {
		name    string
		seconds []float64
	}{{"planned", all.Planned}, {"unplanned", all.Unplanned}} {
		s := kind.seconds
		if n := len(s); n > 0 {
			slices.Sort(s)
			o.out.Printf("%-9s %d times: median %.3f s, p99 %.3f s, most %.3f s\n", kind.name, n, s[n/2], s[n*99/100], s[n-1])
		}
	}
	if c.JSON != "" {
		return writeJSON(c.JSON, all)
	}
	return nil
}
