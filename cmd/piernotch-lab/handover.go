package main

import (
	"context"
	"fmt"
	"time"

	"piernotch/internal/lab/loadtest"
	"piernotch/internal/lab/simulation"
)

type handoverCmd struct {
	Scenario  string   `arg:"" optional:"" default:"quiet" help:"A scenario file, or the name of a shipped one."`
	Times     int      `default:"200" help:"Hand-overs in all, spread over the balancers and the ways they can go."`
	Balancers int      `default:"4" help:"Balancers, each of which is handed over again and again."`
	Seed      uint64   `default:"1" help:"Of the day and of the hand-overs."`
	Set       []string `sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the scenario; may be repeated."`
	Program   string   `placeholder:"FILE" help:"The balancer; piernotch beside this program is the default."`
	Logs      string   `placeholder:"DIR" help:"Keep the balancers' configurations and logs there."`
}

func (c *handoverCmd) Run(ctx context.Context, o *output) error {
	if err := resolveProgram(&c.Program, "piernotch"); err != nil {
		return err
	}
	rounds := (c.Times + c.Balancers - 1) / c.Balancers
	length := loadtest.HandoverLeadTime + time.Duration(rounds)*loadtest.HandoverInterval
	set := append([]string{fmt.Sprintf("length_s=%.0f", length.Seconds())}, c.Set...)
	_, d, err := drawRealization(c.Scenario, set, c.Balancers, c.Seed)
	if err != nil {
		return err
	}
	o.out.Printf("%d hand-overs of %d balancers in %v, seed %d\n", c.Times, c.Balancers, length, c.Seed)
	r, err := loadtest.Run(ctx, d, loadtest.Options{Program: c.Program, LogDir: c.Logs, Handovers: loadtest.DrawHandovers(d, c.Times)})
	if err != nil {
		return err
	}
	done := printHandovers(o, r)
	handed := r.Handovers
	switch {
	case r.Void != "":
		o.out.Println("VOID:", r.Void)
		return errFailed
	case r.ViolationCount() > 0, len(handed.Problems) > 0, handed.Killed > 0, r.Counts.Unreachable > 0:
		return errFailed
	case done < c.Times && ctx.Err() == nil:
		return errFailed
	}
	return nil
}

// printHandovers prints what came of the handovers and returns how many were done.
func printHandovers(o *output, r *loadtest.Report) (done int) {
	handed := r.Handovers
	for _, way := range loadtest.HandoverKinds {
		o.out.Printf("  %-12s %d\n", way, handed.Done[way])
		done += handed.Done[way]
	}
	o.out.Printf("%d done, the slowest yes after %v; %d processes ended in order, %d had to be killed\n",
		done, handed.SlowestReady.Round(time.Millisecond), handed.Exited, handed.Killed)
	counts := r.Counts
	o.out.Printf("%d tries: %d served, %d refused, %d failed, %d without an answer, %d broken, %d met no balancer, %d turned back and sent again\n",
		counts.Attempts, counts.Served, counts.Rejected, counts.Failed, counts.TimedOut, counts.Disconnected, counts.Unreachable, counts.RetriedOnClose)
	o.out.Printf("%d turned back unheard by processes that were not killed\n", handed.ClosedUnderRequest)
	for _, text := range handed.Problems {
		o.out.Println("wrong:", text)
	}
	printRunViolations(o, []*simulation.Result{&r.Result})
	return done
}
