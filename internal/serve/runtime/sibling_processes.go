package runtime

import (
	"log/slog"
	"os"
	"slices"
	"time"

	"piernotch"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/discovery"
	"piernotch/internal/serve/handover"
)

const (
	// siblingPollInterval is the time between two reads of the sibling processes' records.
	siblingPollInterval = 25 * time.Millisecond
	// recordInterval is how old this process's own record may grow: the module's estimates and the
	// endpoint list, which it holds, change all the time.
	recordInterval = time.Second
)

// siblingProcesses is this process among others of the same balancer, which share a listening socket
// during a handover and exchange records in a directory. Without a directory there are no others.
type siblingProcesses struct {
	balancer      *Balancer
	dir           *handover.Directory // nil: there is none
	self          handover.ProcessState
	others        []handover.ProcessState // that are alive and whose records could be read
	alone         bool                    // no other process is alive
	polled        time.Duration           // when the others' records were last read
	recordWritten time.Duration           // when the own record was last written
	hasSuccessor  bool                    // another process can serve in this one's place
}

// joinSiblings makes this process known to its siblings, takes over the endpoint list of one, and
// returns all of them.
func (b *Balancer) joinSiblings() ([]handover.Peer, error) {
	s := &b.siblings
	s.balancer = b
	s.alone = true
	s.self = handover.ProcessState{Epoch: 1, PID: os.Getpid(), Phase: handover.Starting}
	if b.cfg.StateDir == "" {
		return nil, nil
	}
	dir, err := handover.Enter(b.cfg.StateDir, b.cfg.Name)
	if err != nil {
		return nil, err
	}
	s.dir = dir
	peers := s.read()
	var predecessor *handover.Record
	for i := range peers {
		peer := &peers[i]
		s.self.Epoch = max(s.self.Epoch, peer.Epoch+1)
		if b.canTakeOver(peer) && (predecessor == nil || peer.Epoch > predecessor.Epoch) {
			predecessor = &peer.Record
		}
	}
	if predecessor != nil {
		b.takeOver(predecessor)
	}
	return peers, nil
}

// canTakeOver reports whether a process's record holds a list that is better than what this
// process was configured with. That of a process which has ended may be old.
func (b *Balancer) canTakeOver(peer *handover.Peer) bool {
	if peer.Err != nil || peer.Endpoints == nil {
		return false
	}
	if peer.Alive {
		return true
	}
	return peer.Discovery == b.cfg.Discovery && peer.Generation >= b.cfg.KnownEndpoints.Generation
}

// takeOver starts from the endpoint list and the estimates of another process.
func (b *Balancer) takeOver(from *handover.Record) {
	known := discovery.EndpointList{Generation: from.Generation, Reset: true}
	for _, e := range from.Endpoints {
		known.Endpoints = append(known.Endpoints, core.DiscoveredEndpoint{Name: e.Name, Address: e.Address, Endpoint: piernotch.Endpoint{
			Zone: slices.Index(b.cfg.Settings.Zones, e.Zone), Cell: e.Cell, State: e.State, Size: e.Size, StartedAt: e.StartedAt,
		}})
	}
	b.cfg.KnownEndpoints = known
	b.cfg.HasKnownEndpoints = true
	b.watcher.Resume(from.Generation, from.Discovery == b.cfg.Discovery)
	b.emit(core.PeerSnapshot{Snapshot: from.Snapshot})
	slog.Info("handover started", "from_pid", from.PID, "epoch", from.Epoch, "generation", from.Generation, "servers", len(known.Endpoints))
}

// tick reads the others' records and writes the own one, each at its interval.
func (s *siblingProcesses) tick(now time.Duration) {
	if s.dir == nil {
		return
	}
	if now-s.polled >= siblingPollInterval {
		s.polled = now
		s.merge(s.read())
		s.updateAccepting()
		s.balancer.applyResourceLimits()
	}
	if now-s.recordWritten >= recordInterval {
		s.writeRecord()
	}
}

func (s *siblingProcesses) read() []handover.Peer {
	peers, err := s.dir.Peers()
	if err != nil {
		slog.Warn("sibling processes unreadable", "err", err)
	}
	return peers
}

// merge applies the operator overrides that others were given, and notes which processes are alive.
func (s *siblingProcesses) merge(peers []handover.Peer) {
	s.others = s.others[:0]
	alone := true
	for i := range peers {
		peer := &peers[i]
		if peer.Err == nil {
			s.balancer.emit(core.PeerOverrides{Overrides: &peer.Overrides})
		}
		if !peer.Alive {
			continue
		}
		alone = false
		if peer.Err == nil {
			s.others = append(s.others, peer.ProcessState)
		}
	}
	if alone != s.alone {
		s.alone = alone
		slog.Info("sibling processes changed", "others", len(s.others), "pid", s.self.PID, "epoch", s.self.Epoch)
	}
	if alone {
		s.balancer.core.PruneOverrides()
	}
}

// advance notes a new phase of this process. None follows a shutdown.
func (s *siblingProcesses) advance(to handover.Phase) {
	if s.self.Phase == to || s.self.Phase == handover.ShuttingDown {
		return
	}
	s.self.Phase = to
	slog.Info("process phase changed", "phase", to, "pid", s.self.PID, "epoch", s.self.Epoch)
	s.writeRecord()
	s.updateAccepting()
}

// updateAccepting accepts clients on an inherited socket, or leaves them to another process.
func (s *siblingProcesses) updateAccepting() {
	b := s.balancer
	s.hasSuccessor = s.self.HasSuccessor(s.others)
	if b.cfg.ListenFD == 0 || b.stopped {
		return
	}
	accept := s.self.Accepts(s.others)
	if accept == b.listener.Accepting() {
		return
	}
	event := "listener stopped"
	if accept {
		event = "listener started"
	}
	slog.Info(event, "pid", s.self.PID, "others", len(s.others))
	if err := b.listener.SetAccepting(accept); err != nil {
		slog.Error("inherited listener failed", "err", err)
	}
}

// leave writes the last record and lets the others know that this process has ended.
func (s *siblingProcesses) leave() {
	if s.dir == nil {
		return
	}
	s.writeRecord()
	s.dir.Leave()
}

// writeRecord writes this process's record for its siblings and successors.
func (s *siblingProcesses) writeRecord() {
	if s.dir == nil {
		return
	}
	s.recordWritten = s.balancer.now()
	if err := s.dir.Write(s.balancer.record(s.self, s.recordWritten)); err != nil {
		slog.Error("handover record write failed", "err", err)
	}
}

// record returns what a successor needs to know. Endpoints is nil as long as no list is known.
func (b *Balancer) record(self handover.ProcessState, now time.Duration) handover.Record {
	r := handover.Record{
		ProcessState: self, WrittenAt: now, Discovery: b.cfg.Discovery, Generation: b.watcher.Version(),
		Overrides: b.core.Overrides(), Snapshot: b.core.Snapshot(),
	}
	if b.core.EndpointsKnown() {
		r.Endpoints = []handover.Endpoint{}
	}
	for _, known := range b.core.Endpoints() {
		e := &known.Endpoint
		zone := ""
		if e.Zone >= 0 && e.Zone < len(b.cfg.Settings.Zones) {
			zone = b.cfg.Settings.Zones[e.Zone]
		}
		r.Endpoints = append(r.Endpoints, handover.Endpoint{
			Name: known.Name, Address: known.Address, Zone: zone, Cell: e.Cell, State: e.State, Size: e.Size, StartedAt: e.StartedAt,
		})
	}
	return r
}
