package soak

import (
	"math/rand/v2"
	"time"

	"piernotch/internal/lab/chaos"
	"piernotch/internal/lab/load"
	"piernotch/internal/lab/scenario"
)

const (
	minCrowdClients = 50
	maxCrowdClients = 250
	maxFloodClients = 3 // of a kind that sends at full speed
	minCrowdFor     = 2 * time.Second
	maxCrowdFor     = 4 * time.Second
)

// crowdDraw is what the crowds' stream of a seed decides.
type crowdDraw struct {
	crowds   []load.ScheduledCrowd
	memoryMB int // memory limit of each balancer; 0 means the default
}

// drawCrowds draws clients that misuse their connections at one of the balancers, in half of the runs, with a memory
// limit that is often the lowest one. It has a stream of its own, so that the other draws of a seed do not depend on
// it.
func drawCrowds(seed uint64, length time.Duration, balancers int) crowdDraw {
	rng := scenario.Stream(seed, "soak crowds")
	drawn := crowdDraw{}
	if rng.IntN(2) == 0 {
		return drawn
	}
	drawn.memoryMB = []int{32, 32, 48, 64}[rng.IntN(4)]
	for range 1 + rng.IntN(2) {
		drawn.crowds = append(drawn.crowds, drawCrowd(rng, length, balancers))
	}
	return drawn
}

func drawCrowd(rng *rand.Rand, length time.Duration, balancers int) load.ScheduledCrowd {
	kind := &load.CrowdKinds[rng.IntN(len(load.CrowdKinds))]
	clients := minCrowdClients + rng.IntN(maxCrowdClients-minCrowdClients)
	if kind.FullSpeed {
		clients = 1 + rng.IntN(maxFloodClients)
	}
	latest := length - chaos.RecoveryTime - maxCrowdFor
	from := time.Second + time.Duration(rng.Int64N(int64(latest-time.Second)))
	lasts := minCrowdFor + time.Duration(rng.Int64N(int64(maxCrowdFor-minCrowdFor)))
	return load.ScheduledCrowd{
		Kind: kind.Name, Clients: clients, From: from, Until: from + lasts, Balancers: []int{rng.IntN(balancers)},
	}
}
