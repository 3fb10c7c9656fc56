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
	if err := beside(&c.Program, "piernotch"); err != nil {
		return err
	}
	rounds := (c.Times + c.Balancers - 1) / c.Balancers
	length := loadtest.HandOverLead + time.Duration(rounds)*loadtest.HandOverEvery
	set := append([]string{fmt.Sprintf("length_s=%.0f", length.Seconds())}, c.Set...)
	_, d, err := day(c.Scenario, set, c.Balancers, c.Seed)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.out, "%d hand-overs of %d balancers in %v, seed %d\n", c.Times, c.Balancers, length, c.Seed)
	r, err := loadtest.Run(ctx, d, loadtest.Options{Program: c.Program, Logs: c.Logs, HandOvers: loadtest.DrawHandOvers(d, c.Times)})
	if err != nil {
		return err
	}
	h, n := r.Handed, 0
	for _, way := range loadtest.Ways {
		fmt.Fprintf(o.out, "  %-12s %d\n", way, h.Done[way])
		n += h.Done[way]
	}
	fmt.Fprintf(o.out, "%d done, the slowest yes after %v; %d processes ended in order, %d had to be killed\n",
		n, h.Slow.Round(time.Millisecond), h.Ended, h.Killed)
	k := r.Counts
	fmt.Fprintf(o.out, "%d tries: %d served, %d refused, %d failed, %d without an answer, %d broken, %d met no balancer, %d turned back and sent again\n",
		k.Tries, k.Served, k.Refused, k.Failed, k.Unanswered, k.Broken, k.Unreached, k.Crossed)
	fmt.Fprintf(o.out, "%d turned back unheard by processes that were not killed\n", h.Back)
	for _, text := range h.Wrong {
		fmt.Fprintln(o.out, "wrong:", text)
	}
	tellBreaks(o, []*simulation.Result{&r.Result})
	switch {
	case r.Void != "":
		fmt.Fprintln(o.out, "VOID:", r.Void)
		return errFails
	case r.Broken() > 0, len(h.Wrong) > 0, h.Killed > 0, k.Unreached > 0, n < c.Times && ctx.Err() == nil:
		return errFails
	}
	return nil
}
