package runtime

import (
	"log/slog"
	"slices"
	"time"

	"piernotch"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/discovery"
	"piernotch/internal/serve/handover"
)

// joinSiblings announces this process to its siblings, takes over from the newest sibling that
// canTakeOver accepts, and returns all siblings.
func (b *Balancer) joinSiblings() ([]handover.Peer, error) {
	siblings, peers, err := enterSiblings(b.cfg.StateDir, b.cfg.Name)
	if err != nil {
		return nil, err
	}
	b.siblings = siblings
	var predecessor *handover.Record
	for i := range peers {
		peer := &peers[i]
		if b.canTakeOver(peer) && (predecessor == nil || peer.Epoch > predecessor.Epoch) {
			predecessor = &peer.Record
		}
	}
	if predecessor != nil {
		b.takeOver(predecessor)
	}
	return peers, nil
}

// canTakeOver reports whether a sibling's endpoint list is known and better than the configured one. A
// live sibling's list always is. The list of a sibling that has ended may be outdated: it must come from
// the same discovery service and be no older than the configured list.
func (b *Balancer) canTakeOver(peer *handover.Peer) bool {
	if peer.Err != nil || peer.Endpoints == nil {
		return false
	}
	if peer.Alive {
		return true
	}
	return peer.Discovery == b.cfg.Discovery && peer.Generation >= b.cfg.KnownEndpoints.Generation
}

// takeOver initializes this process and its watch with a sibling's endpoint list and estimates.
func (b *Balancer) takeOver(from *handover.Record) {
	known := discovery.EndpointList{Generation: from.Generation, Reset: true}
	for i := range from.Endpoints {
		stored := &from.Endpoints[i]
		known.Endpoints = append(known.Endpoints, core.DiscoveredEndpoint{
			Name:    stored.Name,
			Address: stored.Address,
			Endpoint: piernotch.Endpoint{
				Zone:      slices.Index(b.cfg.Settings.Zones, stored.Zone),
				Cell:      stored.Cell,
				State:     stored.State,
				Size:      stored.Size,
				StartedAt: stored.StartedAt,
			},
		})
	}
	b.cfg.KnownEndpoints = known
	b.cfg.HasKnownEndpoints = true
	sameService := from.Discovery == b.cfg.Discovery
	b.watcher.Resume(from.Generation, sameService)
	b.emit(core.PeerSnapshot{Snapshot: from.Snapshot})
	slog.Info(
		"handover started",
		"from_pid", from.PID,
		"epoch", from.Epoch,
		"generation", from.Generation,
		"servers", len(known.Endpoints),
	)
}

// tickSiblings reads the siblings' records and adapts to them, and writes this process's record, each at
// its interval.
func (b *Balancer) tickSiblings(now time.Duration) {
	if peers, updated := b.siblings.poll(now); updated {
		b.mergePeers(peers)
		b.updateAccepting()
		b.applyResourceLimits()
	}
	if b.siblings.recordDue(now) {
		b.writeRecord()
	}
}

// mergePeers applies the operator overrides in the siblings' records and notes which siblings are
// alive. If none is alive, old overrides are pruned.
func (b *Balancer) mergePeers(peers []handover.Peer) {
	for i := range peers {
		if peer := &peers[i]; peer.Err == nil {
			b.emit(core.PeerOverrides{Overrides: &peer.Overrides})
		}
	}
	b.siblings.update(peers)
	if b.siblings.alone {
		b.core.PruneOverrides()
	}
}

// advance sets this process's phase. A new phase is published to the siblings and may change whether
// clients are accepted.
func (b *Balancer) advance(to handover.Phase) {
	if b.siblings.advance(to) {
		b.writeRecord()
		b.updateAccepting()
	}
}

// advanceWhenReady advances to the phase Ready if this process can serve.
func (b *Balancer) advanceWhenReady() {
	if b.ready() {
		b.advance(handover.Ready)
	}
}

// updateAccepting starts or stops accepting clients on an inherited socket, as ProcessState.Accepts
// decides, until stopListening. Other sockets are not shared.
func (b *Balancer) updateAccepting() {
	inherited := b.cfg.ListenFD != 0
	if !inherited || b.stopped {
		return
	}
	accept := b.siblings.accepts()
	if accept == b.listener.Accepting() {
		return
	}
	event := "listener stopped"
	if accept {
		event = "listener started"
	}
	slog.Info(event, "pid", b.siblings.self.PID, "others", len(b.siblings.others))
	if err := b.listener.SetAccepting(accept); err != nil {
		slog.Error("inherited listener failed", "err", err)
	}
}

// leaveSiblings writes the last record and shows the siblings, by releasing the lock, that this process
// has ended.
func (b *Balancer) leaveSiblings() {
	b.writeRecord()
	b.siblings.leave()
}

// writeRecord publishes this process's record, if there is a state directory.
func (b *Balancer) writeRecord() {
	if b.siblings.directory != nil {
		b.siblings.write(b.record(b.now()))
	}
}

// record returns what siblings and successors need to know. The Endpoints field is nil until a list is
// known.
func (b *Balancer) record(now time.Duration) handover.Record {
	record := handover.Record{
		ProcessState: b.siblings.self,
		WrittenAt:    now,
		Discovery:    b.cfg.Discovery,
		Generation:   b.watcher.Version(),
		Overrides:    b.core.Overrides(),
		Snapshot:     b.core.Snapshot(),
	}
	if b.core.EndpointsKnown() {
		record.Endpoints = []handover.Endpoint{}
	}
	for _, known := range b.core.Endpoints() {
		record.Endpoints = append(record.Endpoints, b.storedEndpoint(known))
	}
	return record
}

// storedEndpoint converts an endpoint for a record, with its zone by name ("" if unknown).
func (b *Balancer) storedEndpoint(known core.DiscoveredEndpoint) handover.Endpoint {
	zone := ""
	zones := b.cfg.Settings.Zones
	if index := known.Endpoint.Zone; index >= 0 && index < len(zones) {
		zone = zones[index]
	}
	return handover.Endpoint{
		Name:      known.Name,
		Address:   known.Address,
		Zone:      zone,
		Cell:      known.Endpoint.Cell,
		State:     known.Endpoint.State,
		Size:      known.Endpoint.Size,
		StartedAt: known.Endpoint.StartedAt,
	}
}
