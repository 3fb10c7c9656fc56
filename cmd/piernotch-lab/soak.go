package main

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"piernotch/internal/lab/loadtest"
	"piernotch/internal/lab/simulation"
	"piernotch/internal/lab/soak"
)

type soakCmd struct {
	Seed     uint64        `default:"1" help:"Of the first run."`
	Runs     int           `default:"4" help:"Seeds to play."`
	Except   []uint64      `placeholder:"SEED" help:"Seeds that are passed over, because they are known to fail."`
	Parallel int           `default:"2" help:"Seeds that are played at the same time."`
	Length   time.Duration `default:"30s" help:"Of each run, in real time."`
	Program  string        `placeholder:"FILE" help:"The balancer; piernotch beside this program is the default."`
	Logs     string        `placeholder:"DIR" help:"Keep the balancers' configurations and logs there, a directory for each seed."` //nolint:lll // struct tags cannot be wrapped
}

// soakRun is one seed and how it ended.
type soakRun struct {
	plan   *soak.Plan
	report *loadtest.Report
	failed string // what was violated; "": nothing
	void   string // why it does not count; "": it does
}

func (c *soakCmd) Run(ctx context.Context, std *streams) error {
	if err := resolveProgram(&c.Program, "piernotch"); err != nil {
		return err
	}
	var (
		mu                   sync.Mutex
		played, failed, void int
	)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(c.Parallel)
	for _, seed := range c.seeds(std) {
		group.Go(func() error {
			if ctx.Err() != nil {
				return nil
			}
			run, err := c.play(ctx, seed)
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			mu.Lock()
			defer mu.Unlock()
			played++
			c.print(std, run)
			switch {
			case run.failed != "":
				failed++
			case run.void != "":
				void++
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	std.out.Printf("%d of %d runs passed, %d failed, %d void\n", played-failed-void, c.Runs, failed, void)
	if failed > 0 {
		return errFailed
	}
	return nil
}

// seeds returns the seeds to play, and prints those that are passed over.
func (c *soakCmd) seeds(std *streams) []uint64 {
	var seeds []uint64
	for i := range c.Runs {
		seed := c.Seed + uint64(i)
		if slices.Contains(c.Except, seed) {
			std.out.Printf("seed %d: passed over\n", seed)
			continue
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

// play plays one seed. The error is of a run that could not be played.
func (c *soakCmd) play(ctx context.Context, seed uint64) (*soakRun, error) {
	plan, err := soak.Draw(seed, c.Length)
	if err != nil {
		return nil, err
	}
	options := loadtest.Options{
		Program: c.Program, Faults: plan.Steps, IdleClients: plan.Crowd, Sockets: plan.Sockets, KeepIdle: plan.KeepIdle,
		SyscallFaults: plan.SystemCalls, Crowds: plan.Crowds, MemoryMB: plan.MemoryMB,
	}
	if c.Logs != "" {
		options.LogDir = filepath.Join(c.Logs, fmt.Sprint(seed))
	}
	run := &soakRun{plan: plan}
	run.report, err = loadtest.Run(ctx, plan.Realization, options)
	if run.report == nil {
		return nil, err
	}
	run.void = run.report.Void
	switch {
	case err != nil:
		run.failed = err.Error()
	case run.report.ViolationCount() > 0:
		run.failed = fmt.Sprintf("%d violations of invariants", run.report.ViolationCount())
	case run.report.SlowestNotification > soak.MaxNotification:
		run.failed = fmt.Sprintf("a change reached a balancer %v late", run.report.SlowestNotification)
	default:
		run.failed = malformedServed(run.report)
	}
	return run, nil
}

// malformedServed says which malformed clients were served as if their request had run; "" is none.
func malformedServed(report *loadtest.Report) string {
	for kind, count := range report.Malformed {
		if count.Served > 0 {
			return fmt.Sprintf("%d malformed clients (%s) were served", count.Served, kind)
		}
	}
	return ""
}

func (c *soakCmd) print(std *streams, run *soakRun) {
	state := "passed"
	switch {
	case run.failed != "":
		state = "FAILED"
	case run.void != "":
		state = "void"
	}
	std.out.Printf("seed %d: %s; %d attempts, %s, slowest notification %.1f s\n", run.plan.Seed, state,
		run.report.Counts.Attempts, describeCounts(run.report.Counts), run.report.SlowestNotification.Seconds())
	if run.void != "" {
		std.out.Println(" ", run.void)
	}
	if run.failed == "" {
		return
	}
	std.out.Println("  " + run.failed)
	std.out.Println("  " + strings.Join(run.plan.Traits, "; "))
	for _, step := range run.plan.Steps {
		std.out.Println("  " + step.String())
	}
	printRunViolations(std, []*simulation.Result{&run.report.Result})
	std.out.Printf("replay: piernotch-lab soak --runs 1 --seed %d --length %v\n", run.plan.Seed, c.Length)
}
