package piernotch

import (
	"math"
	"time"

	"piernotch/internal/decision/classfailure"
	"piernotch/internal/decision/estimate"
	"piernotch/internal/decision/lanes"
)

// UpdateEndpoints applies an update of the endpoint list. UpdateFailed leaves the list as it is and, with
// Settings.PollDiscovery, leads to another subscription after a backoff. A size that is NaN, infinite or not
// positive counts as 1.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, entries []Endpoint) {
	b.ensureStarted(now)
	if kind == UpdateFailed {
		b.subscription.Failed(now, b.rng)
		return
	}
	named := make(map[ServerID]bool, len(entries))
	for _, entry := range entries {
		named[entry.ID] = true
		b.applyEndpoint(now, entry)
	}
	if kind != UpdateDelta {
		b.endpoints.markGone(named)
	}
	if kind != UpdateCached {
		b.subscription.Succeeded()
	}
	b.endpoints.finishUpdate()
	b.rebuildGroups(now)
}

// applyEndpoint adds or updates one server. A changed start time means a new process, which has no failures
// yet. A new server or process is in slow start if it started recently.
func (b *Balancer) applyEndpoint(now time.Duration, entry Endpoint) {
	sizeUsable := entry.Size > 0 && !math.IsInf(entry.Size, 0)
	if !sizeUsable {
		entry.Size = 1
	}
	target := b.endpoints.find(entry.ID)
	if target == nil {
		if entry.State != Gone {
			b.slowStartIfRecent(now, b.addServer(entry))
		}
		return
	}
	if b.endpoints.update(target, entry) {
		target.outlier.Reset()
		b.slowStartIfRecent(now, target)
	}
}

// addServer adds a newly listed server. Its spill rank is random, so that balancers spill to different
// servers.
func (b *Balancer) addServer(entry Endpoint) *server {
	added := &server{
		Endpoint: entry, idHash: estimate.MixBits(uint64(entry.ID)),
		member: lanes.NewMember(uint64(entry.ID)), spillRank: b.rng.Float64(),
		classFailures: classfailure.New(len(b.settings.Classes)),
	}
	b.endpoints.add(added)
	return added
}

// Exclude stops new requests to a server until Include is called, whether or not the server is listed and
// whatever its listed state is. Attempts in flight may finish. Excluding the server again has no effect.
func (b *Balancer) Exclude(now time.Duration, id ServerID) {
	b.ensureStarted(now)
	if b.endpoints.exclude(id) != nil {
		b.rebuildGroups(now)
	}
}

// Include ends the exclusion and any ejection of a server; since is the clock time at which the operators
// ended the exclusion. Operators exclude servers to restart them, and the list may not show the restart yet.
// Slow start therefore counts from since, or from a later start time in the list.
func (b *Balancer) Include(now time.Duration, id ServerID, since time.Duration) {
	b.ensureStarted(now)
	target := b.endpoints.include(id)
	if target == nil {
		return
	}
	target.outlier.Reset()
	since = max(since, target.StartedAt)
	if b.slowStart.Covers(now, since) {
		b.startSlowStart(now, target, since)
	}
	b.rebuildGroups(now)
}
