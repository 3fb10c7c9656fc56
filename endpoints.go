package piernotch

import (
	"math"
	"time"
)

// UpdateEndpoints takes an event of the endpoint list. A size that is not a positive number counts as 1.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, entries []Endpoint) {
	b.ensureStarted(now)
	if kind == UpdateFailed {
		b.subscription.Failed(now, b.rng)
		return
	}
	named := make(map[ServerID]bool, len(entries))
	for _, e := range entries {
		named[e.ID] = true
		b.applyEndpoint(now, e)
	}
	if kind != UpdateDelta {
		for _, target := range b.sorted {
			if !named[target.ID] {
				target.State = Gone
			}
		}
	}
	if kind != UpdateCached {
		b.subscription.Succeeded()
	}
	b.reindexServers()
	b.rebuildGroups(now)
}

// applyEndpoint adds or updates one server. A new start time is a new process, which has not failed yet.
func (b *Balancer) applyEndpoint(now time.Duration, e Endpoint) {
	if !(e.Size > 0) || math.IsInf(e.Size, 0) {
		e.Size = 1
	}
	target := b.servers[e.ID]
	if target == nil {
		if e.State != Gone {
			b.slowStartIfYoung(now, b.addServer(e))
		}
		return
	}
	restarted := e.StartedAt != target.StartedAt
	target.Endpoint = e
	if restarted {
		target.resetEjection()
		b.slowStartIfYoung(now, target)
	}
}
