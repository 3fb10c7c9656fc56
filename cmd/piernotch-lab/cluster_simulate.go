package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"sync"

	"github.com/schollz/progressbar/v3"

	"piernotch/internal/lab/chaos"
	"piernotch/internal/lab/clustersim"
)

type clusterSimulateCmd struct {
	clusterOptions
	Workers int    `default:"0" help:"Processes at the same time; 0: one a core."`
	Shrink  int    `default:"0" help:"Runs that may be spent on leaving out faults of a seed that violates an invariant."` //nolint:lll // struct tags cannot be wrapped
	Replay  string `placeholder:"FILE" help:"Play the schedule in the file, on its seed."`
	Child   bool   `hidden:"" help:"Play the seeds in this process, and print each result."`
}

// clusterSchedule is a seed's faults as they are kept in a file.
type clusterSchedule struct {
	Seed   uint64             `json:"seed"`
	Size   clustersim.Size    `json:"size"`
	Faults []clustersim.Fault `json:"faults"`
	Broken string             `json:"broken"`
}

func (c *clusterSimulateCmd) Run(ctx context.Context, std *streams) error {
	if c.Child {
		return c.playAsChild(ctx, std)
	}
	if c.Replay != "" || c.Runs == 1 {
		return c.playOne(std)
	}
	if c.Workers == 0 {
		c.Workers = runtime.NumCPU()
	}
	// The consensus engine draws random numbers from a source that a process has once: seeds that
	// are played at the same time are in processes of their own.
	results, err := c.playInChildren(ctx, std)
	if err != nil {
		return err
	}
	acts, fenced, grants := 0, 0, 0
	unheld := 0.0
	failures := []clusterFailure{}
	for _, result := range results {
		acts += result.Acts
		fenced += result.Fenced
		grants += result.Grants
		unheld += result.UnheldShare
		if len(result.Violations) > 0 {
			failures = append(failures, clusterFailure{result.Seed, result.Violations, result.Faults})
		}
	}
	std.out.Printf(
		"%d seeds, %d grants, %d acts, %d rejected by their fencing token, a duty without a lease holder %.1f%% "+
			"of the time\n",
		len(results),
		grants,
		acts,
		fenced,
		100*unheld/float64(max(len(results), 1)),
	)
	if c.Shrink > 0 {
		for _, failure := range failures {
			if err := c.shrink(std, failure); err != nil {
				return err
			}
		}
	}
	return c.finish(std, "simulate", results, failures)
}

// playOne plays one seed, or the schedule of a file, in this process.
func (c *clusterSimulateCmd) playOne(std *streams) error {
	schedule := clusterSchedule{Seed: c.Seed, Size: c.size()}
	schedule.Faults = clustersim.GenerateSchedule(schedule.Seed, schedule.Size)
	if c.Replay != "" {
		data, err := os.ReadFile(c.Replay)
		if err == nil {
			err = json.Unmarshal(data, &schedule)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", c.Replay, err)
		}
	}
	result := clustersim.RunSchedule(schedule.Seed, schedule.Size, schedule.Faults)
	std.out.Printf(
		"seed %d: %d grants, %d acts, %d rejected by their fencing token\n",
		result.Seed,
		result.Grants,
		result.Acts,
		result.Fenced,
	)
	if err := c.draw(schedule.Seed, schedule.Faults, result.Spans); err != nil {
		return err
	}
	var failures []clusterFailure
	if len(result.Violations) > 0 {
		failures = append(failures, clusterFailure{result.Seed, result.Violations, result.Faults})
	}
	return c.finish(std, "simulate", []clustersim.Result{result}, failures)
}

// shrink looks for fewer faults that still violate an invariant, and keeps them in a file.
func (c *clusterSimulateCmd) shrink(std *streams, failure clusterFailure) error {
	schedule := clusterSchedule{Seed: failure.seed, Size: c.size(), Broken: failure.violations[0]}
	schedule.Faults = chaos.Shrink(failure.faults, c.Shrink, func(faults []clustersim.Fault) bool {
		result := clustersim.RunSchedule(schedule.Seed, schedule.Size, faults)
		if len(result.Violations) > 0 {
			schedule.Broken = result.Violations[0]
		}
		return len(result.Violations) > 0
	})
	name := fmt.Sprintf("group-%d.json", schedule.Seed)
	std.out.Printf(
		"%d faults still violate an invariant: piernotch-lab cluster simulate --replay %s\n",
		len(schedule.Faults),
		name,
	)
	return writeJSON(name, schedule)
}

// playAsChild plays the seeds in this process and prints each result as JSON.
func (c *clusterSimulateCmd) playAsChild(ctx context.Context, std *streams) error {
	encoder := json.NewEncoder(std.out)
	for i := range c.Runs {
		if ctx.Err() != nil {
			break
		}
		if err := encoder.Encode(clustersim.Run(c.Seed+uint64(i), c.size())); err != nil {
			return err
		}
	}
	return nil
}

// seedsPerChild is how many seeds one process plays.
const seedsPerChild = 20

// playInChildren plays the seeds in processes of this program and returns the results in the order of
// the seeds. The error is of any process that failed.
func (c *clusterSimulateCmd) playInChildren(ctx context.Context, std *streams) ([]clustersim.Result, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	bar := progressbar.NewOptions(
		c.Runs,
		progressbar.OptionSetWriter(std.err.writer),
		progressbar.OptionClearOnFinish(),
	)
	var (
		mu      sync.Mutex // guards results and failed
		results []clustersim.Result
		failed  error
		work    = make(chan int) // first seeds, as offsets
		workers sync.WaitGroup
	)
	collect := func(result clustersim.Result) {
		mu.Lock()
		results = append(results, result)
		mu.Unlock()
		_ = bar.Add(1) // only the display can fail
	}
	for range c.Workers { // each ends when work is closed
		workers.Go(func() {
			for from := range work {
				if err := c.playChild(ctx, std, childRun{program: self, from: from, collect: collect}); err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
				}
			}
		})
	}
	for from := 0; from < c.Runs; from += seedsPerChild {
		work <- from
	}
	close(work)
	workers.Wait()
	slices.SortFunc(results, func(a, b clustersim.Result) int { return cmp.Compare(a.Seed, b.Seed) })
	return results, failed
}

// childRun is what one process of this program plays: up to seedsPerChild seeds.
type childRun struct {
	program string
	from    int                     // offset of the first seed
	collect func(clustersim.Result) // called with each result
}

// playChild plays seeds in a process of their own and waits for its end.
func (c *clusterSimulateCmd) playChild(ctx context.Context, std *streams, child childRun) error {
	seeds := min(seedsPerChild, c.Runs-child.from)
	cmd := exec.CommandContext(
		ctx,
		child.program,
		"cluster",
		"simulate",
		"--child",
		fmt.Sprintf("--seed=%d", c.Seed+uint64(child.from)),
		fmt.Sprintf("--runs=%d", seeds),
		fmt.Sprintf("--voters=%d", c.Voters),
		fmt.Sprintf("--members=%d", c.Members),
		fmt.Sprintf("--duties=%d", c.Duties),
		fmt.Sprintf("--faults=%d", c.Faults),
		fmt.Sprintf("--length=%d", c.Length),
	)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	cmd.Stderr = std.err.writer
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	got := 0
	for decoder := json.NewDecoder(out); ; got++ {
		var result clustersim.Result
		if decoder.Decode(&result) != nil { // its end, or how it failed: Wait says which
			break
		}
		child.collect(result)
	}
	if err := cmd.Wait(); err != nil {
		return err
	}
	if got < seeds {
		return fmt.Errorf("%d of %d seeds from %d were played", got, seeds, child.from)
	}
	return nil
}
