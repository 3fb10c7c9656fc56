// Package simulation is a world in simulated time: clients, the front that spreads them,
// balancers with real decisions, servers with the physics of internal/lab/servermodel, the list
// of servers as a service, and the network between them. One World plays one day, on
// one goroutine; the same day and seed give the same bytes.
//
// Random numbers are of two sorts. What does not depend on decisions (arrivals, work,
// keys, hints, troubles) comes from streams of its own and is drawn in order. What
// does (a message's delay, the noise of an attempt's work, a client's wait before it
// tries again) is drawn from a hash of what it belongs to: the n-th attempt of the
// m-th try of a client's request draws the same numbers whatever else was decided.
package simulation

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"piernotch"
	"piernotch/internal/lab/idtable"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// ask is what a client wants: one request with all its tries.
type ask struct {
	key       uint64 // of its random numbers
	first     time.Duration
	until     time.Duration // the client waits no longer in all
	class     int
	zone      int
	work      float64
	hint      float64 // NaN: none
	path      uint64  // the key that it concerns
	tries     int     // so far
	most      int     // that it would make
	impatient float64
}

// try is one message of a client: what a balancer calls a request.
type try struct {
	ask      uint64
	inst     int32
	n        int8
	attempts int8
	out      int8
	taken    bool
	closed   bool // it has its final answer, or nothing is owed
	settled  bool // the client knows how it ended
	expired  bool // its deadline has passed
	own      bool // the balancer ended it itself
	closedAt time.Duration
	answer   invariants.Result
	lost     bool // the balancer died under it
	advice   time.Duration
	deadline time.Duration
	shots    [mostShots]uint64
}

const mostShots = 8

// attempt is one sending of a try.
type attempt struct {
	try     uint64
	key     uint64
	inst    int32
	server  int32
	epoch   uint32 // of the instance
	n       int8
	status  piernotch.Status
	fresh   bool // on a new connection
	travels bool // on its way to the server
	ended   bool // for its balancer
	holds   bool // the server has it
	coming  bool // its outcome is on the way
	hasLoad bool
	delay   time.Duration // one way
	sent    time.Duration
	reach   time.Duration
	work    float64
	spent   float64
	load    servermodel.LoadReport
}

type probe struct {
	inst, server int32
	epoch        uint32
	status       piernotch.Status
	sent         time.Duration
	delay        time.Duration
	load         servermodel.LoadReport
	hasLoad      bool
}

type pool struct {
	idle, open int32
	last       time.Duration
}

type instance struct {
	zone    int
	up      bool
	front   bool   // the front sends clients here
	epoch   uint32 // counts starts
	inbox   []Event
	queued  bool
	pools   []pool
	version uint64 // of its list
	entries map[int32]piernotch.Endpoint
	watch   bool
	asked   time.Duration
	failed  bool
}

type machine struct {
	*servermodel.Server
	spec   scenario.Server
	id     piernotch.BackendID
	wake   time.Duration // when it is looked at next
	open   int           // connections
	slow   float64
	choked bool // it was, at some time
	truth  int  // notices of it so far
}

// World is one day being played.
type World struct {
	day  *scenario.Day
	tier Tier
	cal  calendar
	now  time.Duration

	asks                                     idtable.Table[ask]
	tries                                    idtable.Table[try]
	attempts                                 idtable.Table[attempt]
	probes                                   idtable.Table[probe]
	lastAsk, lastTry, lastAttempt, lastProbe uint64

	insts    []instance
	zoneOf   [][]int // instances that the front uses, by zone
	servers  []machine
	byID     map[piernotch.BackendID]int32
	disc     discovery
	script   []func()
	traffic  traffic
	late     time.Duration // of load reports, further
	spoilt   float64       // share of answers that come spoilt
	pending  []int
	turnAt   time.Duration
	lastTurn time.Duration
	before   time.Duration // the turn before the last one
	batch    []Event

	pcg   rand.PCG
	roll  *rand.Rand
	audit *invariants.Checker
	meter meter
	stop  bool
	err   error
}

// never is the time of a turn that is not planned.
const never = time.Duration(math.MaxInt64)

// drainAfter bounds how long a day runs on after its last arrival.
const drainAfter = 60 * time.Second

// New makes the world of a day. The tier is not closed by it.
func New(day *scenario.Day, tier Tier) (*World, error) {
	w := &World{day: day, tier: tier, byID: map[piernotch.BackendID]int32{}, turnAt: never, lastTurn: -1}
	w.roll = rand.New(&w.pcg)
	for i := range day.Servers {
		if _, err := w.addServer(day.Servers[i]); err != nil {
			return nil, err
		}
	}
	zone := func(i int) int { return w.servers[i].spec.Zone }
	cell := func(i int) int { return w.servers[i].spec.Cell }
	fig := invariants.Limits{
		Slack: day.Rules.Slack, Grace: day.Rules.Grace, FallFor: day.Rules.Fall.For, MaxAttempts: day.Settings.Limits.MaxAttempts,
		HedgedRequests: day.Settings.Limits.HedgedRequests, Zone: zone, Cell: cell,
	}
	fig.Slack += day.Tick
	for _, c := range day.Classes {
		fig.Classes = append(fig.Classes, c.Class)
	}
	w.audit = invariants.New(fig)
	w.meter.begin(day)
	w.insts = make([]instance, len(day.Balancers))
	w.zoneOf = make([][]int, len(day.Zones))
	for i, b := range day.Balancers {
		w.insts[i].zone = b.Zone
	}
	w.disc.begin(w)
	if err := w.traffic.begin(w); err != nil {
		return nil, err
	}
	w.plays()
	for i, b := range day.Balancers {
		w.at(b.Start, func() { w.startInstance(i, true) })
	}
	w.traffic.next(w)
	w.cal.plan(time.Second, atSample, evLook, 0, 0)
	return w, nil
}

// at adds a step to the script.
func (w *World) at(t time.Duration, f func()) {
	w.script = append(w.script, f)
	w.cal.plan(t, atTrouble, evScript, uint64(len(w.script)-1), 0)
}

func (w *World) addServer(spec scenario.Server) (int, error) {
	n := len(w.servers)
	s, err := servermodel.New(spec.Kind, mix(w.day.Seed^mix(uint64(n)+0x5e)), 0)
	if err != nil {
		return 0, err
	}
	// An id tells nothing, and is the same at every balancer.
	id := piernotch.BackendID(mix(w.day.Seed ^ mix(uint64(n)+0x1d)))
	for {
		if _, taken := w.byID[id]; !taken && id != 0 {
			break
		}
		id++
	}
	w.byID[id] = int32(n)
	w.servers = append(w.servers, machine{Server: s, spec: spec, id: id, wake: servermodel.Never, slow: 1})
	return n, nil
}

// mix spreads the bits of x (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Concerns of hashed random numbers.
const (
	ofDelay uint64 = iota + 1
	ofWork
	ofLuck
	ofBackoff
	ofFront
	ofStart
	ofSpread
	ofClient
	ofSpoil
	ofLeave = ofFront + 100
)

// dice returns the random numbers of one concern of a key. They are good until the
// next call.
func (w *World) dice(key, concern uint64) *rand.Rand {
	w.pcg.Seed(key, concern^w.day.Seed)
	return w.roll
}

// delay is a message's time on the way.
func (w *World) delay(base time.Duration, key, concern uint64) time.Duration {
	d := float64(base) * (1 + w.day.Jitter*w.dice(key, concern).Float64())
	return time.Duration(d) / time.Microsecond * time.Microsecond
}

// Run plays the day to its end: until all is answered after the last arrival.
func (w *World) Run() (*Result, error) {
	began := time.Now()
	for !w.stop {
		e, ok := w.cal.take()
		if !ok {
			break
		}
		w.now = e.at
		w.meter.Events++
		w.handle(&e)
		if w.err != nil {
			return nil, fmt.Errorf("seed %d, %.3f s: %w", w.day.Seed, w.now.Seconds(), w.err)
		}
	}
	w.audit.CheckOverdue(w.now + time.Second)
	return w.result(time.Since(began)), nil
}

func (w *World) handle(e *event) {
	switch e.kind {
	case evScript:
		w.script[e.a]()
	case evServer:
		w.serverDue(int(e.b), e.at)
	case evReach:
		w.reach(e.a)
	case evBack:
		w.back(e.a)
	case evCancel:
		w.cancelled(e.a)
	case evTimeout:
		w.timeout(e.a)
	case evProbeReach:
		w.probeReach(e.a)
	case evProbeBack:
		w.probeBack(e.a)
	case evClient:
		w.arrive(e.a)
	case evReply:
		w.reply(e.a)
	case evUnreachable:
		w.unreachable(e.a)
	case evGiveUp:
		w.giveUp(e.a)
	case evOverdue:
		w.overdue(e.a)
	case evLeave:
		w.leave(e.a)
	case evRetry:
		w.newTry(e.a)
	case evAsk:
		w.traffic.arrive(w)
	case evList:
		w.disc.deliver(w, int(e.b), e.a)
	case evNotice:
		w.disc.notice(w, int(e.a))
	case evPublish:
		w.disc.publish(w)
	case evTimer:
		if in := &w.insts[e.b]; in.up && uint32(e.a>>32) == in.epoch {
			w.tell(int(e.b), Event{Kind: Timer, Token: uint32(e.a)})
		}
	case evTurn:
		w.turn()
	case evLook:
		w.look()
	}
}

// look is the once-a-second work: samples, overdue answers, the end of the day.
func (w *World) look() {
	w.audit.CheckOverdue(w.now)
	w.disc.implied(w)
	w.meter.sample(w)
	if w.now >= w.day.Length && (w.asks.Len() == 0 || w.now > w.day.Length+drainAfter) {
		w.stop = true
		return
	}
	w.cal.plan(w.now+time.Second, atSample, evLook, 0, 0)
}

// tell puts an event into an instance's inbox; it is taken at the next tick.
func (w *World) tell(i int, e Event) {
	in := &w.insts[i]
	e.Instance = i
	in.inbox = append(in.inbox, e)
	if in.queued {
		return
	}
	in.queued = true
	w.pending = append(w.pending, i)
	tick := w.day.Tick
	at := (w.now + tick - 1) / tick * tick
	if at <= w.lastTurn {
		at += tick
	}
	if at < w.turnAt {
		w.turnAt = at
		w.cal.plan(at, atTurn, evTurn, 0, 0)
	}
}

// turn lets all balancers that have heard something decide.
func (w *World) turn() {
	if w.now != w.turnAt {
		return
	}
	w.turnAt, w.before, w.lastTurn = never, w.lastTurn, w.now
	slices.Sort(w.pending)
	w.batch = w.batch[:0]
	for _, i := range w.pending {
		in := &w.insts[i]
		w.batch = append(w.batch, in.inbox...)
		in.inbox, in.queued = in.inbox[:0], false
	}
	w.pending = w.pending[:0]
	began := time.Now()
	actions, err := w.tier.Turn(w.now, w.batch)
	w.meter.ModuleTime += time.Since(began)
	if err != nil {
		w.err = err
		return
	}
	for i := range actions {
		if w.act(&actions[i]); w.err != nil {
			return
		}
	}
}

func (w *World) act(a *Action) {
	if a.Instance < 0 || a.Instance >= len(w.insts) || !w.insts[a.Instance].up {
		w.err = fmt.Errorf("balancer %d acts, but does not run", a.Instance)
		return
	}
	in := &w.insts[a.Instance]
	switch a.Kind {
	case Send:
		w.send(a)
	case Cancel:
		w.cancel(a)
	case Refuse:
		w.final(a, invariants.Rejected)
	case Fail:
		w.final(a, invariants.Failed)
	case Probe:
		w.sendProbe(a)
	case Watch, Fetch:
		w.disc.call(w, a.Instance, a.Kind == Watch)
	case SetTimer:
		if !(a.Delay >= 0) {
			w.err = fmt.Errorf("balancer %d: a timer of %v", a.Instance, a.Delay)
			return
		}
		// It comes at a later tick, never in the turn that is being taken.
		w.cal.plan(max(w.now+a.Delay, w.now+1), atTimer, evTimer, uint64(in.epoch)<<32|uint64(a.Token), int32(a.Instance))
	case CloseIdle:
		if s, ok := w.byID[a.Backend]; ok && in.pools != nil {
			p := &in.pools[s]
			w.closeConns(int(s), int(p.idle))
			p.open -= p.idle
			p.idle = 0
		}
	}
}

var errUnknownServer = errors.New("names a server that was in none of its lists")

// ---- clients

// newTry has an ask's client send its request, for the first time or again.
func (w *World) newTry(askID uint64) {
	a := w.asks.Get(askID)
	if a == nil {
		return
	}
	w.lastTry++
	id := w.lastTry
	n := a.tries
	a.tries++
	c := &w.day.Classes[a.class]
	wait := time.Duration(float64(c.Deadline) * w.day.Clients.TryShare).Round(time.Microsecond)
	key := mix(a.key + uint64(n))
	t := w.tries.Put(id)
	*t = try{ask: askID, n: int8(min(n, 100)), deadline: min(w.now+wait, a.until)}
	w.meter.Tries++
	inst := w.choose(a.zone, key)
	delay := w.delay(w.day.Client, key, ofClient)
	if inst < 0 {
		t.inst = -1
		w.cal.plan(w.now+2*delay, atMessage, evUnreachable, id, 0)
		return
	}
	t.inst = int32(inst)
	w.cal.plan(w.now+delay, atArrival, evClient, id, 0)
	w.cal.plan(t.deadline, atTimeout, evGiveUp, id, 0)
	if a.impatient < w.day.Clients.Impatient {
		part := w.dice(key, ofLeave).Float64()
		w.cal.plan(w.now+time.Duration(part*float64(t.deadline-w.now)), atTimeout, evLeave, id, 0)
	}
}

// choose is the front: one of the zone's balancers by chance, or of any zone where
// it has none.
func (w *World) choose(zone int, key uint64) int {
	list := w.zoneOf[zone]
	u := w.dice(key, ofFront).Float64()
	if len(list) == 0 {
		n := 0
		for _, l := range w.zoneOf {
			n += len(l)
		}
		if n == 0 {
			return -1
		}
		at := int(u * float64(n))
		for _, l := range w.zoneOf {
			if at < len(l) {
				return l[at]
			}
			at -= len(l)
		}
	}
	return list[int(u*float64(len(list)))]
}

// arrive brings a try to its balancer.
func (w *World) arrive(id uint64) {
	t := w.tries.Get(id)
	if t == nil {
		return
	}
	in := &w.insts[t.inst]
	a := w.asks.Get(t.ask)
	if !in.up || a == nil {
		w.cal.plan(w.now+w.day.Client, atMessage, evUnreachable, id, 0)
		return
	}
	t.taken = true
	w.audit.RequestReceived(w.now, int(t.inst), id, a.class, t.deadline)
	w.tell(int(t.inst), Event{Kind: Demand, Retry: t.n > 0 && w.day.Clients.MarksRetry, Request: piernotch.Request{
		ID: piernotch.RequestID(id), Class: a.class, Key: a.path, Deadline: t.deadline, CostHint: a.hint,
	}})
}

// final takes a balancer's own final answer.
func (w *World) final(act *Action, answer invariants.Result) {
	t := w.tries.Get(uint64(act.ID))
	if t == nil || t.closed || int(t.inst) != act.Instance {
		return // what is over already is ignored
	}
	t.advice, t.own = act.Delay, true
	w.answer(uint64(act.ID), t, answer)
}

// answer sends a final answer on its way to the client.
func (w *World) answer(id uint64, t *try, answer invariants.Result) {
	w.audit.RequestAnswered(w.now, id, answer)
	t.closed, t.closedAt, t.answer = true, w.now, answer
	w.cal.plan(w.now+w.delay(w.day.Client, mix(id), ofClient), atMessage, evReply, id, 0)
}

// reply brings a final answer to the client.
func (w *World) reply(id uint64) {
	t := w.tries.Get(id)
	if t == nil || t.settled {
		return
	}
	t.settled = true
	w.settle(t, t.answer, t.lost)
	w.releaseTry(id)
}

// unreachable has a client find that no balancer takes its request.
func (w *World) unreachable(id uint64) {
	t := w.tries.Get(id)
	if t == nil || t.settled {
		return
	}
	t.closed, t.closedAt, t.settled = true, w.now, true
	t.expired = t.expired || t.inst < 0
	w.meter.Unreachable++
	w.settle(t, invariants.Failed, true)
	w.releaseTry(id)
}

// giveUp ends a client's wait for one try.
func (w *World) giveUp(id uint64) {
	t := w.tries.Get(id)
	if t == nil {
		return
	}
	t.expired = true
	if t.taken && !t.closed {
		w.cal.plan(w.now+overdueAfter, atTimeout, evOverdue, id, 0)
	}
	if !t.settled {
		t.settled = true
		w.meter.GivenUp++
		w.settle(t, invariants.Failed, false)
	}
	w.releaseTry(id)
}

// overdueAfter is when a balancer that owes an answer is told that nobody waits any
// more. The rule is long broken by then.
const overdueAfter = time.Second

func (w *World) overdue(id uint64) {
	t := w.tries.Get(id)
	if t == nil || t.closed {
		return
	}
	w.audit.CheckOverdue(w.now)
	t.closed, t.closedAt = true, w.now
	w.tell(int(t.inst), Event{Kind: Gone, ID: piernotch.RequestID(id)})
	w.releaseTry(id)
}

// leave has a client go away early, and say so by closing.
func (w *World) leave(id uint64) {
	t := w.tries.Get(id)
	if t == nil || t.settled || t.closed || !t.taken {
		return
	}
	t.settled, t.closed, t.closedAt = true, true, w.now
	w.meter.Left++
	w.audit.RequestExcused(w.now, id)
	w.tell(int(t.inst), Event{Kind: Gone, ID: piernotch.RequestID(id)})
	w.finishAsk(t.ask, false)
	w.releaseTry(id)
}

// settle has the client take how a try ended: it is content, tries again or gives up.
func (w *World) settle(t *try, answer invariants.Result, unreached bool) {
	askID := t.ask
	a := w.asks.Get(askID)
	if a == nil {
		return
	}
	if answer == invariants.Served {
		w.finishAsk(askID, true)
		return
	}
	w.meter.tally.Ended(a.first, answer == invariants.Rejected)
	k := &w.day.Classes[a.class]
	again := k.RetrySafety == piernotch.Idempotent || answer == invariants.Rejected || unreached ||
		k.RetrySafety == piernotch.IdempotencyKey && k.DedupScope == piernotch.DedupEverywhere && w.now < a.first+k.DedupWindow
	if !again || a.tries > a.most {
		w.finishAsk(askID, false)
		return
	}
	dice := w.dice(mix(a.key+uint64(a.tries)), ofBackoff)
	wait := time.Duration(float64(w.day.Clients.Backoff) * math.Exp2(float64(a.tries-1)) * (0.5 + dice.Float64()))
	if t.advice > 0 && w.day.Settings.Limits.RetryAfter && dice.Float64() < w.day.Clients.Honour {
		wait = max(wait, min(t.advice, w.day.Settings.Limits.MaxRetryAfter))
	}
	wait = wait / time.Microsecond * time.Microsecond
	if w.now+wait >= a.until {
		w.finishAsk(askID, false)
		return
	}
	w.cal.plan(w.now+wait, atArrival, evRetry, askID, 0)
}

// finishAsk ends what a client wanted.
func (w *World) finishAsk(id uint64, served bool) {
	if a := w.asks.Get(id); a != nil {
		w.meter.finish(w, a, served)
		w.asks.Delete(id)
	}
}

func (w *World) releaseTry(id uint64) {
	if t := w.tries.Get(id); t != nil && t.settled && t.closed && t.expired && t.out == 0 {
		w.tries.Delete(id)
	}
}

// ---- attempts

func (w *World) send(act *Action) {
	id := uint64(act.ID)
	s, ok := w.byID[act.Backend]
	if !ok {
		w.err = fmt.Errorf("balancer %d %w: %d", act.Instance, errUnknownServer, act.Backend)
		return
	}
	in := &w.insts[act.Instance]
	t := w.tries.Get(id)
	if t == nil || t.closed || int(t.inst) != act.Instance {
		// Told of the end in this very turn, a balancer may not have read it yet.
		if t == nil || t.own || t.closedAt <= w.before {
			w.audit.AttemptSent(w.now, act.Instance, id, int(s))
		}
		w.moot(act, t)
		return
	}
	if int(t.attempts) >= min(w.day.Settings.Limits.MaxAttempts, mostShots) || w.now >= t.deadline {
		w.moot(act, t)
		return
	}
	w.audit.AttemptSent(w.now, act.Instance, id, int(s))
	ask := w.asks.Get(t.ask)
	if ask == nil { // the client is gone for good, but the balancer was not told
		ask = &gone
	}
	w.lastAttempt++
	aid := w.lastAttempt
	n := int(t.attempts)
	t.shots[n] = aid
	t.attempts++
	t.out++
	a := w.attempts.Put(aid)
	*a = attempt{
		try: id, key: mix(mix(ask.key+uint64(t.n)) + uint64(n) + 77), inst: int32(act.Instance), server: s, epoch: in.epoch, n: int8(n), sent: w.now,
	}
	zone := w.servers[s].spec.Zone
	a.delay = w.delay(w.day.Delay[in.zone][zone], a.key, ofDelay)
	a.work = ask.work
	if cv := w.day.Classes[ask.class].AttemptCV; cv > 0 {
		sigma := math.Sqrt(math.Log1p(cv * cv))
		a.work *= math.Exp(sigma*w.dice(a.key, ofWork).NormFloat64() - sigma*sigma/2)
	}
	w.meter.sent(w, n, in.zone != zone)
	wait := t.deadline - w.now
	if act.Delay != 0 {
		wait = min(wait, max(act.Delay, 0))
	}
	w.cal.plan(w.now+wait, atTimeout, evTimeout, aid, 0)
	w.connect(in, aid, a)
}

// moot says that an attempt was not sent.
func (w *World) moot(act *Action, t *try) {
	n := 0
	if t != nil {
		n = int(t.attempts)
	}
	w.meter.Outcomes[piernotch.NotSent]++
	w.tell(act.Instance, Event{Kind: Verdict, Outcome: piernotch.Outcome{
		ID: act.ID, Attempt: n, Backend: act.Backend, Status: piernotch.NotSent, Closed: t == nil || t.closed,
	}})
}

var gone = ask{hint: math.NaN()}

// connect finds a connection for an attempt or opens one, and sends it off.
func (w *World) connect(in *instance, aid uint64, a *attempt) {
	if in.pools == nil {
		in.pools = make([]pool, len(w.servers))
	}
	p := &in.pools[a.server]
	if p.idle > 0 && w.now-p.last > w.day.Rules.KeepAlive {
		w.closeConns(int(a.server), int(p.idle))
		p.open -= p.idle
		p.idle = 0
	}
	if p.idle > 0 {
		p.idle--
		a.travels, a.reach = true, w.now+a.delay
		w.cal.plan(a.reach, atMessage, evReach, aid, 0)
		return
	}
	a.fresh = true
	m := &w.servers[a.server]
	if most := m.spec.Kind.Conn.Most; most > 0 && m.open >= most {
		w.meter.TableFull++
		a.reach = never
		w.outcomeAt(aid, a, piernotch.ConnectFailed, w.now+w.day.Rules.Dial)
		return
	}
	a.travels = true
	p.open++
	m.open++
	m.SetTable(w.now, m.open)
	w.meter.Opened++
	a.reach = w.now + a.delay + 2*time.Duration(m.spec.Handshake)*a.delay
	w.cal.plan(a.reach, atMessage, evReach, aid, 0)
}

func (w *World) closeConns(server, n int) {
	if n != 0 {
		m := &w.servers[server]
		m.open -= n
		m.SetTable(w.now, m.open)
	}
}

// outcomeAt has an attempt's balancer learn its outcome at a time.
func (w *World) outcomeAt(aid uint64, a *attempt, status piernotch.Status, at time.Duration) {
	if a.coming || a.ended {
		return
	}
	a.coming, a.status = true, status
	w.cal.plan(at, atMessage, evBack, aid, 0)
}

// reach brings an attempt to its server.
func (w *World) reach(aid uint64) {
	a := w.attempts.Get(aid)
	if a == nil {
		return
	}
	a.travels = false
	if a.ended { // called off before it was written
		w.releaseAttempt(aid, a)
		return
	}
	m := &w.servers[a.server]
	t := w.tries.Get(a.try)
	if t == nil {
		return
	}
	ask := w.asks.Get(t.ask)
	if ask == nil {
		ask = &gone
	}
	if a.fresh {
		m.Charge(w.now, m.spec.Kind.Conn.Handshake)
	}
	cold := m.Cold(w.now)
	if cold {
		w.audit.SlowStartWork(w.now, int(a.inst), int(a.server), m.Started(), a.work)
	}
	entry, lost := m.Arrive(w.now, servermodel.Job{ID: aid, Work: a.work, Key: ask.path, Expires: t.deadline, Luck: w.dice(a.key, ofLuck).Float64()})
	if m.State() == servermodel.Collapsed && cold {
		w.audit.ServerCollapsed(w.now, int(a.server))
		w.meter.Falls++
		w.ended(a.server, lost)
		w.dropConns(int(a.server))
	}
	switch entry {
	case servermodel.Accepted:
		a.holds = true
		w.meter.enter(w)
		a.reach = w.now
		w.audit.AttemptAccepted(a.try, int(a.n))
		w.schedule(int(a.server))
	case servermodel.Rejected:
		w.meter.TurnedAway++
		a.load, a.hasLoad = m.Report(w.now, w.late)
		w.outcomeAt(aid, a, piernotch.Full, w.now+a.delay)
	case servermodel.Refused:
		status := piernotch.ConnectFailed
		if !a.fresh { // it was written to a connection that is no more
			status = piernotch.Reset
		}
		w.outcomeAt(aid, a, status, w.now+a.delay)
	case servermodel.Unheard:
		if a.fresh {
			w.outcomeAt(aid, a, piernotch.ConnectFailed, max(a.sent+w.day.Rules.Dial, w.now))
		}
	}
}

// schedule plans when a server is looked at next, unless that is planned already.
func (w *World) schedule(s int) {
	m := &w.servers[s]
	if next := m.Next(); next < m.wake {
		m.wake = max(next, w.now)
		w.cal.plan(m.wake, atServer, evServer, 0, int32(s))
	}
}

func (w *World) serverDue(s int, at time.Duration) {
	m := &w.servers[s]
	if m.wake != at {
		return
	}
	m.wake = servermodel.Never
	w.ended(int32(s), m.Advance(w.now))
	m.choked = m.choked || m.Choked()
	w.schedule(s)
}

// ended sends the answers of what a server has ended.
func (w *World) ended(s int32, dones []servermodel.Completion) {
	m := &w.servers[s]
	for _, d := range dones {
		a := w.attempts.Get(d.ID)
		if a == nil {
			continue
		}
		w.meter.exit(w, a)
		a.holds, a.spent = false, d.Spent
		if d.Started {
			w.audit.AttemptExecuted(w.now, a.try, int(a.n))
		}
		if a.ended {
			w.releaseAttempt(d.ID, a)
			continue
		}
		a.load, a.hasLoad = m.Report(w.now, w.late)
		status := piernotch.OK
		if d.Ending == servermodel.Answered && w.dice(a.key, ofSpoil).Float64() < w.spoilt {
			d.Ending = servermodel.Erred
		}
		switch d.Ending {
		case servermodel.Erred:
			status = piernotch.Error
		case servermodel.Expired:
			status = piernotch.Full
		case servermodel.Reset:
			status, a.hasLoad = piernotch.Reset, false
		}
		w.outcomeAt(d.ID, a, status, w.now+a.delay)
	}
}

// back brings an outcome to the balancer.
func (w *World) back(aid uint64) {
	a := w.attempts.Get(aid)
	if a == nil {
		return
	}
	a.coming = false
	if a.ended { // too late
		w.releaseAttempt(aid, a)
		return
	}
	w.end(aid, a, a.status)
}

func (w *World) timeout(aid uint64) {
	a := w.attempts.Get(aid)
	if a == nil || a.ended {
		return
	}
	status := piernotch.Timeout
	if a.fresh && w.now < a.reach-a.delay { // the connection has not come up
		status = piernotch.ConnectFailed
	}
	w.end(aid, a, status)
}

func (w *World) cancel(act *Action) {
	t := w.tries.Get(uint64(act.ID))
	if t == nil || act.Attempt < 0 || act.Attempt >= int(t.attempts) {
		return
	}
	aid := t.shots[act.Attempt]
	if a := w.attempts.Get(aid); a != nil && !a.ended {
		w.end(aid, a, piernotch.Cancelled)
	}
}

// end closes an attempt for its balancer and says so.
func (w *World) end(aid uint64, a *attempt, status piernotch.Status) {
	a.ended, a.status = true, status
	in := &w.insts[a.inst]
	if a.epoch == in.epoch && in.pools != nil {
		p := &in.pools[a.server]
		kept := status == piernotch.OK || status == piernotch.Error || status == piernotch.Full
		switch {
		case kept && p.open > p.idle:
			p.idle++
			p.last = w.now
		case p.open > p.idle:
			p.open--
			w.closeConns(int(a.server), 1)
		}
	}
	w.audit.AttemptCompleted(a.try, int(a.n), status.NeverExecuted())
	t := w.tries.Get(a.try)
	if t != nil {
		t.out--
		if status == piernotch.OK && !t.closed {
			w.meter.ServedWork += a.spent
			w.answer(a.try, t, invariants.Served)
		}
		if in.up && a.epoch == in.epoch {
			e := Event{Kind: Verdict, Outcome: piernotch.Outcome{
				ID: piernotch.RequestID(a.try), Attempt: int(a.n), Backend: w.servers[a.server].id, Status: status,
				Latency: w.now - a.sent, Closed: t.closed,
			}}
			if status == piernotch.OK || status == piernotch.Error || status == piernotch.Full {
				e.Load, e.HasLoad = a.load, a.hasLoad
			}
			w.tell(int(a.inst), e)
		}
		w.releaseTry(a.try)
	}
	w.meter.Outcomes[status]++
	if status == piernotch.Timeout || status == piernotch.Cancelled {
		w.cal.plan(w.now+a.delay, atMessage, evCancel, aid, 0)
		return
	}
	w.releaseAttempt(aid, a)
}

// cancelled brings the end of a wait to the server.
func (w *World) cancelled(aid uint64) {
	a := w.attempts.Get(aid)
	if a == nil {
		return
	}
	if a.holds {
		gone, begun, spent := w.servers[a.server].Cancel(w.now, aid)
		if begun {
			w.audit.AttemptExecuted(w.now, a.try, int(a.n))
		}
		if gone {
			w.meter.exit(w, a)
			a.holds, a.spent = false, spent
		}
		w.schedule(int(a.server))
	}
	w.releaseAttempt(aid, a)
}

// releaseAttempt forgets an attempt once neither side has it any more.
func (w *World) releaseAttempt(aid uint64, a *attempt) {
	if a.ended && !a.holds && !a.coming && !a.travels {
		w.attempts.Delete(aid)
	}
}

// dropConns closes all connections to a server whose process is gone.
func (w *World) dropConns(s int) {
	for i := range w.insts {
		if p := w.insts[i].pools; p != nil {
			p[s] = pool{}
		}
	}
	w.servers[s].open = 0
}

// ---- probes

func (w *World) sendProbe(act *Action) {
	s, ok := w.byID[act.Backend]
	if !ok {
		w.err = fmt.Errorf("balancer %d %w: %d", act.Instance, errUnknownServer, act.Backend)
		return
	}
	in := &w.insts[act.Instance]
	w.lastProbe++
	p := w.probes.Put(w.lastProbe)
	key := mix(uint64(act.Instance)<<40 ^ uint64(w.now))
	*p = probe{inst: int32(act.Instance), server: s, epoch: in.epoch, sent: w.now}
	p.delay = w.delay(w.day.Delay[in.zone][w.servers[s].spec.Zone], key, ofDelay)
	w.meter.Probes++
	w.cal.plan(w.now+p.delay, atMessage, evProbeReach, w.lastProbe, 0)
}

func (w *World) probeReach(id uint64) {
	p := w.probes.Get(id)
	m := &w.servers[p.server]
	back := w.now + p.delay
	switch m.State() {
	case servermodel.Up:
		m.Charge(w.now, m.spec.Kind.ProbeWork)
		p.load, p.hasLoad = m.Report(w.now, w.late)
	case servermodel.Draining:
		p.status = piernotch.Full
	case servermodel.Silent:
		p.status, back = piernotch.Timeout, p.sent+w.day.Rules.Probe
	default:
		p.status = piernotch.ConnectFailed
	}
	w.cal.plan(back, atMessage, evProbeBack, id, 0)
}

func (w *World) probeBack(id uint64) {
	p := w.probes.Get(id)
	if in := &w.insts[p.inst]; in.up && in.epoch == p.epoch {
		w.tell(int(p.inst), Event{
			Kind: Probed, Backend: w.servers[p.server].id, Status: p.status, Took: w.now - p.sent, Load: p.load, HasLoad: p.hasLoad,
		})
	}
	w.probes.Delete(id)
}

// ---- instances

// startInstance begins a balancer's process; the first time it knows the whole list,
// later what its forerunner knew.
func (w *World) startInstance(i int, first bool) {
	in := &w.insts[i]
	in.up, in.watch, in.failed, in.asked = true, w.day.Discovery.Push, false, w.now
	in.epoch++
	set := w.day.Settings
	set.Zone = in.zone
	w.tell(i, Event{Kind: Start, Seed: mix(w.day.Seed ^ mix(uint64(i)<<20^uint64(in.epoch)+ofStart)), Settings: &set})
	if first {
		w.disc.whole(w, i)
	}
	w.audit.BalancerRestarted(i)
	w.disc.cached(w, i)
	w.admit(i, true)
}

// admit has the front use an instance, or no longer.
func (w *World) admit(i int, yes bool) {
	in := &w.insts[i]
	if in.front == yes {
		return
	}
	in.front = yes
	list := &w.zoneOf[in.zone]
	if yes {
		*list = append(*list, i)
		slices.SortFunc(*list, cmp.Compare[int])
	} else {
		*list = slices.DeleteFunc(*list, func(j int) bool { return j == i })
	}
}

// killInstance ends a balancer's process at once: what it holds is lost to it, and
// its clients find their connections broken.
func (w *World) killInstance(i int) {
	in := &w.insts[i]
	if !in.up {
		return
	}
	in.up, in.watch = false, false
	in.inbox = in.inbox[:0]
	w.tell(i, Event{Kind: Stop})
	var open []uint64
	w.tries.Each(func(id uint64, t *try) {
		if int(t.inst) == i && t.taken {
			open = append(open, id)
		}
	})
	slices.Sort(open)
	for _, id := range open {
		t := w.tries.Get(id)
		for n := range int(t.attempts) {
			aid := t.shots[n]
			if a := w.attempts.Get(aid); a != nil && !a.ended {
				a.ended = true
				t.out--
				w.audit.AttemptCompleted(id, n, false)
				w.cal.plan(w.now+a.delay, atMessage, evCancel, aid, 0)
			}
		}
		if !t.closed {
			w.audit.RequestExcused(w.now, id)
			t.closed, t.closedAt, t.answer, t.lost = true, w.now, invariants.Failed, true
			w.cal.plan(w.now+w.day.Client, atMessage, evReply, id, 0)
		}
		w.releaseTry(id)
	}
	for s := range in.pools {
		w.closeConns(s, int(in.pools[s].open))
	}
	in.pools = nil
	in.epoch++
}
