package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/sync/errgroup"

	"piernotch/internal/lab/chaos"
	"piernotch/internal/lab/clustersim"
	"piernotch/internal/lab/clustertest"
)

type groupCmd struct {
	Model groupModelCmd `cmd:"" help:"Play schedules of faults on the control group in simulated time, thousands of seeds."`
	Rig   groupRigCmd   `cmd:"" help:"Play the same schedules on real processes with relays between them."`
	Times groupTimesCmd `cmd:"" help:"Measure how long a duty is in nobody's hand when its holder ends, planned and unplanned."`
}

// groupSize is what a schedule is played on.
type groupSize struct {
	Seed    uint64 `default:"1" help:"The first seed."`
	Runs    int    `default:"100" help:"How many seeds."`
	Voters  int    `default:"3" help:"Processes that vote."`
	Members int    `default:"4" help:"Processes that want duties."`
	Duties  int    `default:"2" help:"Duties that all of them want."`
	Faults  int    `default:"12" help:"Faults of each seed."`
	Length  int    `default:"60" help:"Seconds of each seed; the last 25 are without faults."`
	JSON    string `name:"json" placeholder:"FILE" help:"Keep the results there."`
	SVG     string `name:"svg" placeholder:"FILE" help:"With one seed: draw who held what, and what went wrong."`
}

// draw keeps the picture of a seed.
func (g *groupSize) draw(seed uint64, faults []clustersim.Fault, spans []clustersim.Span) error {
	if g.SVG == "" || g.Runs != 1 {
		return nil
	}
	f, err := os.Create(g.SVG)
	if err != nil {
		return err
	}
	defer f.Close()
	clustersim.Timeline(f, fmt.Sprintf("seed %d", seed), g.size().Length, faults, spans)
	return nil
}

func (g *groupSize) size() clustersim.Size {
	return clustersim.Size{
		Voters: g.Voters, Members: g.Members, Receivers: 2, Duties: g.Duties,
		Length: time.Duration(g.Length) * time.Second, Faults: g.Faults,
	}
}

type groupModelCmd struct {
	groupSize
	Workers int    `default:"0" help:"Processes side by side; 0: one a core."`
	Shrink  int    `default:"0" help:"Plays that may be spent on leaving out faults of a seed that breaks something."`
	Replay  string `placeholder:"FILE" help:"Play the schedule in the file, on its seed."`
	Child   bool   `hidden:"" help:"Play the seeds here, and print each result."`
}

// schedule is a seed's faults as they are kept in a file.
type schedule struct {
	Seed   uint64             `json:"seed"`
	Size   clustersim.Size    `json:"size"`
	Faults []clustersim.Fault `json:"faults"`
	Broken string             `json:"broken"`
}

func (c *groupModelCmd) Run(ctx context.Context, o *output) error {
	if c.Child {
		return c.child(ctx, o)
	}
	if c.Replay != "" || c.Runs == 1 {
		return c.one(o)
	}
	if c.Workers == 0 {
		c.Workers = runtime.NumCPU()
	}
	// The engine draws chance from what is one in a process: seeds side by side are in processes of their own.
	results, err := c.spread(ctx, o)
	if err != nil {
		return err
	}
	acts, fenced, grants := 0, 0, 0
	unheld := 0.0
	broken := []told{}
	for _, r := range results {
		acts, fenced, grants, unheld = acts+r.Acts, fenced+r.Fenced, grants+r.Grants, unheld+r.Unheld
		if len(r.Broken) > 0 {
			broken = append(broken, told{r.Seed, r.Broken, r.Faults})
		}
	}
	fmt.Fprintf(o.out, "%d seeds, %d grants, %d acts, %d refused by their token, a duty held by nobody %.1f%% of the time\n",
		len(results), grants, acts, fenced, 100*unheld/float64(max(len(results), 1)))
	for _, b := range broken {
		if c.Shrink > 0 {
			if err := c.shrink(o, b); err != nil {
				return err
			}
		}
	}
	return c.end(o, "model", results, broken)
}

// one plays one seed, or a schedule of a file, here.
func (c *groupModelCmd) one(o *output) error {
	s := schedule{Seed: c.Seed, Size: c.size()}
	s.Faults = clustersim.Draw(s.Seed, s.Size)
	if c.Replay != "" {
		data, err := os.ReadFile(c.Replay)
		if err == nil {
			err = json.Unmarshal(data, &s)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", c.Replay, err)
		}
	}
	r := clustersim.PlayFaults(s.Seed, s.Size, s.Faults)
	fmt.Fprintf(o.out, "seed %d: %d grants, %d acts, %d refused by their token\n", r.Seed, r.Grants, r.Acts, r.Fenced)
	if err := c.draw(s.Seed, s.Faults, r.Spans); err != nil {
		return err
	}
	var broken []told
	if len(r.Broken) > 0 {
		broken = append(broken, told{r.Seed, r.Broken, r.Faults})
	}
	return c.end(o, "model", []clustersim.Result{r}, broken)
}

// shrink looks for fewer faults that still break something, and keeps them in a file.
func (c *groupModelCmd) shrink(o *output, b told) error {
	s := schedule{Seed: b.seed, Size: c.size(), Broken: b.broken[0]}
	s.Faults = chaos.Shrink(b.faults, c.Shrink, func(faults []clustersim.Fault) bool {
		r := clustersim.PlayFaults(s.Seed, s.Size, faults)
		if len(r.Broken) > 0 {
			s.Broken = r.Broken[0]
		}
		return len(r.Broken) > 0
	})
	name := fmt.Sprintf("group-%d.json", s.Seed)
	fmt.Fprintf(o.out, "%d faults still break something: piernotch-lab group model --replay %s\n", len(s.Faults), name)
	return write(name, s)
}

// told is a seed that broke something.
type told struct {
	seed   uint64
	broken []string
	faults []clustersim.Fault
}

// end tells what was broken, keeps the results, and gives the exit code.
func (g *groupSize) end(o *output, verb string, results any, broken []told) error {
	for _, b := range broken {
		fmt.Fprintf(o.out, "seed %d BROKEN: %s\n", b.seed, b.broken[0])
		for _, f := range b.faults {
			fmt.Fprintln(o.out, " ", f)
		}
		fmt.Fprintf(o.out, "again: piernotch-lab group %s --seed %d --runs 1 --voters %d --members %d --duties %d --faults %d --length %d\n",
			verb, b.seed, g.Voters, g.Members, g.Duties, g.Faults, g.Length)
	}
	if g.JSON != "" {
		if err := write(g.JSON, results); err != nil {
			return err
		}
	}
	fmt.Fprintf(o.out, "%d seeds broke something\n", len(broken))
	if len(broken) > 0 {
		return errFails
	}
	return nil
}

func (c *groupModelCmd) child(ctx context.Context, o *output) error {
	enc := json.NewEncoder(o.out)
	for i := range c.Runs {
		if ctx.Err() != nil {
			break
		}
		if err := enc.Encode(clustersim.Play(c.Seed+uint64(i), c.size())); err != nil {
			return err
		}
	}
	return nil
}

func (c *groupModelCmd) spread(ctx context.Context, o *output) ([]clustersim.Result, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	const share = 20
	bar := progressbar.NewOptions(c.Runs, progressbar.OptionSetWriter(o.err), progressbar.OptionClearOnFinish())
	var (
		mu   sync.Mutex
		all  []clustersim.Result
		work = make(chan int)
		over sync.WaitGroup
		bad  error
	)
	for range c.Workers {
		over.Go(func() {
			for from := range work {
				n := min(share, c.Runs-from)
				cmd := exec.CommandContext(ctx, self, "group", "model", "--child", fmt.Sprintf("--seed=%d", c.Seed+uint64(from)), fmt.Sprintf("--runs=%d", n),
					fmt.Sprintf("--voters=%d", c.Voters), fmt.Sprintf("--members=%d", c.Members), fmt.Sprintf("--duties=%d", c.Duties),
					fmt.Sprintf("--faults=%d", c.Faults), fmt.Sprintf("--length=%d", c.Length))
				cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
				cmd.Stderr = o.err
				out, err := cmd.StdoutPipe()
				if err == nil {
					err = cmd.Start()
				}
				got := 0
				if err == nil {
					for dec := json.NewDecoder(out); ; got++ {
						var r clustersim.Result
						if dec.Decode(&r) != nil {
							break
						}
						mu.Lock()
						all = append(all, r)
						mu.Unlock()
						_ = bar.Add(1)
					}
					err = cmd.Wait()
				}
				if err == nil && got < n {
					err = fmt.Errorf("%d of %d seeds from %d were played", got, n, from)
				}
				if err != nil {
					mu.Lock()
					bad = err
					mu.Unlock()
				}
			}
		})
	}
	for from := 0; from < c.Runs; from += share {
		work <- from
	}
	close(work)
	over.Wait()
	slices.SortFunc(all, func(a, b clustersim.Result) int { return int(int64(a.Seed) - int64(b.Seed)) })
	return all, bad
}

type groupRigCmd struct {
	groupSize
	Beside  int    `default:"2" help:"Seeds that are played side by side."`
	Program string `placeholder:"FILE" help:"The voter; piernotch-voter beside this program is the default."`
	Logs    string `placeholder:"DIR" help:"Keep configurations, disks and logs there."`
}

// each plays seeds side by side, each with a directory of its own.
func (c *groupRigCmd) each(ctx context.Context, o *output, play func(clustertest.Options) error) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if err := beside(&c.Program, "piernotch-voter"); err != nil {
		return err
	}
	dir := c.Logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "group"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	bar := progressbar.NewOptions(c.Runs, progressbar.OptionSetWriter(o.err), progressbar.OptionClearOnFinish())
	all, ctx := errgroup.WithContext(ctx)
	all.SetLimit(c.Beside)
	for i := range c.Runs {
		all.Go(func() error {
			defer func() { _ = bar.Add(1) }()
			if ctx.Err() != nil {
				return ctx.Err()
			}
			seed := c.Seed + uint64(i)
			own := filepath.Join(dir, fmt.Sprint(seed))
			if err := os.MkdirAll(own, 0o700); err != nil {
				return err
			}
			if err := play(clustertest.Options{Voter: c.Program, Holder: self, Seed: seed, Size: c.size(), Dir: own}); err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			return nil
		})
	}
	return all.Wait()
}

func (c *groupRigCmd) Run(ctx context.Context, o *output) error {
	var (
		mu  sync.Mutex
		all []clustertest.Result
	)
	if err := c.each(ctx, o, func(opts clustertest.Options) error {
		r, err := clustertest.Run(ctx, opts)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		all = append(all, r)
		return c.draw(r.Seed, clustersim.Draw(r.Seed, opts.Size), r.Spans)
	}); err != nil {
		return err
	}
	slices.SortFunc(all, func(a, b clustertest.Result) int { return int(int64(a.Seed) - int64(b.Seed)) })
	acts, fenced, grants := 0, 0, 0
	var gaps []float64
	broken := []told{}
	for _, r := range all {
		acts, fenced, grants, gaps = acts+r.Acts, fenced+r.Fenced, grants+r.Grants, append(gaps, r.Gaps...)
		if len(r.Broken) > 0 {
			broken = append(broken, told{r.Seed, r.Broken, r.Faults})
		}
	}
	slices.Sort(gaps)
	fmt.Fprintf(o.out, "%d seeds, %d grants, %d acts, %d refused by their token", len(all), grants, acts, fenced)
	if n := len(gaps); n > 0 {
		fmt.Fprintf(o.out, "; from one holder to the next %.3f s in the median, %.3f s at most", gaps[n/2], gaps[n-1])
	}
	fmt.Fprintln(o.out)
	return c.end(o, "rig", all, broken)
}

type groupTimesCmd struct {
	groupRigCmd
	Times int `default:"10" help:"Ends of either kind in each group; --runs groups are measured."`
}

func (c *groupTimesCmd) Run(ctx context.Context, o *output) error {
	var (
		mu  sync.Mutex
		all clustertest.Times
	)
	err := c.each(ctx, o, func(opts clustertest.Options) error {
		t, err := clustertest.Measure(ctx, opts, c.Times)
		mu.Lock()
		defer mu.Unlock()
		all.Planned, all.Unplanned = append(all.Planned, t.Planned...), append(all.Unplanned, t.Unplanned...)
		return err
	})
	if err != nil {
		return err
	}
	for _, k := range []struct {
		name string
		s    []float64
	}{{"planned", all.Planned}, {"unplanned", all.Unplanned}} {
		if n := len(k.s); n > 0 {
			slices.Sort(k.s)
			fmt.Fprintf(o.out, "%-9s %d times: median %.3f s, p99 %.3f s, most %.3f s\n", k.name, n, k.s[n/2], k.s[n*99/100], k.s[n-1])
		}
	}
	if c.JSON != "" {
		return write(c.JSON, all)
	}
	return nil
}

// holdCmd is a process of the rig.
type holdCmd struct {
	File string `arg:"" help:"The group's file."`
	Rig  string `arg:"" help:"Where the rig listens."`
}

func (c *holdCmd) Run(ctx context.Context) error { return clustertest.Act(ctx, c.File, c.Rig) }
