package piernotch

import (
	"math"
	"time"

	"piernotch/internal/decision/estimate"
)

// UpdateEndpoints takes an event of the endpoint list. A size that is not a positive number counts as 1.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, entries []Endpoint) {
	b.ensureStarted(now)
	if kind == UpdateFailed {
		b.backOffWatch(now)
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
		b.watchBackoff = b.settings.Rules.PollInterval / 8
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

// watchIfDue subscribes to the endpoint list, where it has to be asked for.
func (b *Balancer) watchIfDue(now time.Duration) {
	if !b.settings.PollDiscovery || b.watching || now < b.nextWatchAt {
		return
	}
	b.watching = true
	b.host.WatchEndpoints()
}

// backOffWatch puts off the next subscription after one that failed, for longer each time.
func (b *Balancer) backOffWatch(now time.Duration) {
	b.watching = false
	b.nextWatchAt = now + b.watchBackoff/2 + estimate.Jitter(b.rng, b.watchBackoff)
	b.watchBackoff = min(2*b.watchBackoff, max(b.settings.Rules.PollInterval, b.watchBackoff))
}
