package piernotch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// UpdateEndpoints takes word of the backends.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, entries []Endpoint) {
	b.ensureStarted(now)
	if kind == UpdateFailed {
		b.watching = false
		b.nextWatchAt = now + b.watchBackoff/2 + jitter(b.rng, b.watchBackoff)
		b.watchBackoff = min(2*b.watchBackoff, max(b.settings.Rules.PollInterval, b.watchBackoff))
		return
	}
	named := make(map[BackendID]bool, len(entries))
	for _, e := range entries {
		named[e.ID] = true
		b.applyEndpoint(now, e)
	}
	if kind != UpdateDelta {
		for _, to := range b.sorted {
			if !named[to.ID] {
				to.State = Gone
			}
		}
	}
	if kind != UpdateCached {
		b.watchBackoff = b.settings.Rules.PollInterval / 8
	}
	b.sorted = slices.DeleteFunc(b.sorted, func(to *backend) bool {
		if to.State != Gone {
			return false
		}
		delete(b.backends, to.ID)
		return true
	})
	b.updateFullSizes()
	slices.SortFunc(b.sorted, func(x, y *backend) int { return cmp.Compare(x.ID, y.ID) })
	b.rebuildGroups(now)
}

func (b *Balancer) applyEndpoint(now time.Duration, e Endpoint) {
	if !(e.Size > 0) || math.IsInf(e.Size, 0) {
		e.Size = 1
	}
	to := b.backends[e.ID]
	if to == nil {
		if e.State == Gone {
			return
		}
		to = &backend{Endpoint: e, idHash: mixBits(uint64(e.ID)), slowStartSince: -1, spillRank: b.rng.Float64()}
		to.excluded = b.excluded[e.ID]
		to.failureShare, to.lastSentAt = make([]float64, len(b.settings.Classes)), make([]time.Duration, len(b.settings.Classes))
		if e.Zone != b.settings.Zone {
			to.locality = 1
		}
		if b.zonePaths[e.Zone] == nil {
			b.zonePaths[e.Zone] = &zonePath{}
		}
		to.path = b.zonePaths[e.Zone]
		b.backends[e.ID] = to
		b.sorted = append(b.sorted, to)
		b.slowStartIfYoung(now, to)
		return
	}
	reborn := e.StartedAt != to.StartedAt
	to.Endpoint = e
	if reborn {
		to.ejections, to.consecutiveFailures, to.trialInflight, to.healthCheckPassed = 0, 0, false, false
		b.slowStartIfYoung(now, to)
	}
}

// watchIfDue keeps the subscription where the list comes only on request.
func (b *Balancer) watchIfDue(now time.Duration) {
	if !b.settings.PollDiscovery || b.watching || now < b.nextWatchAt {
		return
	}
	b.watching = true
	b.host.WatchEndpoints()
}
