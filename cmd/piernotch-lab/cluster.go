package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"piernotch/internal/lab/clustersim"
	"piernotch/internal/lab/clustertest"
)

type clusterCmd struct {
	Simulate  clusterSimulateCmd  `cmd:"" aliases:"model" help:"Play schedules of faults on the control group in simulated time, thousands of seeds."` //nolint:lll // struct tags cannot be wrapped
	Processes clusterProcessesCmd `cmd:"" aliases:"rig" help:"Play the same schedules on real processes with fault proxies between them."`             //nolint:lll // struct tags cannot be wrapped
	Times     clusterTimesCmd     `cmd:"" help:"Measure how long a duty has no lease holder after its holder ends, planned and unplanned."`            //nolint:lll // struct tags cannot be wrapped
}

// clusterOptions are the arguments that say what a schedule is played on.
type clusterOptions struct {
	Seed    uint64 `default:"1" help:"The first seed."`
	Runs    int    `default:"100" help:"How many seeds."`
	Voters  int    `default:"3" help:"Number of voters."`
	Members int    `default:"4" help:"Number of processes that compete for duties."`
	Duties  int    `default:"2" help:"Number of duties, each of which all of them compete for."`
	Faults  int    `default:"12" help:"Faults of each seed."`
	Length  int    `default:"60" help:"Seconds of each seed; the last 25 are without faults."`
	JSON    string `name:"json" placeholder:"FILE" help:"Keep the results there."`
	SVG     string `name:"svg" placeholder:"FILE" help:"With one seed: draw the lease holders over time, and the violations."` //nolint:lll // struct tags cannot be wrapped
}

// draw writes the picture of a seed, if one is asked for.
func (c *clusterOptions) draw(seed uint64, faults []clustersim.Fault, spans []clustersim.Span) error {
	if c.SVG == "" || c.Runs != 1 {
		return nil
	}
	file, err := os.Create(c.SVG)
	if err != nil {
		return err
	}
	clustersim.DrawTimeline(file, clustersim.Timeline{
		Title:    fmt.Sprintf("seed %d", seed),
		Duration: c.size().Duration,
		Faults:   faults,
		Spans:    spans,
	})
	return file.Close()
}

func (c *clusterOptions) size() clustersim.Size {
	return clustersim.Size{
		Voters: c.Voters, Clients: c.Members, Receivers: 2, Duties: c.Duties,
		Duration: time.Duration(c.Length) * time.Second, Faults: c.Faults,
	}
}

// clusterFailure is a seed on which an invariant was violated.
type clusterFailure struct {
	seed       uint64
	violations []string
	faults     []clustersim.Fault
}

// finish prints the violations, writes the results' file, and returns errFailed for violations. The
// subcommand is named in the commands that replay them.
func (c *clusterOptions) finish(std *streams, subcommand string, results any, failures []clusterFailure) error {
	for _, failure := range failures {
		std.out.Printf("seed %d VIOLATION: %s\n", failure.seed, failure.violations[0])
		for _, fault := range failure.faults {
			std.out.Println(" ", fault)
		}
		std.out.Printf(
			"replay: piernotch-lab cluster %s --seed %d --runs 1 --voters %d --members %d --duties %d --faults %d "+
				"--length %d\n",
			subcommand,
			failure.seed,
			c.Voters,
			c.Members,
			c.Duties,
			c.Faults,
			c.Length,
		)
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, results); err != nil {
			return err
		}
	}
	std.out.Printf("%d seeds violated an invariant\n", len(failures))
	if len(failures) > 0 {
		return errFailed
	}
	return nil
}

// holdCmd is a process that clustertest starts: it competes for duties.
type holdCmd struct {
	File    string `arg:"" name:"file" help:"The control group's file."`
	Harness string `arg:"" name:"harness" help:"Address at which the test harness listens."`
}

func (c *holdCmd) Run(ctx context.Context) error {
	return clustertest.RunHolder(ctx, c.File, c.Harness)
}
