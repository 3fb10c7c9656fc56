// Package core holds the reducer: every change of state goes through it as an
// event, and what is to be read or written comes out as effects. It owns the
// requests, their attempts, the table of feed servers and the decision module.
// It has no sockets and no clock, and knows no format: a message is carried from
// one side to the other unread, so another protocol can use it as it is.
package core

import (
	"context"
	"hash/fnv"
	"log/slog"
	"time"

	"piernotch"
	"piernotch/internal/serve/overrides"
	"piernotch/internal/wheel"
)

// TickInterval is the grain of all timers.
const TickInterval = 5 * time.Millisecond

// ExchangeID names one exchange with a client: the request and its one answer.
type ExchangeID uint64

// AttemptRef names an attempt.
type AttemptRef struct {
	Request piernotch.RequestID
	Attempt int
}

// Endpoint is a feed server at its address. A new server may come up at the address
// of one that has gone; what belongs to the one must not pass to the other.
type Endpoint struct {
	Backend piernotch.BackendID
	Address string
}

// Event is something that happened outside.
type Event interface{ event() }

// The events.
type (
	// RequestReceived is a client's request, owed one final answer from here on.
	RequestReceived struct {
		Client   ExchangeID
		ID       string // the client's own name for it, unique while it is open
		Message  any
		Class    int
		Tenant   int // its place in the settings; -1: none of them
		Key      uint64
		Hint     float64       // ms; NaN: none
		Deadline time.Duration // the client waits until then
	}
	// ClientGone says that the client of an exchange has left.
	ClientGone struct{ Client ExchangeID }
	// AttemptConnected says that an attempt has a connection and could be written.
	AttemptConnected struct{ Ref AttemptRef }
	// AttemptCompleted is the end of an attempt. Answer is set if it was served.
	AttemptCompleted struct {
		Ref    AttemptRef
		Status piernotch.Status
		Answer any
	}
	// HealthCheckCompleted is the end of a probe.
	HealthCheckCompleted struct {
		Backend piernotch.BackendID
		Status  piernotch.Status
	}
	// LoadReported is a feed server's account of its load, which came with an answer.
	LoadReported struct {
		Backend piernotch.BackendID
		Load    piernotch.LoadReport
	}
	// EndpointUpdate is word of the feed servers, or of discovery's failure.
	EndpointUpdate struct {
		Kind      piernotch.UpdateKind
		Endpoints []DiscoveredEndpoint
	}
	// Tick is the passing of time.
	Tick struct{}
	// SettingsChanged brings other settings, and discovery's address, where it is another now. They
	// are taken whole or not at all; Retuning tells which.
	SettingsChanged struct {
		Settings  piernotch.Settings
		Discovery string
	}
	// AdminCommand is an operator's call, which is answered by Said.
	AdminCommand struct {
		Call   uint64
		Action overrides.Action
		Server string // the name of the feed server that it is about
	}
	// PeerOverrides is what another process of this balancer was told.
	PeerOverrides struct{ Overrides *overrides.Overrides }
	// PeerSnapshot is what another process of this balancer knows of the traffic.
	PeerSnapshot struct{ Snapshot piernotch.Snapshot }
	// Shutdown asks the balancer to end once nothing is owed.
	Shutdown struct{}
)

func (RequestReceived) event()      {}
func (ClientGone) event()           {}
func (AttemptConnected) event()     {}
func (AttemptCompleted) event()     {}
func (HealthCheckCompleted) event() {}
func (LoadReported) event()         {}
func (EndpointUpdate) event()       {}
func (Tick) event()                 {}
func (SettingsChanged) event()      {}
func (AdminCommand) event()         {}
func (PeerOverrides) event()        {}
func (PeerSnapshot) event()         {}
func (Shutdown) event()             {}

// DiscoveredEndpoint is one feed server as discovery lists it.
type DiscoveredEndpoint struct {
	Name     string
	Address  string
	Endpoint piernotch.Endpoint // all but the ID
}

// Effect is something to be done outside.
type Effect interface{ effect() }

// The effects.
type (
	// StartAttempt asks for a connection for an attempt; Write follows Connected.
	StartAttempt struct {
		Ref     AttemptRef
		To      Endpoint
		Message any
		Timeout time.Duration
	}
	// WriteAttempt sends an attempt whose connection stands.
	WriteAttempt struct{ Ref AttemptRef }
	// CancelAttempt ends the wait for an attempt: nothing of it may be heard any more.
	CancelAttempt struct{ Ref AttemptRef }
	// Respond is the final answer of an exchange.
	Respond struct {
		Client     ExchangeID
		Result     Result
		Answer     any              // of a served request
		LastStatus piernotch.Status // of a failed one: how its last attempt ended
		RetryAfter time.Duration
		Close      bool // the connection is to be closed after it
	}
	// HealthCheck examines a feed server.
	HealthCheck struct{ To Endpoint }
	// WatchDiscovery subscribes to discovery.
	WatchDiscovery struct{}
	// MoveDiscovery has the whole list asked for at another address, and the watch go
	// on from there.
	MoveDiscovery struct{ Address string }
	// CloseIdle closes idle connections to a server.
	CloseIdle struct{ To Endpoint }
	// StopListening ends the taking of new work.
	StopListening struct{}
	// Exit ends the program: nothing is owed any more.
	Exit struct{}
	// PersistOverrides has what operators said written down before anything that follows.
	PersistOverrides struct{}
	// AdminResult is the answer to an operator's call: yes without an error.
	AdminResult struct {
		Call uint64
		Err  error
	}
	// DrainClients has clients sent away, or taken again.
	DrainClients struct{ On bool }
	// SettingsApplied tells what became of other settings: Routes are those in use now.
	SettingsApplied struct {
		Routes []Route
		Err    error
	}
)

func (StartAttempt) effect()     {}
func (WriteAttempt) effect()     {}
func (CancelAttempt) effect()    {}
func (Respond) effect()          {}
func (HealthCheck) effect()      {}
func (WatchDiscovery) effect()   {}
func (MoveDiscovery) effect()    {}
func (CloseIdle) effect()        {}
func (StopListening) effect()    {}
func (Exit) effect()             {}
func (PersistOverrides) effect() {}
func (AdminResult) effect()      {}
func (DrainClients) effect()     {}
func (SettingsApplied) effect()  {}

// Result is what becomes of a request.
type Result uint8

// Verdicts.
const (
	Served Result = iota
	Rejected
	Failed
	DuplicateID // never taken: the id is that of another open request
)

var verdicts = [...]string{"served", "rejected", "failed", "duplicate_id"}

func (v Result) String() string { return verdicts[v] }

// ShutdownGrace is how long after a Terminate new work is still taken: clients hear
// of the end only some time later.
const ShutdownGrace = 700 * time.Millisecond

// The platform kills a process so long after the end of its lame duck at the soonest: the longest
// deadline, counted as killWithin where that is longer. All is answered lastAnswer before.
const (
	killWithin = 3 * time.Second
	lastAnswer = 200 * time.Millisecond
)

type attempt struct {
	to      *backend
	sent    time.Duration
	written bool
	ended   bool
	timer   *wheel.Timer
}

type request struct {
	id       piernotch.RequestID
	name     string // the client's id
	class    int
	client   ExchangeID
	message  any
	deadline time.Duration
	tries    []*attempt
	out      int
	answered bool
	last     piernotch.Status
	overdue  *wheel.Timer
}

type backend struct {
	id      piernotch.BackendID
	name    string
	address string
	state   piernotch.State
	out     bool               // left out by operators
	member  DiscoveredEndpoint // as it was listed last
	born    time.Duration
}

func (b *backend) place() Endpoint { return Endpoint{b.id, b.address} }

// Core is the reducer. It must be used from one goroutine.
type Core struct {
	set       piernotch.Settings
	balancer  *piernotch.Balancer
	now       time.Duration
	wheel     *wheel.Wheel
	effects   []Effect
	pending   []func() // what the module is to hear after its present call
	lastID    piernotch.RequestID
	requests  map[piernotch.RequestID]*request
	clients   map[ExchangeID]*request
	ids       map[string]struct{} // clients' ids of what is owed an answer
	backends  map[piernotch.BackendID]*backend
	names     map[string]*backend
	words     overrides.Overrides
	by        uint64  // this process, in stamps
	routes    []Route // how clients name the classes
	listed    bool
	discovery string // its address
	probes    map[piernotch.BackendID]*wheel.Timer
	ending    bool
	closed    bool          // no longer listening
	endBy     time.Duration // once it is ending: when all has to be answered
	debug     bool          // each request is told in the log
	Counts    Counts
}

// Counts are running totals, for the log.
type Counts struct {
	Accepted, Served, Rejected, Failed, ClientsGone, Attempts, Timeouts, Resets, ConnectFailed, Full, Errors, DeadlineExceeded int
}

// New returns a reducer that starts at now with no feed servers. by tells this process from
// others of the same balancer.
func New(set piernotch.Settings, seed uint64, now time.Duration, discovery string, by uint64) (*Core, error) {
	c := &Core{
		set: set, now: now, discovery: discovery, by: by, wheel: wheel.New(TickInterval, now), routes: routes(set.Classes),
		requests: map[piernotch.RequestID]*request{}, clients: map[ExchangeID]*request{},
		ids:      map[string]struct{}{},
		backends: map[piernotch.BackendID]*backend{}, names: map[string]*backend{},
		probes: map[piernotch.BackendID]*wheel.Timer{},
	}
	b, err := piernotch.New(set, seed, host{c})
	if err != nil {
		return nil, err
	}
	c.balancer = b
	c.debug = slog.Default().Enabled(context.Background(), slog.LevelDebug)
	return c, nil
}

// PendingRequests returns how many requests have no answer yet.
func (c *Core) PendingRequests() int { return len(c.clients) }

// EndpointsKnown tells whether a usable list of feed servers is known.
func (c *Core) EndpointsKnown() bool { return c.listed }

// ShuttingDown tells whether the program is on its way out.
func (c *Core) ShuttingDown() bool { return c.ending }

// LogState is a line for the log, at level debug, of what the module believes.
func (c *Core) LogState() {
	if c.debug {
		slog.Debug("state", "module", c.balancer.String())
	}
}

// Handle takes an event and returns what is to be done about it, in order. The
// slice is used again by the next call.
func (c *Core) Handle(now time.Duration, ev Event) []Effect {
	c.now = max(c.now, now)
	c.effects = c.effects[:0]
	c.reduce(ev)
	for len(c.pending) > 0 {
		f := c.pending[0]
		c.pending = c.pending[:copy(c.pending, c.pending[1:])]
		f()
	}
	if c.closed && len(c.clients) == 0 {
		c.do(Exit{})
	}
	return c.effects
}

func (c *Core) do(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) reduce(ev Event) {
	switch ev := ev.(type) {
	case RequestReceived:
		c.arrived(ev)
	case ClientGone:
		if r := c.clients[ev.Client]; r != nil {
			c.Counts.ClientsGone++
			if c.debug {
				slog.Debug("client disconnected", "id", r.name, "attempts", len(r.tries), "remaining_ms", (r.deadline - c.now).Milliseconds())
			}
			c.over(r)
			c.balancer.ClientGone(c.now, r.id)
			c.forget(r)
		}
	case AttemptConnected:
		c.connected(ev.Ref)
	case AttemptCompleted:
		if r, a := c.attempt(ev.Ref); a != nil {
			c.ended(r, ev.Ref.Attempt, ev.Status, ev.Answer)
		}
	case HealthCheckCompleted:
		if t := c.probes[ev.Backend]; t != nil {
			t.Stop()
			delete(c.probes, ev.Backend)
			c.balancer.HealthCheckCompleted(c.now, ev.Backend, ev.Status)
		}
	case LoadReported:
		if b := c.backends[ev.Backend]; c.debug && b != nil {
			slog.Debug("load report", "server", b.name, "inflight", ev.Load.Inflight, "completed_per_s", ev.Load.CompletedPerSecond)
		}
		c.balancer.LoadReported(c.now, ev.Backend, ev.Load)
	case EndpointUpdate:
		c.members(ev)
	case Tick:
		c.wheel.Advance(c.now)
	case SettingsChanged:
		c.retuned(ev)
	case AdminCommand:
		c.operated(ev)
	case PeerOverrides:
		c.heard(ev.Overrides)
	case PeerSnapshot:
		c.balancer.Restore(ev.Snapshot)
	case Shutdown:
		if !c.ending {
			longest := time.Duration(0)
			for _, k := range c.set.Classes {
				longest = max(longest, k.Deadline)
			}
			c.ending, c.endBy = true, c.now+ShutdownGrace+min(longest, killWithin)-lastAnswer
			c.wheel.At(c.now+ShutdownGrace, func() {
				c.closed = true
				c.do(StopListening{})
			})
		}
	}
}

func (c *Core) arrived(ev RequestReceived) {
	// Two open requests of one id would be one request to the feed servers: a copy
	// that nobody ordered, and an answer that could be either's.
	if _, open := c.ids[ev.ID]; open && ev.ID != "" {
		c.do(Respond{Client: ev.Client, Result: DuplicateID, Close: c.ending})
		return
	}
	if c.ending {
		ev.Deadline = min(ev.Deadline, c.endBy)
	}
	c.ids[ev.ID] = struct{}{}
	c.lastID++
	c.Counts.Accepted++
	r := &request{id: c.lastID, name: ev.ID, client: ev.Client, message: ev.Message, deadline: ev.Deadline, class: ev.Class, last: piernotch.NotSent}
	c.requests[r.id], c.clients[r.client] = r, r
	if c.debug {
		slog.Debug("request received", "id", r.name, "class", ev.Class, "cost_hint", ev.Hint, "deadline_ms", (ev.Deadline - c.now).Milliseconds())
	}
	// The module's own time-outs end at the deadline; this comes a tick later, for
	// whatever it has left unanswered even so.
	r.overdue = c.wheel.At(ev.Deadline+2*TickInterval, func() { c.overrun(r) })
	c.balancer.HandleRequest(c.now, piernotch.Request{
		ID: r.id, Class: ev.Class, Tenant: ev.Tenant, Key: ev.Key, Deadline: ev.Deadline, CostHint: ev.Hint,
	})
}

// overrun ends a request that the module left unanswered past its deadline. It
// fails: a refusal would promise that nothing ran, which nobody here knows.
func (c *Core) overrun(r *request) {
	if r.answered {
		return
	}
	c.Counts.DeadlineExceeded++
	slog.Warn("request deadline exceeded", "request", r.id, "attempts", len(r.tries))
	c.reply(r, Respond{Result: Failed, LastStatus: r.last})
	c.balancer.ClientGone(c.now, r.id)
	c.forget(r)
}

// over marks a request as owed nothing more. An attempt of which nothing was written is not written
// any more: the module may let others run to their end, or may have to, but this one never began.
func (c *Core) over(r *request) {
	r.answered = true
	r.overdue.Stop()
	delete(c.clients, r.client)
	delete(c.ids, r.name)
	for n, a := range r.tries {
		if !a.ended && !a.written {
			c.callOff(r, n, piernotch.NotSent)
		}
	}
}

// callOff ends the wait for an attempt, of which the module hears after its present call.
func (c *Core) callOff(r *request, n int, status piernotch.Status) {
	c.do(CancelAttempt{AttemptRef{r.id, n}})
	c.pending = append(c.pending, func() {
		if !r.tries[n].ended {
			c.ended(r, n, status, nil)
		}
	})
}

func (c *Core) reply(r *request, reply Respond) {
	if r.answered {
		return
	}
	switch reply.Result {
	case Served:
		c.Counts.Served++
	case Rejected:
		c.Counts.Rejected++
	case Failed:
		c.Counts.Failed++
	}
	reply.Client, reply.Close = r.client, c.ending || c.words.Drain.Active
	if c.debug {
		slog.Debug("request completed", "id", r.name, "result", reply.Result, "attempts", len(r.tries), "remaining_ms", (r.deadline - c.now).Milliseconds())
	}
	c.do(reply)
	c.over(r)
}

// forget drops a request that is over and has nothing out.
func (c *Core) forget(r *request) {
	if r.answered && r.out == 0 {
		delete(c.requests, r.id)
	}
}

// attempt finds an attempt that has not ended.
func (c *Core) attempt(ref AttemptRef) (*request, *attempt) {
	r := c.requests[ref.Request]
	if r == nil || ref.Attempt < 0 || ref.Attempt >= len(r.tries) || r.tries[ref.Attempt].ended {
		return nil, nil
	}
	return r, r.tries[ref.Attempt]
}

// connected lets an attempt be written if that is still right: a dial that waited must not
// become a late send to a server that drains, or a repeat outside its window.
func (c *Core) connected(ref AttemptRef) {
	r, a := c.attempt(ref)
	if a == nil || a.written {
		return
	}
	if !c.balancer.AttemptAllowed(c.now, ref.Request, ref.Attempt) {
		c.callOff(r, ref.Attempt, piernotch.NotSent)
		return
	}
	if c.debug {
		slog.Debug("attempt written", "id", r.name, "attempt", ref.Attempt, "server", a.to.name, "elapsed_ms", (c.now - a.sent).Milliseconds())
	}
	a.written = true
	c.do(WriteAttempt{ref})
}

// ended records how an attempt ended, answers the client if it was served, and
// tells the module.
func (c *Core) ended(r *request, n int, status piernotch.Status, answer any) {
	a := r.tries[n]
	a.ended = true
	a.timer.Stop()
	r.out--
	if c.debug {
		slog.Debug("attempt completed", "id", r.name, "attempt", n, "server", a.to.name, "status", status, "written", a.written,
			"elapsed_ms", (c.now - a.sent).Milliseconds())
	}
	c.count(status)
	if status != piernotch.Cancelled {
		r.last = status
	}
	if status == piernotch.OK {
		c.reply(r, Respond{Result: Served, Answer: answer})
	}
	c.balancer.HandleOutcome(c.now, piernotch.Outcome{
		ID: r.id, Attempt: n, Backend: a.to.id, Status: status, Latency: c.now - a.sent, Closed: r.answered,
	})
	c.forget(r)
}

func (c *Core) count(status piernotch.Status) {
	switch status {
	case piernotch.Timeout:
		c.Counts.Timeouts++
	case piernotch.Reset:
		c.Counts.Resets++
	case piernotch.ConnectFailed:
		c.Counts.ConnectFailed++
	case piernotch.Full:
		c.Counts.Full++
	case piernotch.Error:
		c.Counts.Errors++
	}
}

// members takes a list to the table and to the module.
func (c *Core) members(ev EndpointUpdate) {
	if ev.Kind == piernotch.UpdateFailed {
		c.balancer.UpdateEndpoints(c.now, ev.Kind, nil)
		return
	}
	c.listed = true
	entries := make([]piernotch.Endpoint, 0, len(ev.Endpoints))
	named := make(map[string]bool, len(ev.Endpoints))
	for _, m := range ev.Endpoints {
		named[m.Name] = true
		b := c.names[m.Name]
		if b == nil {
			b = &backend{id: c.idFor(m.Name), name: m.Name}
			c.names[m.Name], c.backends[b.id] = b, b
			if b.out = c.words.Excluded(m.Name); b.out {
				c.balancer.Exclude(c.now, b.id)
			}
		}
		// A server that has moved, restarted or is leaving: connections to what was
		// there lead nowhere, and a machine that vanished never says so.
		stale := b.address != m.Address || b.born != m.Endpoint.StartedAt
		if b.address != "" && (stale || m.Endpoint.State != piernotch.Ready) {
			c.do(CloseIdle{b.place()})
		}
		b.member = m
		b.address, b.state, b.born = m.Address, m.Endpoint.State, m.Endpoint.StartedAt
		m.Endpoint.ID = b.id
		entries = append(entries, m.Endpoint)
	}
	if ev.Kind != piernotch.UpdateDelta {
		for name, b := range c.names {
			if !named[name] && b.state != piernotch.Gone {
				b.state = piernotch.Gone
				c.do(CloseIdle{b.place()})
			}
		}
	}
	var gone []*backend // attempts keep their own pointer
	for name, b := range c.names {
		if b.state == piernotch.Gone {
			delete(c.names, name)
			delete(c.backends, b.id)
			gone = append(gone, b)
		}
	}
	c.balancer.UpdateEndpoints(c.now, ev.Kind, entries)
	for _, b := range gone { // the words stay: they hold for the name, should it come back
		if b.out {
			c.balancer.Include(c.now, b.id, 0)
		}
	}
}

// idFor makes an id from the name alone, so that all balancers find the same.
func (c *Core) idFor(name string) piernotch.BackendID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	id := piernotch.BackendID(h.Sum32())
	for c.backends[id] != nil {
		id++
	}
	return id
}

// host carries out the module's decisions. Whatever the module must hear in turn
// waits until its call has returned.
type host struct{ c *Core }

func (h host) StartAttempt(id piernotch.RequestID, to piernotch.BackendID, timeout time.Duration) {
	c := h.c
	r, b := c.requests[id], c.backends[to]
	if r == nil || b == nil {
		slog.Error("attempt for unknown request or backend", "request", id, "backend", to)
		return
	}
	n := len(r.tries)
	a := &attempt{to: b, sent: c.now}
	r.tries = append(r.tries, a)
	r.out++
	if r.answered || n >= c.set.Limits.MaxAttempts {
		c.pending = append(c.pending, func() { c.ended(r, n, piernotch.NotSent, nil) })
		return
	}
	c.Counts.Attempts++
	wait := r.deadline - c.now
	if timeout != 0 {
		wait = min(wait, timeout)
	}
	ref := AttemptRef{id, n}
	if c.debug {
		slog.Debug("attempt started", "id", r.name, "attempt", n, "server", b.name, "timeout_ms", wait.Milliseconds())
	}
	a.timer = c.wheel.At(c.now+wait, func() {
		if a.ended {
			return
		}
		c.do(CancelAttempt{ref})
		status := piernotch.Timeout
		if !a.written { // no connection came up: it never ran
			status = piernotch.ConnectFailed
		}
		c.ended(r, n, status, nil)
	})
	c.do(StartAttempt{Ref: ref, To: b.place(), Message: r.message, Timeout: wait})
}

func (h host) CancelAttempt(id piernotch.RequestID, n int) {
	if r, a := h.c.attempt(AttemptRef{id, n}); a != nil {
		h.c.callOff(r, n, piernotch.Cancelled)
	}
}

func (h host) Reject(id piernotch.RequestID, retryAfter time.Duration) {
	if r := h.c.requests[id]; r != nil {
		h.c.reply(r, Respond{Result: Rejected, RetryAfter: retryAfter})
		h.c.pending = append(h.c.pending, func() { h.c.forget(r) })
	}
}

func (h host) Fail(id piernotch.RequestID) {
	if r := h.c.requests[id]; r != nil {
		h.c.reply(r, Respond{Result: Failed, LastStatus: r.last})
		h.c.pending = append(h.c.pending, func() { h.c.forget(r) })
	}
}

// ProbeTimeout is how long a feed server may take to answer a probe.
const ProbeTimeout = 500 * time.Millisecond

func (h host) HealthCheck(id piernotch.BackendID) {
	c := h.c
	b := c.backends[id]
	if b == nil || c.probes[id] != nil {
		return
	}
	c.probes[id] = c.wheel.At(c.now+ProbeTimeout+2*TickInterval, func() {
		delete(c.probes, id)
		c.balancer.HealthCheckCompleted(c.now, id, piernotch.Timeout)
	})
	c.do(HealthCheck{b.place()})
}

func (h host) WatchEndpoints() { h.c.do(WatchDiscovery{}) }

func (h host) SetTimer(d time.Duration, token uint32) {
	h.c.wheel.At(h.c.now+d, func() { h.c.balancer.Timer(h.c.now, token) })
}
