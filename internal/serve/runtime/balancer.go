// Package runtime holds one running balancer: it joins the reducer to the sockets,
// carrying events one way and effects the other.
package runtime

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"piernotch"
	"piernotch/internal/group"
	"piernotch/internal/serve/admin"
	"piernotch/internal/serve/config"
	"piernotch/internal/serve/core"
	"piernotch/internal/serve/discovery"
	"piernotch/internal/serve/downstream"
	"piernotch/internal/serve/eventloop"
	"piernotch/internal/serve/handover"
	"piernotch/internal/serve/overrides"
	"piernotch/internal/serve/upstream"
)

// summaryEvery is the time between two lines of totals in the log.
const summaryEvery = 10 * time.Second

// lastWords bounds how long an end waits for clients that are slow to send or to
// read, once no answer is owed.
const lastWords = 5 * time.Second

// Balancer is one balancer.
type Balancer struct {
	// LimitMemory, if set, is told how much the runtime may use, in bytes.
	LimitMemory func(int64) int64

	cfg       config.Config
	next      config.Config // what was read again, until it is taken
	engine    *eventloop.Loop
	core      *core.Core
	front     *downstream.Downstream
	upstream  *upstream.Upstream
	watcher   *discovery.Watcher
	listener  *eventloop.Listener
	manage    admin.Server
	operators *eventloop.Listener // nil: no management address
	beside    beside
	stopped   bool          // no clients are accepted any more
	sockets   int           // what this process may hold now
	memory    int64         // and use, in bytes
	epoch     time.Time     // when the clock was read
	base      time.Duration // what it said, as Unix time
	queue     []core.Event
	head      int // how many of the queue have been taken
	busy      bool
	summary   time.Duration
	mood      time.Duration // when what the module believes was last told
	shed      time.Duration // when it was last logged that descriptors are short
	exit      context.CancelFunc
	recorder  *recorder     // nil: nothing is recorded
	leaving   time.Duration // when the core had nothing left to do; 0: it has
}

// New returns a balancer that does not listen yet.
func New(cfg config.Config) (*Balancer, error) {
	n := &Balancer{cfg: cfg, epoch: time.Now()}
	n.base = time.Duration(n.epoch.UnixNano())
	var err error
	if n.core, err = core.New(cfg.Settings, cfg.Seed, n.now(), cfg.Discovery, uint64(n.base)); err != nil {
		return nil, err
	}
	if n.engine, err = eventloop.New(cfg.MaxDescriptors); err != nil {
		return nil, err
	}
	if n.recorder, err = newRecorder(&cfg, n.now()); err != nil {
		return nil, err
	}
	n.upstream = upstream.New(n.engine, n.emit, n.now, cfg.KeepAlive, cfg.DialTimeout)
	n.front = downstream.New(n.emit, n.now, n.healthy, cfg.MaxDescriptors)
	n.route(n.core.Routes())
	n.listener = n.engine.ClientListener(n.front.Accepted)
	n.engine.Stalled = func(gap time.Duration) {
		if gap > time.Second {
			slog.Warn("stall detected", "duration_ms", gap.Milliseconds())
		}
		n.front.Stalled(gap)
	}
	n.manage = admin.Server{
		Now: n.now, Ready: func() bool { return n.core.EndpointsKnown() && !n.core.ShuttingDown() },
		Execute: func(call uint64, verb overrides.Action, server string) {
			n.emit(core.AdminCommand{Call: call, Action: verb, Server: server})
		},
	}
	n.watcher = discovery.New(n.engine, n.emit, n.now, cfg.Discovery, cfg.Settings.Zones, cfg.KnownEndpoints.Generation)
	n.engine.Shed = func(client bool) {
		if now := n.now(); now-n.shed > time.Second { // it may go on for a while
			n.shed = now
			slog.Warn("descriptor limit reached", "open", n.engine.OpenConnections())
		}
		n.front.Shed()
		if !client { // a client must not cost feed servers their connections
			n.upstream.Shed()
		}
	}
	return n, nil
}

// ShareWatch has the watch of discovery go by a group in which one balancer may ask for many. It is called
// before Start.
func (n *Balancer) ShareWatch(join group.JoinWatch) {
	if l := join(n.cfg.Discovery, func(p group.WatchEvent) { n.engine.Post(func() { n.watcher.ReceiveShared(p) }) }); l != nil {
		n.watcher.UseSharedWatch(l)
	}
}

// now is the module's clock: Unix time, as the servers' starts are told in it,
// read once and advanced by the monotonic clock so that it never jumps.
func (n *Balancer) now() time.Duration { return n.base + time.Since(n.epoch) }

// healthy is what the front of the clients is told. Where another process has taken over, this
// one speaks for the two: the front may ask either.
func (n *Balancer) healthy() bool {
	return n.core.EndpointsKnown() && !n.core.ClientsDrained() && (!n.core.ShuttingDown() || n.beside.succeeded)
}

// Start listens. Clients are served once Run is called.
func (n *Balancer) Start() error {
	peers, err := n.enter()
	if err != nil {
		return err
	}
	n.limits()
	if n.cfg.HasKnownEndpoints {
		n.emit(core.EndpointUpdate{Kind: piernotch.UpdateCached, Endpoints: n.cfg.KnownEndpoints.Endpoints})
	} else {
		n.emit(core.Tick{})
		n.watcher.Watch()
	}
	if !n.cfg.Settings.PollDiscovery {
		n.watcher.SetPush()
	}
	n.beside.merge(peers) // what was said is of servers that are listed by now
	n.beside.keep()
	if err := n.listen(); err != nil {
		return err
	}
	slog.Info("serving", "name", n.cfg.Name, "listen", n.listener.Addr(), "admin", n.cfg.AdminAddress, "discovery", n.cfg.Discovery,
		"servers", len(n.cfg.KnownEndpoints.Endpoints), "sockets", n.cfg.MaxDescriptors, "memory_mb", n.cfg.MemoryMB)
	return nil
}

func (n *Balancer) listen() error {
	if n.cfg.AdminAddress != "" {
		n.operators = n.engine.AdminListener(admin.MaxConnections, n.manage.Accepted, n.manage.Shed)
		if err := n.operators.Listen(n.cfg.AdminAddress); err != nil {
			return fmt.Errorf("management: %w", err)
		}
	}
	if n.cfg.ListenFD == 0 {
		if err := n.listener.Listen(n.cfg.Listen); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		return nil
	}
	if err := n.listener.Inherit(n.cfg.ListenFD); err != nil {
		return fmt.Errorf("ROUTER_LISTEN_FD: descriptor %d: %w", n.cfg.ListenFD, err)
	}
	n.settle()
	return nil
}

// settle notes when this process can serve.
func (n *Balancer) settle() {
	if n.core.EndpointsKnown() && !n.core.ShuttingDown() {
		n.beside.advance(handover.Ready)
	}
}

// Addr is the address that is listened on.
func (n *Balancer) Addr() string { return n.listener.Addr() }

// AdminAddr is the operators' address, "" if there is none.
func (n *Balancer) AdminAddr() string {
	if n.operators == nil {
		return ""
	}
	return n.operators.Addr()
}

func (n *Balancer) route(routes []core.Route) {
	var waits []time.Duration
	for _, c := range n.core.Settings().Classes {
		waits = append(waits, c.Deadline)
	}
	n.front.SetRoutes(routes, waits, n.core.Settings().Tenants)
}

// Run serves until the context ends or, after Terminate, nothing is owed.
func (n *Balancer) Run(ctx context.Context) {
	ctx, n.exit = context.WithCancel(ctx)
	defer n.exit()
	n.engine.Run(ctx, core.TickInterval, n.tick)
	n.stop()
	if n.operators != nil {
		n.operators.Stop()
	}
	if n.beside.dir != nil {
		n.beside.keep()
		n.beside.dir.Leave()
	}
	n.log("shutdown completed")
	if n.recorder != nil {
		n.recorder.close()
	}
}

// stop accepts no clients any more.
func (n *Balancer) stop() {
	n.stopped = true
	n.listener.Stop()
}

// Shutdown begins an orderly end. It may be called from any goroutine.
func (n *Balancer) Shutdown() {
	n.engine.Post(func() {
		slog.Info("shutdown started", "pending", n.core.PendingRequests(), "clients", n.front.ConnectionCount())
		n.front.Shutdown()
		n.emit(core.Shutdown{})
		n.beside.advance(handover.ShuttingDown)
	})
}

// Reload takes over what of a new configuration can change while the program runs, which is
// the settings, the limits and discovery's address. It may be called from any goroutine.
func (n *Balancer) Reload(cfg config.Config) {
	n.engine.Post(func() {
		n.next = cfg
		n.emit(core.SettingsChanged{Settings: cfg.Settings, Discovery: cfg.Discovery})
	})
}

// retuned takes the rest of a configuration whose settings were taken.
func (n *Balancer) retuned(e core.SettingsApplied) {
	if e.Err != nil {
		slog.Error("configuration rejected", "err", e.Err)
		return
	}
	slog.Info("configuration reloaded", "discovery", n.next.Discovery, "previous_discovery", n.cfg.Discovery,
		"classes", len(n.next.Settings.Classes), "max_attempts", n.next.Settings.Limits.MaxAttempts)
	n.cfg.Discovery, n.cfg.Settings = n.next.Discovery, n.next.Settings
	n.cfg.MaxDescriptors, n.cfg.MemoryMB = n.next.MaxDescriptors, n.next.MemoryMB
	n.upstream.SetTimeouts(n.next.KeepAlive, n.next.DialTimeout)
	n.limits()
	n.route(e.Routes)
}

func (n *Balancer) tick() {
	n.emit(core.Tick{})
	n.front.Tick()
	n.upstream.Tick()
	n.watcher.Tick()
	n.manage.Tick()
	now := n.now()
	n.settle()
	n.beside.look(now)
	n.leave()
	if now-n.summary >= summaryEvery {
		if n.summary > 0 {
			n.log("totals")
		}
		n.summary = now
	}
	if now-n.mood >= time.Second {
		n.mood = now
		n.core.LogState()
	}
}

// settleFor is how long the sockets get, once nothing is owed, for requests that
// have arrived but were not read yet.
const settleFor = 4 * core.TickInterval

// leave ends the program once the core is done and the sockets are: an answer
// that is still in a buffer, or a request of which a part has come, would be lost.
func (n *Balancer) leave() {
	now := n.now()
	if n.leaving == 0 || n.core.PendingRequests() > 0 || now-n.leaving < settleFor {
		return
	}
	n.front.CloseIdle()
	if n.front.ConnectionCount() == 0 || now-n.leaving > lastWords {
		n.exit()
	}
}

func (n *Balancer) log(what string) {
	c := n.core.Counts
	slog.Info(what, "accepted", c.Accepted, "served", c.Served, "rejected", c.Rejected, "failed", c.Failed,
		"clients_gone", c.ClientsGone, "deadline_exceeded", c.DeadlineExceeded, "attempts", c.Attempts, "timeouts", c.Timeouts, "resets", c.Resets,
		"connect_failed", c.ConnectFailed, "full", c.Full, "errors", c.Errors, "connections_opened", n.upstream.ConnectionsOpened,
		"pending", n.core.PendingRequests(), "clients", n.front.ConnectionCount(), "descriptors", n.engine.OpenConnections())
}

// emit takes an event to the reducer. Effects may bring further events, which
// wait their turn: the reducer is never entered twice.
func (n *Balancer) emit(ev core.Event) {
	n.queue = append(n.queue, ev)
	if n.busy {
		return
	}
	n.busy = true
	defer func() { n.busy = false }()
	for n.head < len(n.queue) {
		next := n.queue[n.head]
		n.queue[n.head] = nil // the array is used again and must keep no request alive
		n.head++
		now := n.now()
		if n.recorder != nil {
			n.recorder.hear(now, next)
		}
		for _, e := range n.core.Handle(now, next) {
			n.perform(e)
		}
	}
	n.queue, n.head = n.queue[:0], 0
}

func (n *Balancer) perform(e core.Effect) {
	switch e := e.(type) {
	case core.StartAttempt:
		n.upstream.StartAttempt(e, e.Message.(*upstream.Request))
	case core.WriteAttempt:
		n.upstream.WriteAttempt(e.Ref)
	case core.CancelAttempt:
		n.upstream.CancelAttempt(e.Ref)
	case core.Respond:
		if n.recorder != nil {
			n.recorder.answer(n.now(), e)
		}
		n.front.Respond(e)
	case core.HealthCheck:
		n.upstream.HealthCheck(e)
	case core.WatchDiscovery:
		n.watcher.Watch()
	case core.MoveDiscovery:
		n.watcher.Move(e.Address)
	case core.CloseIdle:
		n.upstream.CloseIdle(e.To)
	case core.StopListening:
		n.stop()
		n.front.CloseIdle()
	case core.Exit:
		if n.leaving == 0 {
			n.leaving = n.now()
		}
	case core.PersistOverrides:
		n.beside.keep()
	case core.AdminResult:
		n.manage.Complete(e.Call, e.Err)
	case core.DrainClients:
		n.front.SetDraining(e.On)
	case core.SettingsApplied:
		n.retuned(e)
	}
}
