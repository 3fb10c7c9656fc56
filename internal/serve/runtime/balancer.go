package runtime

import (
	"context"
	"log/slog"
	"time"

	"piernotch"
	"piernotch/internal/controlgroup"
	"piernotch/internal/serve/admin"
	"piernotch/internal/serve/config"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/discovery"
	"piernotch/internal/serve/downstream"
	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/overrides"
	"piernotch/internal/serve/upstream"
)

const (
	// totalsInterval is the time between two log lines with totals.
	totalsInterval = 10 * time.Second
	// stateInterval is the time between two reports of the module's state to the log.
	stateInterval = time.Second
	// shedLogInterval limits how often a shortage of descriptors is logged: it may last.
	shedLogInterval = time.Second
	// loggedStall is the shortest stall that is logged.
	loggedStall = time.Second
)

// Balancer is one balancer process. New makes it.
type Balancer struct {
	// LimitMemory, if not nil, is called with the number of bytes that the Go runtime may use,
	// whenever that number changes; debug.SetMemoryLimit fits. It is set before Start.
	LimitMemory func(bytes int64) int64

	cfg           config.Config
	reloaded      config.Config // the last one passed to Reload, until the core has accepted its settings
	loop          *eventloop.Loop
	core          *core.Core
	downstream    *downstream.Downstream
	upstream      *upstream.Upstream
	watcher       *discovery.Watcher
	listener      *eventloop.Listener
	admin         admin.Server
	adminListener *eventloop.Listener // nil: there is no admin address
	siblings      siblingProcesses
	recorder      *traceRecorder // nil: nothing is recorded

	clockStart  time.Time     // when the clock was read
	unixAtStart time.Duration // what it said, as Unix time

	events    []core.Event // in front of the reducer
	nextEvent int          // index of the first event that was not handled yet
	handling  bool         // the reducer is running

	descriptorLimit int   // of this process now
	memoryLimit     int64 // of this process now, in bytes

	stopped       bool               // clients are no longer accepted
	exit          context.CancelFunc // ends Run
	exitRequested time.Duration      // when the core had nothing left to do; 0: it has

	totalsLogged time.Duration // when totals were last logged
	stateLogged  time.Duration // when the module's state was last reported
	shedLogged   time.Duration // when a shortage of descriptors was last logged
}

// New returns a balancer that does not listen yet. It fails where the settings are not valid, the
// event loop does not start or the trace file cannot be created.
func New(cfg config.Config) (*Balancer, error) {
	balancer := &Balancer{cfg: cfg, clockStart: time.Now()}
	balancer.unixAtStart = time.Duration(balancer.clockStart.UnixNano())
	var err error
	balancer.core, err = core.New(core.Options{
		Settings:  cfg.Settings,
		Seed:      cfg.Seed,
		Now:       balancer.now(),
		Discovery: cfg.Discovery,
		ProcessID: overrides.ProcessID(balancer.unixAtStart),
	})
	if err != nil {
		return nil, err
	}
	if balancer.loop, err = eventloop.New(cfg.MaxDescriptors); err != nil {
		return nil, err
	}
	if balancer.recorder, err = newTraceRecorder(&cfg, balancer.now()); err != nil {
		return nil, err
	}
	balancer.upstream = upstream.New(upstream.Options{
		Loop:        balancer.loop,
		Emit:        balancer.emit,
		Now:         balancer.now,
		KeepAlive:   cfg.KeepAlive,
		DialTimeout: cfg.DialTimeout,
	})
	balancer.downstream = downstream.New(balancer.emit, balancer.now, balancer.healthy, cfg.MaxDescriptors)
	balancer.setRoutes(balancer.core.Routes())
	balancer.listener = balancer.loop.ClientListener(balancer.downstream.Accepted)
	balancer.admin = admin.Server{Now: balancer.now, Ready: balancer.ready, Execute: balancer.executeAdminCommand}
	balancer.watcher = discovery.New(discovery.Options{
		Loop:    balancer.loop,
		Emit:    balancer.emit,
		Now:     balancer.now,
		Address: cfg.Discovery,
		Zones:   cfg.Settings.Zones,
		Version: cfg.KnownEndpoints.Generation,
	})
	balancer.loop.Stalled = balancer.stalled
	balancer.loop.ShedClients = balancer.shedClients
	balancer.loop.ShedAll = balancer.shedAll
	return balancer, nil
}

// ShareWatch makes the watch of discovery part of a group in which one balancer polls for many. It
// is called before Start. join may return nil: then the balancer polls by itself.
func (b *Balancer) ShareWatch(join controlgroup.JoinWatch) {
	onUpdate := func(event controlgroup.WatchEvent) {
		b.loop.Post(func() { b.watcher.ReceiveShared(event) })
	}
	if shared := join(b.cfg.Discovery, onUpdate); shared != nil {
		b.watcher.UseSharedWatch(shared)
	}
}

// Start joins the sibling processes, starts the watch of discovery and listens; clients are served
// once Run is called. An error to bind or inherit a socket is a *ListenError.
func (b *Balancer) Start() error {
	peers, err := b.joinSiblings()
	if err != nil {
		return err
	}
	b.applyResourceLimits()
	if b.cfg.HasKnownEndpoints {
		b.emit(core.EndpointUpdate{Kind: piernotch.UpdateCached, Endpoints: b.cfg.KnownEndpoints.Endpoints})
	} else {
		b.emit(core.Tick{})
		b.watcher.Watch()
	}
	if !b.cfg.Settings.PollDiscovery {
		b.watcher.WatchWithRestarts()
	}
	b.mergePeers(peers) // after the list: overrides name servers that it holds
	b.writeRecord()
	if err := b.listen(); err != nil {
		return err
	}
	slog.Info(
		"serving",
		"name", b.cfg.Name,
		"listen", b.listener.Addr(),
		"admin", b.cfg.AdminAddress,
		"discovery", b.cfg.Discovery,
		"servers", len(b.cfg.KnownEndpoints.Endpoints),
		"sockets", b.cfg.MaxDescriptors,
		"memory_mb", b.cfg.MemoryMB,
	)
	return nil
}

// Run serves until the context ends or, after Shutdown, no request is pending. The calling
// goroutine owns all state meanwhile.
func (b *Balancer) Run(ctx context.Context) {
	ctx, b.exit = context.WithCancel(ctx)
	defer b.exit()
	b.loop.Run(ctx, core.TickInterval, b.tick)
	b.stopListening()
	if b.adminListener != nil {
		b.adminListener.Stop()
	}
	b.leaveSiblings()
	b.logTotals("shutdown completed")
	if b.recorder != nil {
		b.recorder.close()
	}
}

// Addr returns the address on which clients are accepted. It is valid after Start.
func (b *Balancer) Addr() string { return b.listener.Addr() }

// AdminAddr returns the address for admin commands, "" if there is none. It is valid after Start.
func (b *Balancer) AdminAddr() string {
	if b.adminListener == nil {
		return ""
	}
	return b.adminListener.Addr()
}

// now returns the module's clock: Unix time, as discovery gives the servers' starts in it, read once
// and advanced by the monotonic clock so that it never jumps.
func (b *Balancer) now() time.Duration { return b.unixAtStart + time.Since(b.clockStart) }

// ready reports whether this process can serve.
func (b *Balancer) ready() bool { return b.core.EndpointsKnown() && !b.core.ShuttingDown() }

// healthy reports whether the health check of the clients' side succeeds. Where a successor has
// taken over, the result is that of both processes: a health check may reach either.
func (b *Balancer) healthy() bool {
	if !b.core.EndpointsKnown() || b.core.ClientsDrained() {
		return false
	}
	return !b.core.ShuttingDown() || b.siblings.hasSuccessor()
}

func (b *Balancer) executeAdminCommand(call overrides.CallID, action overrides.Action, server string) {
	b.emit(core.AdminCommand{Call: call, Action: action, Server: server})
}

// tick runs every core.TickInterval.
func (b *Balancer) tick() {
	b.emit(core.Tick{})
	b.downstream.Tick()
	b.upstream.Tick()
	b.watcher.Tick()
	b.admin.Tick()
	now := b.now()
	b.advanceWhenReady()
	b.tickSiblings(now)
	b.exitWhenDrained()
	b.logPeriodically(now)
}

// stalled runs after the event loop did not run for the duration of gap.
func (b *Balancer) stalled(gap time.Duration) {
	if gap > loggedStall {
		slog.Warn("stall detected", "duration_ms", gap.Milliseconds())
	}
	b.downstream.Stalled(gap)
}

// shedClients closes idle connections of clients where descriptors are short.
func (b *Balancer) shedClients() {
	if now := b.now(); now-b.shedLogged > shedLogInterval {
		b.shedLogged = now
		slog.Warn("descriptor limit reached", "open", b.loop.OpenConnections())
	}
	b.downstream.Shed()
}

// shedAll closes idle connections of clients and to servers where descriptors are short.
func (b *Balancer) shedAll() {
	b.shedClients()
	b.upstream.Shed()
}
