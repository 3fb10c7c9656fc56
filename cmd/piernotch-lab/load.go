package main

import (
	"context"
	"math/rand/v2"
	"time"

	"piernotch/internal/lab/load"
	"piernotch/internal/lab/simulation"
)

type loadCmd struct {
	Scenario string   `arg:"" help:"A scenario file, or the name of a shipped one."`
	To       []string `required:"" placeholder:"ADDRESS" help:"Balancers' addresses, in order of zones."`
	Seed     uint64   `default:"1" help:"The day."`
	Set      []string `sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the scenario; may be repeated."`
}

// ignoreRequests is an observer that takes no notes.
type ignoreRequests struct{}

func (ignoreRequests) RequestSent(string, int, int, time.Duration) {}
func (ignoreRequests) RequestEnded(string, load.Outcome)           {}

func (c *loadCmd) Run(ctx context.Context, o *output) error {
	_, d, err := drawRealization(c.Scenario, c.Set, 0, c.Seed)
	if err != nil {
		return err
	}
	arrivals, err := simulation.Arrivals(d)
	if err != nil {
		return err
	}
	started := time.Now()
	clients := &load.Clients{
		Realization: d, Arrivals: arrivals, Observer: ignoreRequests{}, Clock: func() time.Duration { return time.Since(started) },
		Pick: func(_ int, rng *rand.Rand) (int, string, bool) {
			i := rng.IntN(len(c.To))
			return i, c.To[i], true
		},
	}
	clients.Run(ctx)
	parts := clients.Goodput().Parts()
	counts := clients.Counts()
	o.out.Printf("%d requests in %d tries: served %d, refused %d, failed %d, unanswered %d, broken off %d, unreached %d\n",
		len(arrivals), counts.Attempts, counts.Served, counts.Rejected, counts.Failed, counts.TimedOut, counts.Disconnected, counts.Unreachable)
	o.out.Printf("in time: whole %.3f, worst 10 s %.3f, worst class %.3f; p50 %.1f ms, p99 %.1f ms from the due time; sent %v late at the 99th percentile\n",
		parts.WholeRun, parts.WorstWindow, parts.WorstClass, clients.Goodput().Percentile(50), clients.Goodput().Percentile(99), clients.Lateness(99))
	return nil
}
