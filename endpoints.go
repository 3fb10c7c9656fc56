package piernotch

import (
	"math"
	"time"

	"piernotch/internal/decision/classfailure"
	"piernotch/internal/decision/estimate"
	"piernotch/internal/decision/lanes"
)

// UpdateEndpoints takes an event of the endpoint list. A size that is not a positive number counts as 1.
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
	b.endpoints.settle()
	b.rebuildGroups(now)
}

// applyEndpoint adds or updates one server. A new start time is a new process, which has not failed yet.
func (b *Balancer) applyEndpoint(now time.Duration, entry Endpoint) {
	sizeUsable := entry.Size > 0 && !math.IsInf(entry.Size, 0)
	if !sizeUsable {
		entry.Size = 1
	}
	target := b.endpoints.find(entry.ID)
	if target == nil {
		if entry.State != Gone {
			b.slowStartIfYoung(now, b.addServer(entry))
		}
		return
	}
	if b.endpoints.update(target, entry) {
		target.outlier.Reset()
		b.slowStartIfYoung(now, target)
	}
}

// addServer adds a server that is new in the list. Its rank among those that balancers spill to is drawn.
func (b *Balancer) addServer(entry Endpoint) *server {
	added := &server{
		Endpoint: entry, idHash: estimate.MixBits(uint64(entry.ID)),
		member: lanes.NewMember(uint64(entry.ID)), spillRank: b.rng.Float64(),
		classFailures: classfailure.New(len(b.settings.Classes)),
	}
	b.endpoints.add(added)
	return added
}

// Exclude keeps new requests from a server until Include, whatever the list says of it meanwhile and
// whether or not it is listed. Attempts in flight there may end. To exclude it again changes nothing.
func (b *Balancer) Exclude(now time.Duration, id ServerID) {
	b.ensureStarted(now)
	if b.endpoints.exclude(id) != nil {
		b.rebuildGroups(now)
	}
}

// Include ends an exclusion at the clock time since. The server was excluded to be restarted, which the
// list may not show yet: its slow start counts from since, or from a later start in the list.
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
