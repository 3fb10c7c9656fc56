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
	Workers int    `default:"0" help:"Processes side by side; 0: one a core."`
	Shrink  int    `default:"0" help:"Plays that may be spent on leaving out faults of a seed that breaks something."`
	Replay  string `placeholder:"FILE" help:"Play the schedule in the file, on its seed."`
	Child   bool   `hidden:"" help:"Play the seeds here, and print each result."`
}

// clusterSchedule is a seed's faults as they are kept in a file.
type clusterSchedule struct {
	Seed   uint64             `json:"seed"`
	Size   clustersim.Size    `json:"size"`
	Faults []clustersim.Fault `json:"faults"`
	Broken string             `json:"broken"`
}

func (c *clusterSimulateCmd) Run(ctx context.Context, o *output) error {
	if c.Child {
		return c.playAsChild(ctx, o)
	}
	if c.Replay != "" || c.Runs == 1 {
		return c.playOne(o)
	}
	if c.Workers == 0 {
		c.Workers = runtime.NumCPU()
	}
	// The consensus engine draws random numbers from a source that a process has once: seeds that
	// are played at the same time are in processes of their own.
	results, err := c.playInChildren(ctx, o)
	if err != nil {
		return err
	}
	acts, fenced, grants := 0, 0, 0
	unheld := 0.0
	failures := []clusterFailure{}
	for _, r := range results {
		acts += r.Acts
		fenced += r.Fenced
		grants += r.Grants
		unheld += r.UnheldShare
		if len(r.Violations) > 0 {
			failures = append(failures, clusterFailure{r.Seed, r.Violations, r.Faults})
		}
	}
	o.out.Printf("%d seeds, %d grants, %d acts, %d refused by their token, a duty held by nobody %.1f%% of the time\n",
		len(results), grants, acts, fenced, 100*unheld/float64(max(len(results), 1)))
	if c.Shrink > 0 {
		for _, failure := range failures {
			if err := c.shrink(o, failure); err != nil {
				return err
			}
		}
	}
	return c.finish(o, "simulate", results, failures)
}

// playOne plays one seed, or the schedule of a file, in this process.
func (c *clusterSimulateCmd) playOne(o *output) error {
	s := clusterSchedule{Seed: c.Seed, Size: c.size()}
	s.Faults = clustersim.GenerateSchedule(s.Seed, s.Size)
	if c.Replay != "" {
		data, err := os.ReadFile(c.Replay)
		if err == nil {
			err = json.Unmarshal(data, &s)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", c.Replay, err)
		}
	}
	r := clustersim.RunSchedule(s.Seed, s.Size, s.Faults)
	o.out.Printf("seed %d: %d grants, %d acts, %d refused by their token\n", r.Seed, r.Grants, r.Acts, r.Fenced)
	if err := c.draw(s.Seed, s.Faults, r.Spans); err != nil {
		return err
	}
	var failures []clusterFailure
	if len(r.Violations) > 0 {
		failures = append(failures, clusterFailure{r.Seed, r.Violations, r.Faults})
	}
	return c.finish(o, "simulate", []clustersim.Result{r}, failures)
}

// shrink looks for fewer faults that still violate an invariant, and keeps them in a file.
func (c *clusterSimulateCmd) shrink(o *output, failure clusterFailure) error {
	s := clusterSchedule{Seed: failure.seed, Size: c.size(), Broken: failure.violations[0]}
	s.Faults = chaos.Shrink(failure.faults, c.Shrink, func(faults []clustersim.Fault) bool {
		r := clustersim.RunSchedule(s.Seed, s.Size, faults)
		if len(r.Violations) > 0 {
			s.Broken = r.Violations[0]
		}
		return len(r.Violations) > 0
	})
	name := fmt.Sprintf("group-%d.json", s.Seed)
	o.out.Printf("%d faults still break something: piernotch-lab cluster simulate --replay %s\n", len(s.Faults), name)
	return writeJSON(name, s)
}

// playAsChild plays the seeds in this process and prints each result as JSON.
func (c *clusterSimulateCmd) playAsChild(ctx context.Context, o *output) error {
	enc := json.NewEncoder(o.out)
	for i := range c.Runs {
		if ctx.Err() != nil {
			break
		}
		if err := enc.Encode(clustersim.Run(c.Seed+uint64(i), c.size())); err != nil {
			return err
		}
	}
	return nil
}

// seedsPerChild is how many seeds one process plays.
const seedsPerChild = 20

// playInChildren plays the seeds in processes of this program and returns the results in the order of
// the seeds. The error is of any process that failed.
func (c *clusterSimulateCmd) playInChildren(ctx context.Context, o *output) ([]clustersim.Result, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	bar := progressbar.NewOptions(c.Runs, progressbar.OptionSetWriter(o.err.writer), progressbar.OptionClearOnFinish())
	var (
		mu      sync.Mutex // guards results and failed
		results []clustersim.Result
		failed  error
		work    = make(chan int) // first seeds, as offsets
		workers sync.WaitGroup
	)
	collect := func(r clustersim.Result) {
		mu.Lock()
		results = append(results, r)
		mu.Unlock()
		_ = bar.Add(1) // only the display can fail
	}
	for range c.Workers { // each ends when work is closed
		workers.Go(func() {
			for from := range work {
				if err := c.playChild(ctx, o, self, from, collect); err != nil {
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

// playChild plays up to seedsPerChild seeds in one process, from an offset on.
func (c *clusterSimulateCmd) playChild(ctx context.Context, o *output, program string, from int, collect func(clustersim.Result)) error {
	n := min(seedsPerChild, c.Runs-from)
	cmd := exec.CommandContext(ctx, program, "cluster", "simulate", "--child",
		fmt.Sprintf("--seed=%d", c.Seed+uint64(from)), fmt.Sprintf("--runs=%d", n),
		fmt.Sprintf("--voters=%d", c.Voters), fmt.Sprintf("--members=%d", c.Members), fmt.Sprintf("--duties=%d", c.Duties),
		fmt.Sprintf("--faults=%d", c.Faults), fmt.Sprintf("--length=%d", c.Length))
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	cmd.Stderr = o.err.writer
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	got := 0
	for dec := json.NewDecoder(out); ; got++ {
		var r clustersim.Result
		if dec.Decode(&r) != nil { // its end, or how it failed: Wait says which
			break
		}
		collect(r)
	}
	if err := cmd.Wait(); err != nil {
		return err
	}
	if got < n {
		return fmt.Errorf("%d of %d seeds from %d were played", got, n, from)
	}
	return nil
}
