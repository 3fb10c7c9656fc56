package main

import (
	"context"
	"fmt"
	"time"

	"piernotch/internal/lab/loadtest"
	"piernotch/internal/lab/simulation"
	"piernotch/internal/lab/storednames"
)

type handoverCmd struct {
	Scenario  string   `arg:"" optional:"" default:"quiet" help:"A scenario file, or the name of a shipped one."`
	Handovers int      `name:"handovers" aliases:"times" default:"200" help:"Number of handovers, spread over the balancers and the kinds of handover."` //nolint:lll // struct tags cannot be wrapped
	Balancers int      `default:"4" help:"Number of balancers, each of which has its share of the handovers."`
	Seed      uint64   `default:"1" help:"Of the realization of the scenario and of the handovers."`
	Set       []string `sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the scenario; may be repeated."`
	Program   string   `placeholder:"FILE" help:"The balancer; piernotch beside this program is the default."`
	Logs      string   `placeholder:"DIR" help:"Keep the balancers' configurations and logs there."`
}

func (c *handoverCmd) Run(ctx context.Context, std *streams) error {
	if err := resolveProgram(&c.Program, "piernotch"); err != nil {
		return err
	}
	rounds := (c.Handovers + c.Balancers - 1) / c.Balancers
	length := loadtest.HandoverLeadTime + time.Duration(rounds)*loadtest.HandoverInterval
	set := append([]string{fmt.Sprintf("length_s=%.0f", length.Seconds())}, c.Set...)
	_, realization, err := drawRealization(c.Scenario, set, c.Balancers, c.Seed)
	if err != nil {
		return err
	}
	std.out.Printf("%d handovers of %d balancers in %v, seed %d\n", c.Handovers, c.Balancers, length, c.Seed)
	report, err := loadtest.Run(ctx, realization, loadtest.Options{
		Program:   c.Program,
		LogDir:    c.Logs,
		Handovers: loadtest.DrawHandovers(realization, c.Handovers),
	})
	if err != nil {
		return err
	}
	done := printHandovers(std, report)
	handovers := report.Handovers
	switch {
	case report.Void != "":
		std.out.Println("VOID:", report.Void)
		return errFailed
	case report.ViolationCount() > 0 ||
		len(handovers.Problems) > 0 ||
		handovers.Killed > 0 ||
		report.Counts.Unreachable > 0:
		return errFailed
	case done < c.Handovers && ctx.Err() == nil:
		return errFailed
	}
	return nil
}

// printHandovers prints the results of the handovers and returns how many were done.
func printHandovers(std *streams, report *loadtest.Report) (done int) {
	handovers := report.Handovers
	for _, kind := range loadtest.HandoverKinds {
		std.out.Printf(
			"  %-21s %d\n",
			storednames.Display(storednames.HandoverKinds, string(kind)),
			handovers.Done[kind],
		)
		done += handovers.Done[kind]
	}
	std.out.Printf("%d done, slowest to be ready %v; %d processes ended in time, %d had to be killed\n",
		done, handovers.SlowestReady.Round(time.Millisecond), handovers.Exited, handovers.Killed)
	counts := report.Counts
	std.out.Printf("%d attempts: %s, %d closed unread and retried\n",
		counts.Attempts, describeCounts(counts), counts.RetriedOnClose)
	std.out.Printf("%d requests closed unread by processes that were not killed\n", handovers.ClosedUnderRequest)
	for _, text := range handovers.Problems {
		std.out.Println("problem:", text)
	}
	printRunViolations(std, []*simulation.Result{&report.Result})
	return done
}
