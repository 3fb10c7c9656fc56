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
	for _, e := range entries {
		named[e.ID] = true
		b.applyEndpoint(now, e)
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
func (b *Balancer) applyEndpoint(now time.Duration, e Endpoint) {
	if !(e.Size > 0) || math.IsInf(e.Size, 0) {
		e.Size = 1
	}
	target := b.endpoints.find(e.ID)
	if target == nil {
		if e.State != Gone {
			b.slowStartIfYoung(now, b.addServer(e))
		}
		return
	}
	restarted := e.StartedAt != target.StartedAt
	target.Endpoint = e
	if restarted {
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
