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
	Seed     uint64   `default:"1" help:"Of the realization of the scenario."`
	Set      []string `sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the scenario; may be repeated."`
}

// ignoreRequests is an observer that records nothing.
type ignoreRequests struct{}

func (ignoreRequests) RequestSent(string, int, int, time.Duration) {}
func (ignoreRequests) RequestEnded(string, load.Outcome)           {}

func (c *loadCmd) Run(ctx context.Context, std *streams) error {
	_, realization, err := drawRealization(c.Scenario, c.Set, 0, c.Seed)
	if err != nil {
		return err
	}
	arrivals, err := simulation.Arrivals(realization)
	if err != nil {
		return err
	}
	started := time.Now()
	clients := &load.Clients{
		Realization: realization,
		Arrivals:    arrivals,
		Observer:    ignoreRequests{},
		Clock:       func() time.Duration { return time.Since(started) },
		Pick: func(_ int, rng *rand.Rand) (load.Picked, bool) {
			balancer := rng.IntN(len(c.To))
			return load.Picked{Balancer: balancer, Address: c.To[balancer]}, true
		},
	}
	clients.Run(ctx)
	parts := clients.Goodput().Parts()
	counts := clients.Counts()
	std.out.Printf("%d requests in %d attempts: %s\n", len(arrivals), counts.Attempts, describeCounts(counts))
	std.out.Printf(
		"served within the latency objective: whole run %.3f, worst 10 s %.3f, worst class %.3f; p50 %.1f ms, "+
			"p99 %.1f ms from the due time; requests sent %v late at the 99th percentile\n",
		parts.WholeRun,
		parts.WorstWindow,
		parts.WorstClass,
		clients.Goodput().Percentile(50),
		clients.Goodput().Percentile(99),
		clients.Lateness(99),
	)
	return nil
}
