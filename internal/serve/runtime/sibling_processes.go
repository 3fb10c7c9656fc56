package runtime

import (
	"log/slog"
	"os"
	"slices"
	"time"

	"piernotch"
	"piernotch/internal/serve/admin"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/discovery"
	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/handover"
)

const (
	// lookEvery is how often the records of other processes are looked at, and keepEvery how
	// old one's own may grow: what has been learnt and the list change all the time.
	lookEvery = 25 * time.Millisecond
	keepEvery = time.Second
)

// beside is this process among others of its balancer. Without a directory it is alone.
type beside struct {
	n         *Balancer
	dir       *handover.Directory
	self      handover.ProcessState
	others    []handover.ProcessState // that are alive and could be read
	alone     bool
	looked    time.Duration
	kept      time.Duration
	succeeded bool // another can serve in this one's place
}

// enter makes this process known, takes over the list of another, and returns the others.
func (n *Balancer) enter() ([]handover.Peer, error) {
	b := &n.beside
	b.n, b.alone = n, true
	b.self = handover.ProcessState{Epoch: 1, PID: os.Getpid(), Phase: handover.Starting}
	if n.cfg.StateDir == "" {
		return nil, nil
	}
	dir, err := handover.Enter(n.cfg.StateDir, n.cfg.Name)
	if err != nil {
		return nil, err
	}
	b.dir = dir
	peers := b.read()
	var from *handover.Record
	for i := range peers {
		p := &peers[i]
		b.self.Epoch = max(b.self.Epoch, p.Epoch+1)
		usable := p.Err == nil && p.Endpoints != nil && (p.Alive || p.Discovery == n.cfg.Discovery && p.Generation >= n.cfg.KnownEndpoints.Generation)
		if usable && (from == nil || p.Epoch > from.Epoch) {
			from = &p.Record
		}
	}
	if from != nil {
		n.takeOver(from)
	}
	return peers, nil
}

// takeOver starts from the list and the experience of another process.
func (n *Balancer) takeOver(from *handover.Record) {
	known := discovery.EndpointList{Generation: from.Generation, Reset: true}
	for _, m := range from.Endpoints {
		known.Endpoints = append(known.Endpoints, core.DiscoveredEndpoint{Name: m.Name, Address: m.Address, Endpoint: piernotch.Endpoint{
			Zone: slices.Index(n.cfg.Settings.Zones, m.Zone), Cell: m.Cell, State: m.State, Size: m.Size, StartedAt: m.StartedAt,
		}})
	}
	n.cfg.KnownEndpoints, n.cfg.HasKnownEndpoints = known, true
	n.watcher.Resume(from.Generation, from.Discovery == n.cfg.Discovery)
	n.emit(core.PeerSnapshot{Snapshot: from.Snapshot})
	slog.Info("handover started", "from_pid", from.PID, "epoch", from.Epoch, "generation", from.Generation, "servers", len(known.Endpoints))
}

// look follows the other processes.
func (b *beside) look(now time.Duration) {
	if b.dir == nil {
		return
	}
	if now-b.looked >= lookEvery {
		b.looked = now
		b.merge(b.read())
		b.stand()
		b.n.limits()
	}
	if now-b.kept >= keepEvery {
		b.keep()
	}
}

func (b *beside) read() []handover.Peer {
	peers, err := b.dir.Peers()
	if err != nil {
		slog.Warn("sibling processes unreadable", "err", err)
	}
	return peers
}

// merge takes what others were told, and notes who there is.
func (b *beside) merge(peers []handover.Peer) {
	b.others = b.others[:0]
	alone := true
	for i := range peers {
		p := &peers[i]
		if p.Err == nil {
			b.n.emit(core.PeerOverrides{Overrides: &p.Overrides})
		}
		if p.Alive {
			alone = false
			if p.Err == nil {
				b.others = append(b.others, p.ProcessState)
			}
		}
	}
	if alone != b.alone {
		b.alone = alone
		slog.Info("sibling processes changed", "others", len(b.others), "pid", b.self.PID, "epoch", b.self.Epoch)
	}
	if alone {
		b.n.core.PruneOverrides()
	}
}

// advance notes how far this process is.
func (b *beside) advance(to handover.Phase) {
	if b.self.Phase == to || b.self.Phase == handover.ShuttingDown {
		return
	}
	b.self.Phase = to
	slog.Info("process phase changed", "phase", to, "pid", b.self.PID, "epoch", b.self.Epoch)
	b.keep()
	b.stand()
}

// stand accepts clients, or leaves them to another process.
func (b *beside) stand() {
	n := b.n
	b.succeeded = b.self.HasSuccessor(b.others)
	if n.cfg.ListenFD == 0 || n.stopped {
		return
	}
	on := b.self.Accepts(b.others)
	if on == n.listener.Accepting() {
		return
	}
	event := "listener stopped"
	if on {
		event = "listener started"
	}
	slog.Info(event, "pid", b.self.PID, "others", len(b.others))
	if err := n.listener.SetAccepting(on); err != nil {
		slog.Error("inherited listener failed", "err", err)
	}
}

// keep writes this process's record.
func (b *beside) keep() {
	if b.dir == nil {
		return
	}
	n := b.n
	b.kept = n.now()
	r := handover.Record{
		ProcessState: b.self, WrittenAt: b.kept, Discovery: n.cfg.Discovery, Generation: n.watcher.Version(),
		Overrides: n.core.Overrides(), Snapshot: n.core.Snapshot(),
	}
	if n.core.EndpointsKnown() {
		r.Endpoints = []handover.Endpoint{}
	}
	for _, m := range n.core.Endpoints() {
		zone := ""
		if z := m.Endpoint.Zone; z >= 0 && z < len(n.cfg.Settings.Zones) {
			zone = n.cfg.Settings.Zones[z]
		}
		r.Endpoints = append(r.Endpoints, handover.Endpoint{
			Name: m.Name, Address: m.Address, Zone: zone, Cell: m.Endpoint.Cell, State: m.Endpoint.State, Size: m.Endpoint.Size, StartedAt: m.Endpoint.StartedAt,
		})
	}
	if err := b.dir.Write(r); err != nil {
		slog.Error("handover record write failed", "err", err)
	}
}

// limits keeps all processes of the balancer within its limits.
func (n *Balancer) limits() {
	b := &n.beside
	sockets, memory := n.cfg.MaxDescriptors, int64(n.cfg.MemoryMB)<<20*6/10 // stacks, the runtime and the kernel's share come on top
	if n.cfg.AdminAddress != "" {
		sockets -= admin.ReservedDescriptors
	}
	switch {
	case b.alone:
	case len(b.others) == 0: // nothing is known of whoever is there
		sockets, memory = sockets/2, memory/2
	default:
		sockets, memory = b.self.DescriptorShare(b.others, sockets, n.engine.OpenConnections()+eventloop.ReservedDescriptors), memory/2
	}
	if sockets != n.sockets {
		n.sockets = sockets
		n.engine.SetDescriptorLimit(max(sockets, leastSockets))
	}
	if memory != n.memory && n.LimitMemory != nil {
		n.memory = memory
		n.LimitMemory(memory)
	}
	if d := sockets - b.self.DescriptorClaim; d < 0 || d > 8 { // a record for each descriptor would be many
		b.self.DescriptorClaim = sockets
		b.keep()
	}
}

// leastSockets leaves room to serve, whatever the others hold.
const leastSockets = eventloop.ReservedDescriptors + 16
