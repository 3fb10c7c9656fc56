package loadtest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch/internal/lab/load"
)

// parallelCrowds limits the crowds that are played at the same time: each keeps more than one core busy. No test of a
// crowd is parallel to the other load tests, which share the process of its clients and would be late.
const parallelCrowds = 2

// requiredService is the share of the requests that must be served while nothing is wrong with the servers.
const requiredService = 0.9

// besideCrowd describes a run of usual clients beside a crowd.
type besideCrowd struct {
	crowd      load.ScheduledCrowd
	memoryMB   int      // limit of the balancer
	settings   []string // of the scenario
	faults     string   // of the scenario
	overloaded bool     // the balancer or the servers have more to do than they can
	keepIdle   time.Duration
}

// play plays the run once one of the slots is free. The crowd comes after one second.
func (b besideCrowd) play(t *testing.T, program string, slots chan struct{}) {
	t.Helper()
	slots <- struct{}{}
	defer func() { <-slots }()
	b.crowd.From = time.Second
	realization := testRealization(t, b.faults, append([]string{"length_s=6", "clients.retries=0"}, b.settings...)...)
	report, err := Run(context.Background(), realization, Options{
		Program: program, MemoryMB: b.memoryMB, Crowds: []load.ScheduledCrowd{b.crowd}, KeepIdle: b.keepIdle,
	})
	require.NoError(t, err)
	requireNoViolations(t, report)
	if !b.overloaded {
		require.GreaterOrEqual(t, float64(report.Counts.Served), requiredService*float64(report.Requests))
	}
}

// The resident memory of a balancer must stay below its limit whatever hundreds of clients do, and others are served.
func TestMemoryLimitHoldsBesideCrowd(t *testing.T) {
	program := buildBalancer(t)
	slots := make(chan struct{}, parallelCrowds)
	for _, kind := range []string{
		"silence", "half bodies", "half chunks", "slow bodies", "trickled bodies", "short fields", "complete bodies",
	} {
		for _, memoryMB := range []int{32, 48} {
			t.Run(fmt.Sprintf("%s %d MB", kind, memoryMB), func(t *testing.T) {
				t.Parallel()
				besideCrowd{
					crowd: load.ScheduledCrowd{Kind: kind, Clients: 600}, memoryMB: memoryMB,
					overloaded: kind == "complete bodies",
				}.play(t, program, slots)
			})
		}
	}
}

// A few clients that send at full speed must not keep requests with little time from being served, nor fill the memory.
func TestOthersAreServedInTimeBesideFloodingClients(t *testing.T) {
	program := buildBalancer(t)
	slots := make(chan struct{}, parallelCrowds)
	for _, kind := range []string{
		"long bodies", "empty lines", "tiny chunks", "pipelined requests", "unknown classes", "unread requests",
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			besideCrowd{
				crowd: load.ScheduledCrowd{Kind: kind, Clients: 2}, memoryMB: 32,
				settings: []string{"class.*.deadline_ms=300", "class.*.aim_ms=200"},
			}.play(t, program, slots)
		})
	}
}

// repeatedResponses makes balancers use connections to servers once, so that each attempt connects anew.
const repeatedResponses = `
[[trouble]]
kind = "response_twice"
at_s = 0
for_s = 6
part = 0.1
size = 20
`

// Connects that a busy balancer notices late must not count as failures of its servers: it would eject them, and take
// them for restarted.
func TestServersStayInServiceBesideCrowd(t *testing.T) {
	program := buildBalancer(t)
	slots := make(chan struct{}, 1) // with a second one, the machine may be late as well
	for _, kind := range []string{"slow bodies", "short fields"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			besideCrowd{
				crowd: load.ScheduledCrowd{Kind: kind, Clients: 800}, memoryMB: 32,
				settings: []string{"traffic.rate_per_s=100"}, faults: repeatedResponses,
			}.play(t, program, slots)
		})
	}
}

// Clients that open and close many connections must not end the connections of others.
func TestConnectionsOfOthersStayOpenBesideCrowd(t *testing.T) {
	besideCrowd{
		crowd: load.ScheduledCrowd{Kind: "half bodies", Clients: 800}, memoryMB: 32,
		overloaded: true, keepIdle: time.Millisecond,
		settings: []string{"traffic.rate_per_s=100"}, faults: repeatedResponses,
	}.play(t, buildBalancer(t), make(chan struct{}, 1))
}
