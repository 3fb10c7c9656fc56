package main

import (
	"context"
	"sync"
	"time"

	"piernotch/internal/lab/emulator"
)

type emulateCmd struct {
	Scenario  string   `arg:"" help:"A scenario file, or the name of a shipped one."`
	Seed      uint64   `default:"1" help:"Of the realization of the scenario."`
	Set       []string `sep:"none" placeholder:"KEY=VALUE" help:"Replace a value of the scenario; may be repeated."`
	Balancers int      `default:"1" help:"Number of discovery addresses, one for each balancer."`
}

// anyRequestObserver accepts every request: there are no clients to compare with.
type anyRequestObserver struct {
	mu       sync.Mutex
	attempts map[string]int // by request id
}

func (a *anyRequestObserver) AttemptReceived(id string, _ int, _ time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.attempts) > 1<<20 { // the counts only number the attempts of a request
		clear(a.attempts)
	}
	a.attempts[id]++
	return a.attempts[id] - 1
}
func (*anyRequestObserver) AttemptAccepted(string, int)                          {}
func (*anyRequestObserver) AttemptExecuted(string, int)                          {}
func (*anyRequestObserver) AttemptCompleted(string, int, emulator.NeverExecuted) {}
func (*anyRequestObserver) SlowStartWork(string, int, time.Duration, float64)    {}
func (*anyRequestObserver) ServerCollapsed(int)                                  {}

func (c *emulateCmd) Run(ctx context.Context, std *streams) error {
	_, realization, err := drawRealization(c.Scenario, c.Set, 0, c.Seed)
	if err != nil {
		return err
	}
	started := time.Now()
	fleet, err := emulator.New(realization, emulator.Options{
		Balancers: c.Balancers, Clock: func() time.Duration { return time.Since(started) },
		Observer: &anyRequestObserver{attempts: map[string]int{}},
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	for i := range c.Balancers {
		std.out.Printf("discovery %s\n", fleet.Discovery().Address(i))
	}
	fleet.Play(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(realization.Length):
	}
	return fleet.Err()
}
