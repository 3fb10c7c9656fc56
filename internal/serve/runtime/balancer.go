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
	"piernotch/internal/serve/memory"
	"piernotch/internal/serve/overrides"
	"piernotch/internal/serve/upstream"
)

const (
	// totalsInterval is the time between two log lines with totals.
	totalsInterval = 10 * time.Second
	// stateInterval is the time between two log lines with the module's state.
	stateInterval = time.Second
	// shedLogInterval is the minimum time between two log lines about a lasting shortage of descriptors.
	shedLogInterval = time.Second
	// minLoggedStall is the length above which a stall is logged.
	minLoggedStall = time.Second
)

// Balancer is one balancer process. New creates it.
type Balancer struct {
	// LimitMemory, if not nil, is called with the number of bytes that the Go runtime may use, whenever
	// that number changes. It must be set before Start, usually to debug.SetMemoryLimit.
	LimitMemory func(bytes int64) int64

	cfg           config.Config
	reloaded      config.Config // last passed to Reload; applied once the core accepts the settings in it
	loop          *eventloop.Loop
	core          *core.Core
	downstream    *downstream.Downstream
	upstream      *upstream.Upstream
	watcher       *discovery.Watcher
	listener      *eventloop.Listener
	admin         admin.Server
	adminListener *eventloop.Listener // nil: no admin address
	siblings      siblingProcesses
	recorder      *traceRecorder // nil: no trace
	memoryLog     memoryLog

	clockStart  time.Time     // when New read the system clock
	unixAtStart time.Duration // clockStart as Unix time

	events    []core.Event // queue in front of the reducer
	nextEvent int          // index of the first unhandled event
	handling  bool         // the reducer is running

	descriptorShare int // this process's share of the balancer's descriptors
	memoryPlan      memory.Plan
	requestMemory   memory.Pool
	responseMemory  memory.Pool

	stopped       bool               // clients are never accepted again
	exit          context.CancelFunc // ends Run
	exitRequested time.Duration      // when the core first emitted core.Exit; 0: it has not

	// Times on the module's clock; 0: not set.
	totalsLogged time.Duration // when totals were last logged; before that, the first tick
	stateLogged  time.Duration // when Core.LogState was last called
	shedLogged   time.Duration // when a shortage of descriptors was last logged
}

// New returns a balancer that does not listen yet. It fails if the settings are invalid, or the event
// loop or the trace file cannot be created.
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
		Loop:           balancer.loop,
		Emit:           balancer.emit,
		Now:            balancer.now,
		KeepAlive:      cfg.KeepAlive,
		DialTimeout:    cfg.DialTimeout,
		RequestMemory:  &balancer.requestMemory,
		ResponseMemory: &balancer.responseMemory,
	})
	balancer.downstream = downstream.New(downstream.Options{
		Emit:           balancer.emit,
		Now:            balancer.now,
		Ready:          balancer.healthy,
		MaxDescriptors: cfg.MaxDescriptors,
		RequestMemory:  &balancer.requestMemory,
		ResponseMemory: &balancer.responseMemory,
	})
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

// ShareWatch joins a group of balancers in which one polls discovery for the others. It must be called
// before Start. If join returns nil, this balancer polls discovery itself.
func (b *Balancer) ShareWatch(join controlgroup.JoinWatch) {
	onUpdate := func(event controlgroup.WatchEvent) {
		b.loop.Post(func() { b.watcher.ReceiveShared(event) })
	}
	if shared := join(b.cfg.Discovery, onUpdate); shared != nil {
		b.watcher.UseSharedWatch(shared)
	}
}

// Start joins the sibling processes, starts the discovery watch and listens. Clients are not served
// before Run. If a socket cannot be bound or inherited, the error is a *ListenError.
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
	b.mergePeers(peers) // after the endpoint list, because overrides name its servers
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

// Run serves until the context ends or a shutdown is complete (see exitWhenDrained). The calling
// goroutine owns all state until Run returns.
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

// AdminAddr returns the address for admin commands, "" if none is configured. It is valid after Start.
func (b *Balancer) AdminAddr() string {
	if b.adminListener == nil {
		return ""
	}
	return b.adminListener.Addr()
}

// now returns the time on the module's clock: Unix time, as in the servers' start times from discovery.
// It is the system time at New plus the monotonic time since New, so that it never jumps.
func (b *Balancer) now() time.Duration { return b.unixAtStart + time.Since(b.clockStart) }

// ready reports whether this process can serve: it has an endpoint list and is not shutting down.
func (b *Balancer) ready() bool { return b.core.EndpointsKnown() && !b.core.ShuttingDown() }

// healthy reports whether /_health succeeds. It fails without an endpoint list and while clients are
// drained. During a handover a health check may reach either process, so a process that is shutting down
// stays healthy while a successor can serve.
func (b *Balancer) healthy() bool {
	if !b.core.EndpointsKnown() || b.core.DrainingClients() {
		return false
	}
	return !b.core.ShuttingDown() || b.siblings.hasSuccessor()
}

func (b *Balancer) executeAdminCommand(call overrides.CallID, action overrides.Action, server string) {
	b.emit(core.AdminCommand{Call: call, Action: action, Server: server})
}

// tick does all periodic work, once every core.TickInterval.
func (b *Balancer) tick() {
	b.emit(core.Tick{})
	b.downstream.Tick()
	b.upstream.Tick()
	b.watcher.Tick()
	b.admin.Tick()
	now := b.now()
	b.advanceWhenReady()
	b.tickSiblings(now)
	b.planMemory()
	b.exitWhenDrained()
	b.logPeriodically(now)
}

// stalled is called after the event loop did not run for the duration gap. It informs downstream, and logs
// long stalls.
func (b *Balancer) stalled(gap time.Duration) {
	if gap > minLoggedStall {
		slog.Warn("stall detected", "duration_ms", gap.Milliseconds())
	}
	b.downstream.Stalled(gap)
}

// shedClients logs a shortage of descriptors. It closes client connections that can be spared, and idle connections to
// servers that use more than their share of the descriptors.
func (b *Balancer) shedClients() {
	if now := b.now(); now-b.shedLogged > shedLogInterval {
		b.shedLogged = now
		slog.Warn("descriptor limit reached", "open", b.loop.OpenConnections())
	}
	b.downstream.Shed(b.listener.QueueTime())
	b.upstream.Shed(b.loop.ServerShare())
}

// shedAll does the same as shedClients, and closes all idle connections to servers.
func (b *Balancer) shedAll() {
	b.shedClients()
	b.upstream.Shed(0)
}
