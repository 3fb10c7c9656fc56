// The decision module. The interface it implements and uses (Settings, events,
// Host) is in piernotch.go, the records it keeps, its own included, in state.go, running
// rates in estimate.go. It reads in the order of a request's life: set-up, arrival, choosing
// a backend, the guard and the send, outcomes, health, the sweep, and the list.

package piernotch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Figures of the module's own. None belongs to a deployment: each is a share, a
// count or a smoothing factor; times and rates come from Settings or observation.
const (
	smoothing     = 1.0 / 16 // weight of one outcome in a running mean over a group
	backendWeight = 1.0 / 6  // the same for one backend, which sees fewer outcomes
	budgetShare   = 0.15     // retries and hedges, as a share of requests
	controlGain   = 1.0 / 4  // change of shedding in one shortest aim while all is late
	fit           = 0.9      // an answer is expected within this share of the time left
	spillers      = 3.0      // proxies of other zones that spill to one backend, or
	spillShare    = 0.1      // such a share of all, if that is more
	crowdedAt     = 6.0      // a backend that holds so many for each level of depth has no room
	crowdedBeyond = 10.0     // and so many where nothing else has any
	crowdedKey    = 8.0      // and so many for a request whose key it may know
	heldAim       = 1.5      // what a backend should hold, on the mean of its group
	steerTime     = 0.35     // seconds in which the limit on a group changes by e at the most
	fairPart      = 0.8      // of the mean share that is sent, a band gets at least, if it waits
	ownBounds     = 4.0      // so many proxies in a zone need no limit but those on their own
	coldSpeed     = 3.0      // a cold backend may get so many times its share: a fall is a little further
	coldGrowth    = 2.0      // and so many times what it last answered, if it held next to nothing
	coldWindows   = 8        // spans, within that of the rule, for which a send to it is drawn
	idleHolds     = 1.5      // requests, which are next to nothing
	wayAnswers    = 64       // answers that tell how long the way to a zone is
	wayShare      = 0.75     // the most of what is out that counts as on its way
	spurned       = 0.3      // a class that fails so often where others do not keeps away
	deviations    = 4.0      // silence counts from this many mean deviations on, as in TCP
	sweepsPerAim  = 16.0     // sweeps within the shortest aim
	passSize      = 256      // backends that a sweep looks at without a thought
)

const sweepToken = 1

// New returns a Balancer, or an error that names the setting it cannot use.
func New(s Settings, seed uint64, host Host) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		set: s, host: host, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), largeShare: 0.5,
		backends: map[BackendID]*backend{}, excluded: map[BackendID]bool{},
		byID: map[RequestID]*request{}, paths: map[int]*path{},
	}
	if b.many() {
		b.draw = b.rng.Uint64()
	}
	for i := range b.groups { // proxies that start together must not walk the fleet in step
		b.groups[i].limit = math.Inf(1)
		b.groups[i].next = [2]int{b.rng.IntN(math.MaxInt32), b.rng.IntN(math.MaxInt32)}
	}
	b.quota = make([]bucket, len(s.Tenants))
	b.configure()
	return b, nil
}

// makeBands makes two bands of each class: within its tenants' shares and beyond them.
func (b *Balancer) makeBands() {
	b.bands = nil
	for _, c := range b.set.Classes {
		b.bands = append(b.bands, band{worth: c.PriorityWeight}, band{worth: c.PriorityWeight * b.set.OverQuotaWeight})
	}
	b.value()
}

// value is what each band is worth for its work. Where worth counts by request, light ones go first.
func (b *Balancer) value() {
	for i := range b.bands {
		b.bands[i].value = b.bands[i].worth
		if work := b.unhinted(i / 2); b.set.WeightPerRequest && work > 0 {
			b.bands[i].value /= work
		}
	}
}

// begin sets the sweep going at the first event.
func (b *Balancer) begin(now time.Duration) {
	if b.started {
		return
	}
	b.started = true
	b.sent.since, b.groups[0].sent.since, b.groups[1].sent.since = now, now, now
	b.watchAt = now + jitter(b.rng, b.watchGap)
	b.host.SetTimer(b.sweep, sweepToken)
}

// HandleRequest takes a client's request, which is owed one final answer from here on.
func (b *Balancer) HandleRequest(now time.Duration, in Request) {
	b.begin(now)
	if in.Class < 0 || in.Class >= len(b.set.Classes) || b.byID[in.ID] != nil {
		return
	}
	r := b.newRequest(now, in)
	b.observe(r)
	b.budget = min(b.budget+budgetShare, float64(b.set.Limits.MaxAttempts)/budgetShare)
	if b.rng.Float64() < b.bands[r.band].refused {
		b.finish(r)
		return
	}
	if !b.dispatch(now, r) {
		b.hold(now, r)
	}
}

// hold lets a request wait for the next sweep, unless that would come too late.
func (b *Balancer) hold(now time.Duration, r *request) {
	needs := min(time.Duration(r.work*b.pace*float64(time.Millisecond)), r.class.LatencyObjective/2)
	if now+2*b.sweep >= min(b.lastMoment(r)-needs, r.patience) || b.crowdedOut(now, r) {
		b.finish(r)
	}
}

func (b *Balancer) newRequest(now time.Duration, in Request) *request {
	var r *request
	if n := len(b.spare); n > 0 {
		r, b.spare = b.spare[n-1], b.spare[:n-1]
	} else {
		r = &request{}
	}
	c := &b.set.Classes[in.Class]
	*r = request{Request: in, class: c, at: len(b.open), tries: r.tries[:0]}
	r.aim = min(now+c.LatencyObjective, r.Deadline)
	r.patience = now + (r.Deadline-now)/2
	r.lane, r.work = 0, in.CostHint
	if !r.hinted() {
		r.work = b.unhinted(in.Class)
	} else if b.hints > 0 && in.CostHint > b.median {
		r.lane = 1
	}
	r.band = 2 * in.Class
	if b.beyondQuota(now, in.Tenant) {
		r.band++
	}
	b.open = append(b.open, r)
	b.byID[in.ID] = r
	return r
}

// beyondQuota takes one request from the tenant's share of this proxy.
func (b *Balancer) beyondQuota(now time.Duration, tenant int) bool {
	if tenant < 0 || tenant >= len(b.quota) || b.set.Tenants[tenant].QuotaPerSec == 0 {
		return false
	}
	return !b.quota[tenant].take(now, b.set.Tenants[tenant].QuotaPerSec/float64(b.set.BalancerCount))
}

// dispatch sends r to a backend, or leaves it waiting for room.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if b.dirty {
		b.regroup(now)
	}
	for _, level := range b.levels {
		if to := b.pick(now, r, &b.groups[level.away], level.depth); to != nil {
			b.send(now, r, to)
			return true
		}
	}
	if to := b.quickest(now, r); to != nil {
		b.send(now, r, to)
		return true
	}
	return false
}

// quickest is off the ordinary path: no backend with room is likely to answer in
// time, so the request goes to the one that is expected to be done first.
func (b *Balancer) quickest(now time.Duration, r *request) *backend {
	var best *backend
	for _, level := range b.levels[1:] {
		for _, to := range b.groups[level.away].members {
			if b.load(to) >= level.depth || b.crowded(now, to, crowdedBeyond) || b.foreign(to) ||
				b.spurns(now, r, to) || b.many() && !b.fits(now, r, to) || r.tried(to) || !b.may(now, r, to) {
				continue
			}
			if best == nil || b.expected(now, r, to) < b.expected(now, r, best) {
				best = to
			}
		}
	}
	return best
}

// spurns tells whether the backend answers other classes but leaves this one
// without, but for a request now and then that tries it again.
func (b *Balancer) spurns(now time.Duration, r *request, to *backend) bool {
	own, least := to.failing[r.Class], 1.0
	for class, share := range to.failing {
		if class != r.Class {
			least = min(least, share)
		}
	}
	return own > spurned && own > 3*least && now < to.sent[r.Class]+4*r.class.LatencyObjective
}

// fits tells whether the backend is likely to answer in time. A heavy request on
// a slow backend is late for certain, and so is a light one behind it.
func (b *Balancer) fits(now time.Duration, r *request, to *backend) bool {
	return !b.spurns(now, r, to) && b.expected(now, r, to) <= fit*float64(r.aim-now)/float64(time.Millisecond)
}

// pick takes the next backend of the request's lane, or else of the other lane.
func (b *Balancer) pick(now time.Duration, r *request, g *group, depth float64) *backend {
	if len(g.members) == 0 {
		return nil
	}
	for _, lane := range [2]int{r.lane, 1 - r.lane} {
		if to := b.keyTurn(now, r, g, lane, depth); to != nil {
			return to
		}
		if to := b.turn(now, r, g, lane, depth); to != nil {
			return to
		}
	}
	return nil
}

// turn is round robin in one lane. A backend of less weight is passed over on some of its
// turns, and one that holds its bound on all of them: nobody's on the first, nobody's later.
func (b *Balancer) turn(now time.Duration, r *request, g *group, lane int, depth float64) *backend {
	members := g.lane(lane)
	var fallback *backend
	for i := range 3 * len(members) {
		g.next[lane] = (g.next[lane] + 1) % len(members)
		to := members[g.next[lane]]
		to.credit = min(to.credit+g.laneWeight(lane, g.next[lane])/g.most[lane], 1)
		if i >= len(members) && fallback == nil || b.load(to) >= depth || b.foreign(to) ||
			b.crowded(now, to, crowdedAt*depth) || !b.fits(now, r, to) || !b.may(now, r, to) || r.tried(to) {
			continue
		}
		if to.credit < 1 {
			if fallback == nil {
				fallback = to
			}
			continue
		}
		to.credit--
		return to
	}
	return fallback
}

// foreign tells whether a backend elsewhere is left to the spill of other proxies:
// the bounds of all of them together must not crowd it.
func (b *Balancer) foreign(to *backend) bool {
	return to.away == 1 && len(b.groups[0].members) > 0 && to.rank*float64(b.set.BalancerCount-1) > b.spillers
}

// keyTurn is the turn of a request whose key makes it cheap where it was lately
// met: each key has a backend of the lane that all proxies find alike, from the
// ids alone, and takes its turn there unless that one is slow or holds its bound.
func (b *Balancer) keyTurn(now time.Duration, r *request, g *group, lane int, depth float64) *backend {
	if !b.set.KeyAffinity || r.Key == 0 {
		return nil
	}
	var best *backend
	var most uint64
	for _, to := range g.lane(lane) {
		if h := mix(r.Key ^ to.salt); best == nil || h > most {
			best, most = to, h
		}
	}
	if b.load(best) >= depth || b.foreign(best) || best.latency > 2*g.latency || r.tried(best) {
		return nil
	}
	if b.crowded(now, best, crowdedKey) || !b.fits(now, r, best) || !b.may(now, r, best) {
		return nil
	}
	return best
}

// lane returns the backends of a lane. The one at the split point is in both.
func (g *group) lane(lane int) []*backend {
	if lane == 1 {
		return g.members[:g.split+1]
	}
	return g.members[g.split:]
}

// laneWeight is the weight of a lane's backend i for that lane.
func (g *group) laneWeight(lane, i int) float64 {
	switch {
	case lane == 0 && i == 0:
		return g.members[g.split].weight * (1 - g.heavy)
	case lane == 1 && i == g.split:
		return g.members[i].weight * g.heavy
	case lane == 1:
		return g.members[i].weight
	}
	return g.members[g.split+i].weight
}

// may is the guard: every send passes it, and it alone knows the rules.
func (b *Balancer) may(now time.Duration, r *request, to *backend) bool {
	if r.final || r.stream || now >= r.Deadline || len(r.tries) >= b.set.Limits.MaxAttempts {
		return false
	}
	// Draining and gone backends get nothing from the moment this proxy knows.
	if !to.usable() || r.out > 0 && (!b.set.Limits.HedgedRequests || r.class.RetrySafety == NonIdempotent) {
		return false
	}
	if first := r.firstRun(); first != nil && !r.repeatable(now, first, to) {
		return false
	}
	if to.ejected > 0 && (to.trial || !b.triable(now, to)) {
		return false
	}
	if to.coldSince < 0 {
		return !b.groups[to.away].full()
	}
	// A cold backend is paced by itself, whatever the state of the others. Many
	// proxies at once sending it one heavy request each would push it over, and so
	// would those of other zones, which it does not need if it has proxies of its own.
	if r.work > b.meanWork || to.away == 1 && len(b.groups[0].members) > 0 && !b.sparse() {
		return false
	}
	// One request at a time, so that it is never sent more than it gets done.
	return now >= to.coldNext && to.inflight == 0 && (b.window == 0 || b.drawn(now, to))
}

// drawn tells whether a cold backend may have a request of this proxy now. A share of less
// than one within the rule's span means that most proxies send none: each draws for every
// window, and what it does not use is void. Had all the right to one and kept it until they
// were busy, they would send it at once. Windows of proxies and backends are out of step.
func (b *Balancer) drawn(now time.Duration, to *backend) bool {
	at := uint64(float64(now)/float64(b.window) + to.rank)
	chance := float64(mix(mix(at^b.draw)^to.salt)) / math.MaxUint64
	return chance*float64(b.coldGap(now, to)) <= float64(b.window)
}

// many tells whether there are too many proxies for the bounds on their own to do.
func (b *Balancer) many() bool {
	return float64(b.set.BalancerCount) > ownBounds*float64(len(b.set.Zones))
}

// sparse tells whether there are zones without a proxy: a cold backend there would not get
// anything from anyone until it counts as warm.
func (b *Balancer) sparse() bool { return b.set.BalancerCount < len(b.set.Zones) }

// triable tells whether an ejected backend may have its trial: paused and, if allowed, probed.
func (b *Balancer) triable(now time.Duration, to *backend) bool {
	return now >= to.retryAt && (to.probed || !b.set.Limits.HealthChecks)
}

// firstRun is the first attempt that may have run, or nil.
func (r *request) firstRun() *attempt {
	for i := range r.tries {
		if t := &r.tries[i]; t.mayHaveRun() {
			return t
		}
	}
	return nil
}

// AttemptAllowed tells whether an attempt may still be written now that it has a connection: meanwhile
// its request may have been answered, its backend told to leave, its window for repeats have closed.
func (b *Balancer) AttemptAllowed(now time.Duration, id RequestID, try int) bool {
	r := b.byID[id]
	if r == nil || r.final || try < 0 || try >= len(r.tries) || now >= r.Deadline {
		return false
	}
	for i := range r.tries { // the others, later ones too: what waited for long is the repeat
		if t := &r.tries[i]; i != try && t.mayHaveRun() && !r.repeatable(now, t, r.tries[try].to) {
			return false
		}
	}
	return r.tries[try].to.usable()
}

// repeatable tells whether a request that may have run may also go to another. A repeat has to be
// there within the window; half of the quickest answer from there is time enough for the way.
func (r *request) repeatable(now time.Duration, first *attempt, to *backend) bool {
	way := time.Duration(to.path.quickest / 2 * float64(time.Millisecond))
	switch {
	case r.class.RetrySafety == Idempotent:
		return true
	case r.class.RetrySafety == NonIdempotent, now+way > first.sent+r.class.DedupWindow:
		return false
	case r.class.DedupScope == DedupInZone:
		return to.Zone == first.to.Zone
	case r.class.DedupScope == DedupInCell:
		return to.Cell == first.to.Cell
	}
	return true
}

func (b *Balancer) send(now time.Duration, r *request, to *backend) {
	to.inflight++
	to.backlog += r.work
	to.sent[r.Class] = now
	b.sent.add(now, r.work)
	if len(r.tries) == 0 {
		b.bands[r.band].got += r.work
	}
	warm := to.coldSince < 0
	if warm {
		b.groups[to.away].out++
		b.groups[to.away].sent.add(now, r.work)
	} else {
		to.coldNext = max(to.coldNext, now) + b.coldPause(now, to)
	}
	to.trial = to.trial || to.ejected > 0
	r.tries = append(r.tries, attempt{to: to, sent: now, warm: warm})
	r.out++
	b.host.StartAttempt(r.ID, to.ID, b.lastMoment(r)-now)
}

// lastMoment is when an answer stops being worth the backend's work.
func (b *Balancer) lastMoment(r *request) time.Duration {
	if r.class.LateWeightShare > 0 && b.shed == 0 {
		return r.Deadline
	}
	return r.aim
}

// coldGap is the time in which this proxy's share of a cold backend amounts to a mean
// request. A warm one of its size tells the share, by what this proxy sends it or by what
// it answers for all, times the cold one's warmth. Only light hints go there, and those
// are too low as often as not: hence the mean. Many proxies together send it no more than
// it can do; what pushes it over beyond that is room for uneven zones, weights and hints.
func (b *Balancer) coldGap(now time.Duration, to *backend) time.Duration {
	mates, growth, longest := b.mates(to), coldGrowth, b.set.Rules.SlowStartDuration
	perSec := b.usual * b.meanWork / mates
	switch {
	case b.window == 0:
		perSec = coldSpeed * max(b.warmRate(now), perSec)
		if to.away == 1 && len(b.groups[0].members) > 0 {
			perSec /= float64(b.set.BalancerCount) // all of them may send there
		}
	case perSec == 0: // nothing was ever said
		perSec = b.warmRate(now)
	}
	if b.window > 0 { // no least of one each: it alone can be more than they all may send
		growth, longest = 1, time.Hour
	}
	perSec *= b.warmth(now, to) * to.Size
	if to.crowd.at > 0 && to.crowd.others < idleHolds {
		perSec = max(perSec, growth*to.crowd.last*b.meanWork/mates)
	}
	switch {
	case perSec <= 0 && b.window == 0:
		return 0
	case perSec <= 0: // not known yet: many would all try at once
		return longest
	}
	return time.Duration(min(b.meanWork/perSec, longest.Seconds()) * float64(time.Second))
}

// coldPause is how long a cold backend gets nothing after a request of this proxy: until
// the next window, if sends are drawn.
func (b *Balancer) coldPause(now time.Duration, to *backend) time.Duration {
	if b.window > 0 {
		return b.window
	}
	return b.coldGap(now, to)
}

// HandleOutcome takes the end of an attempt.
func (b *Balancer) HandleOutcome(now time.Duration, o Outcome) {
	b.begin(now)
	r := b.byID[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.tries) || r.tries[o.Attempt].ended {
		return
	}
	t := &r.tries[o.Attempt]
	t.ended, t.status = true, o.Status
	r.out--
	t.to.inflight--
	if t.warm {
		b.groups[t.to.away].out--
	}
	t.to.backlog = max(t.to.backlog-r.work, 0)
	b.learn(now, r, t, o)
	defer b.admit(now)
	r.final = r.final || o.Closed
	if r.final {
		b.release(r)
		return
	}
	if o.Status != Timeout && b.budget >= 1 && now < r.aim && b.dispatch(now, r) {
		b.budget--
		return
	}
	if r.out == 0 {
		b.finish(r)
	}
}

// goesBefore orders what waits: the most worth for its work first, and what came first among
// equals. But a band that gets much less than its part of what is sent goes before the
// others: where there is never room enough, it would get nothing at all.
func (b *Balancer) goesBefore(r, other *request) bool {
	x, y := &b.bands[r.band], &b.bands[other.band]
	if x.starves != y.starves {
		return x.starves
	}
	return x.value > y.value || x.value == y.value && r.ID < other.ID
}

// admit gives the room that has come free to what waits.
func (b *Balancer) admit(now time.Duration) {
	for {
		var best *request
		for _, r := range b.open {
			if r.final || r.out > 0 || r.stream {
				continue
			}
			if best == nil || b.goesBefore(r, best) {
				best = r
			}
		}
		if best == nil || !b.dispatch(now, best) {
			return
		}
	}
}

// learn takes what an outcome says of the backend and of its group.
func (b *Balancer) learn(now time.Duration, r *request, t *attempt, o Outcome) {
	to := t.to
	to.trial = false
	if o.Status == OK || o.Status == Full || o.Status == Error {
		to.answered = now
	}
	late := o.Status == Timeout || o.Status == Cancelled && o.Latency > r.class.LatencyObjective/2
	if late && to.answered >= t.sent || o.Status == OK || o.Status == Error {
		to.failing[r.Class] += backendWeight * (share(o.Status != OK) - to.failing[r.Class])
	}
	switch {
	case o.Status == Timeout && to.answered < t.sent:
		// The attempt timed out before the sweep noticed the silence, which is the
		// backend's own: it counts as late, but is no reason to shed.
		g := &b.groups[to.away]
		g.late += smoothing * (1 - g.late)
		b.strike(now, to, 2)
	case o.Status == Timeout:
		b.measure(now, r, to, o.Latency)
	case o.Status == OK:
		b.learnWork(r.Class, o.Latency)
		b.measure(now, r, to, o.Latency)
		b.restore(now, to)
	case o.Status == Full:
		// It says nothing of how long others take: one that turns all away at once must
		// neither draw requests by being idle nor pass for a fleet that is late.
		b.strike(now, to, 3)
		b.control(b.controlPace(now), to.away, 1)
	case o.Status == ConnectFailed, o.Status == Error, o.Status == Reset:
		to.down += share(o.Status == ConnectFailed)
		b.strike(now, to, 3) // a backend that lives has one now and then
	}
}

// measure keeps the latencies that round robin and shedding go by.
// They are taken beyond the request's own work, so that lanes compare.
func (b *Balancer) measure(now time.Duration, r *request, to *backend, took time.Duration) {
	ms := took.Seconds() * 1000
	aim := r.class.LatencyObjective.Seconds() * 1000
	wait := min(max(ms-r.work, 0), aim)
	typical := max(ms-r.work, -b.meanWork/2) + b.meanWork
	g := &b.groups[to.away]
	if g.latency == 0 {
		g.latency, g.wait, g.dev = typical, wait, wait/2
	}
	if to.latency == 0 {
		to.latency = g.latency
	}
	if to.path.answers == 0 || ms < to.path.quickest {
		to.path.quickest = ms
	}
	to.path.answers++
	to.latency += backendWeight * (typical - to.latency)
	b.pace = follow(b.pace, ms, r.work, smoothing*r.work/b.meanWork)
	to.pace = follow(to.pace, ms, r.work, backendWeight*r.work/b.meanWork)
	g.latency += smoothing * (typical - g.latency)
	g.dev += smoothing * (math.Abs(wait-g.wait) - g.dev)
	g.wait += smoothing * (wait - g.wait)
	pace := b.controlPace(now)
	b.balanceLanes(pace, r.lane, share(wait > aim/2))
	if r.work < aim/4 { // a heavy request is late on an idle server, too
		b.control(pace, to.away, share(took > r.class.LatencyObjective/2))
	}
}

// controlPace is how far control may move on one answer. It goes by time, in aims, not
// by answers: what it changes is seen a wait later, and a busy proxy would swing from end
// to end before that. A quiet one still needs some answers to tell chance from trouble.
func (b *Balancer) controlPace(now time.Duration) float64 {
	pace := min((now-b.controlled).Seconds()/b.shortAim.Seconds()*controlGain, smoothing)
	b.controlled = now
	return pace
}

// balanceLanes moves the split point towards equal lateness in both lanes: hints are rough.
func (b *Balancer) balanceLanes(pace float64, lane int, late float64) {
	b.laneLate[lane] += smoothing * (late - b.laneLate[lane])
	b.tilt += pace * (b.laneLate[1] - b.laneLate[0])
	small := 1 - b.largeShare
	b.tilt = min(max(b.tilt, -small), small/2) // at most twice and at least half of what the hints say
}

// control moves shedding by the answers that come late: after half their aim, so
// that there is time to act.
func (b *Balancer) control(pace float64, away int, late float64) {
	g, other := &b.groups[away], &b.groups[1-away]
	g.late += smoothing * (late - g.late)
	g.heard = b.controlled
	// Work is shed only when it comes late wherever it goes: spilling is cheaper.
	step := -pace / 2
	if late > 0 && (len(other.members) == 0 || other.late > 2*smoothing) {
		step = pace
	}
	b.shed = min(max(b.shed+step, 0), 1)
}

// restore ends an ejection. If connects kept failing, the process may be a new one: the
// backend comes back as if cold until the list has had time to name a restart.
// One that was only silent, slow or wrong kept its process and is as warm as before.
func (b *Balancer) restore(now time.Duration, to *backend) {
	down := to.down
	to.strikes, to.down = 0, 0
	if to.ejected == 0 {
		return
	}
	to.ejected = 0
	if to.coldSince < 0 && down >= 2 {
		b.chill(now, to, now)
		to.doubt = now + b.set.Rules.SlowStartDuration/4
	}
	b.dirty = true
}

// chill starts a slow start. The first send is put off by a share of the gap, so
// that many proxies do not greet the backend in the same moment.
func (b *Balancer) chill(now time.Duration, to *backend, since time.Duration) {
	to.coldSince, to.doubt, to.latency = since, 0, 0
	to.coldNext = now + jitter(b.rng, b.coldPause(now, to))
}

// strike counts a failure; so many in a row eject.
func (b *Balancer) strike(now time.Duration, to *backend, most int) {
	to.strikes++
	if to.ejected > 0 || to.strikes >= most {
		b.eject(now, to)
	}
}

// eject takes a backend out of its group; a single trial brings it back.
func (b *Balancer) eject(now time.Duration, to *backend) {
	to.ejected++
	to.strikes, to.probed = 0, false
	base := max(b.silence(&b.groups[to.away], b.meanWork), b.shortAim)
	pause := base << min(to.ejected, 4)
	to.retryAt = now + pause/2 + jitter(b.rng, pause)
	b.dirty = true
}

// finish gives the final answer: refused where that is true, else failed.
func (b *Balancer) finish(r *request) {
	switch {
	case r.firstRun() == nil, r.class.RetrySafety == Idempotent, r.class.RetrySafety == IdempotencyKey && r.class.DedupScope == DedupEverywhere:
		b.host.Reject(r.ID, b.advice())
	default:
		b.host.Fail(r.ID)
	}
	b.end(r)
}

// advice tells a refused client how long to stay away.
func (b *Balancer) advice() time.Duration {
	if !b.set.Limits.RetryAfter || b.shed == 0 {
		return 0
	}
	return min(b.shortAim, b.set.Limits.MaxRetryAfter)
}

// end closes a request that is owed nothing more and cancels what is still out.
func (b *Balancer) end(r *request) {
	r.final = true
	if b.set.Limits.CancelAttempts && !r.stream {
		for i := range r.tries {
			if !r.tries[i].ended {
				b.host.CancelAttempt(r.ID, i)
			}
		}
	}
	b.release(r)
}

// ClientGone ends a request whose client left.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	b.begin(now)
	if r := b.byID[id]; r != nil && !r.final {
		b.end(r)
	}
}

// ResponseStarted notes that an answer has started: the attempt is the client's now.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID, try int) {
	b.begin(now)
	if r := b.byID[id]; r != nil && try >= 0 && try < len(r.tries) && !r.tries[try].ended {
		r.stream = true
		r.tries[try].to.answered = now
	}
}

// HealthCheckCompleted takes the result of a probe of an ejected backend.
func (b *Balancer) HealthCheckCompleted(now time.Duration, id BackendID, status Status) {
	b.begin(now)
	to := b.backends[id]
	if to == nil || !to.probing {
		return
	}
	to.probing = false
	to.down += share(status == ConnectFailed)
	if status == OK {
		to.probed, b.dirty = true, true
		return
	}
	b.eject(now, to)
}

// Timer runs the sweep: what is overdue, what has waited, and what drifts.
func (b *Balancer) Timer(now time.Duration, token uint32) {
	b.begin(now)
	if token != sweepToken {
		return
	}
	b.host.SetTimer(b.sweep, sweepToken)
	b.followList(now)
	b.reweigh(now)
	for i := len(b.open) - 1; i >= 0; i = min(i, len(b.open)) - 1 { // what is inspected may go
		b.inspect(now, b.open[i])
	}
}

func (b *Balancer) inspect(now time.Duration, r *request) {
	if r.final || r.stream {
		return
	}
	if r.out == 0 {
		if !b.dispatch(now, r) {
			b.hold(now, r)
		}
		return
	}
	overdue := false
	for i := range r.tries {
		t := &r.tries[i]
		if t.ended || now-t.sent < b.silence(&b.groups[t.to.away], r.work) {
			continue
		}
		overdue = true
		// A hung backend takes work and says nothing; one that answered others
		// since is only slow with this one.
		if t.to.answered < t.sent && t.to.ejected == 0 {
			b.eject(now, t.to)
		}
	}
	if overdue && !r.hedged && b.shed == 0 && b.budget >= 1 && now < r.aim {
		if b.dispatch(now, r) {
			r.hedged = true
			b.budget--
		}
	}
}

// reweigh follows what changes slowly: the bands and, in survey, the backends.
func (b *Balancer) reweigh(now time.Duration) {
	// A pass over a large fleet takes its time: it is made every few sweeps there.
	if b.sweeps++; b.sweeps%(1+len(b.sorted)/passSize) == 0 {
		b.survey(now)
	}
	// A proxy that refuses everything sees nothing get better: shedding wanes.
	b.shed -= b.shed / (sweepsPerAim * sweepsPerAim)
	keep := math.Exp(-b.sweep.Seconds())
	var total, got float64
	for i := range b.bands {
		b.bands[i].work *= keep
		b.bands[i].got *= keep
		total += b.bands[i].work
		got += b.bands[i].got
	}
	b.value()
	for i := range b.bands {
		band, less, equal := &b.bands[i], 0.0, 0.0 // what is refused before it, and beside it
		for _, other := range b.bands {
			switch {
			case other.value < band.value:
				less += other.work
			case other.value == band.value:
				equal += other.work
			}
		}
		band.starves = b.many() && band.got*total < fairPart*band.work*got
		if band.refused = 0; equal > 0 {
			band.refused = min(max(b.shed*total-less, 0)/equal, 1)
		}
	}
}

// survey finds who has warmed up and whose time for a trial has come, and weighs all.
func (b *Balancer) survey(now time.Duration) {
	for _, to := range b.sorted {
		if to.coldSince >= 0 && (now >= to.coldSince+b.set.Rules.SlowStartDuration || (to.doubt > 0 && now >= to.doubt)) {
			to.coldSince, to.doubt = -1, 0
		}
		if to.ejected == 0 || now < to.retryAt || !to.usable() {
			continue
		}
		if b.set.Limits.HealthChecks && !to.probed && !to.probing {
			to.probing = true
			b.host.HealthCheck(to.ID)
		}
	}
	b.regroup(now)
	b.followUsual()
	for i := range b.groups {
		b.steer(now, &b.groups[i])
		if g := &b.groups[i]; now-g.heard > b.shortAim*sweepsPerAim { // nobody is looking
			g.late -= g.late / (sweepsPerAim * sweepsPerAim)
		}
	}
}

// regroup sorts the ready backends into own zone and elsewhere.
func (b *Balancer) regroup(now time.Duration) {
	b.dirty = false
	for i := range b.groups {
		b.groups[i].members = b.groups[i].members[:0]
	}
	for _, to := range b.sorted {
		if to.usable() && (to.ejected == 0 || b.triable(now, to)) {
			g := &b.groups[to.away]
			g.members = append(g.members, to)
		}
	}
	b.groups[0].weigh(b, now)
	b.groups[1].weigh(b, now)
}

// weigh sets the weights of a group's backends and parts its lanes so that the
// large lane's share of the weight matches its share of the work. The backend at
// the split point serves both, each with a part of its weight.
func (g *group) weigh(b *Balancer, now time.Duration) {
	g.weight, g.warm, g.held = 0, 0, 0
	for _, to := range g.members {
		to.weight = to.Size * b.warmth(now, to)
		if to.latency > 0 && g.latency > 0 {
			to.weight *= min(max(g.latency/to.latency, 1.0/8), 2)
		}
		g.weight += to.weight
		g.held += to.crowd.mean / float64(len(g.members))
		if to.coldSince < 0 {
			g.warm += to.Size
		}
	}
	if len(g.members) == 0 {
		return
	}
	left := (b.largeShare + b.tilt) * g.weight
	for g.split = 0; g.split < len(g.members)-1 && left > g.members[g.split].weight; g.split++ {
		left -= g.members[g.split].weight
	}
	g.heavy = min(left/g.members[g.split].weight, 1)
	for lane := range g.most {
		g.most[lane] = 0
		for i := range g.lane(lane) {
			g.most[lane] = max(g.most[lane], g.laneWeight(lane, i))
		}
	}
}

// UpdateEndpoints takes word of the backends.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, entries []Endpoint) {
	b.begin(now)
	if kind == UpdateFailed {
		b.watching = false
		b.watchAt = now + b.watchGap/2 + jitter(b.rng, b.watchGap)
		b.watchGap = min(2*b.watchGap, max(b.set.Rules.PollInterval, b.watchGap))
		return
	}
	named := make(map[BackendID]bool, len(entries))
	for _, e := range entries {
		named[e.ID] = true
		b.apply(now, e)
	}
	if kind != UpdateDelta {
		for _, to := range b.sorted {
			if !named[to.ID] {
				to.State = Gone
			}
		}
	}
	if kind != UpdateCached {
		b.watchGap = b.set.Rules.PollInterval / 8
	}
	b.sorted = slices.DeleteFunc(b.sorted, func(to *backend) bool {
		if to.State != Gone {
			return false
		}
		delete(b.backends, to.ID)
		return true
	})
	b.measureFleet()
	slices.SortFunc(b.sorted, func(x, y *backend) int { return cmp.Compare(x.ID, y.ID) })
	b.regroup(now)
}

func (b *Balancer) apply(now time.Duration, e Endpoint) {
	if !(e.Size > 0) || math.IsInf(e.Size, 0) {
		e.Size = 1
	}
	to := b.backends[e.ID]
	if to == nil {
		if e.State == Gone {
			return
		}
		to = &backend{Endpoint: e, salt: mix(uint64(e.ID)), coldSince: -1, rank: b.rng.Float64()}
		to.excluded = b.excluded[e.ID]
		to.failing, to.sent = make([]float64, len(b.set.Classes)), make([]time.Duration, len(b.set.Classes))
		if e.Zone != b.set.Zone {
			to.away = 1
		}
		if b.paths[e.Zone] == nil {
			b.paths[e.Zone] = &path{}
		}
		to.path = b.paths[e.Zone]
		b.backends[e.ID] = to
		b.sorted = append(b.sorted, to)
		b.birth(now, to)
		return
	}
	reborn := e.StartedAt != to.StartedAt
	to.Endpoint = e
	if reborn {
		to.ejected, to.strikes, to.trial, to.probed = 0, 0, false, false
		b.birth(now, to)
	}
}

// birth starts the slow start of a backend that the list says is young.
func (b *Balancer) birth(now time.Duration, to *backend) {
	if to.StartedAt > 0 && now < to.StartedAt+b.set.Rules.SlowStartDuration {
		b.chill(now, to, to.StartedAt)
	}
}

// followList keeps the subscription where the list comes only on request.
func (b *Balancer) followList(now time.Duration) {
	if !b.set.PollDiscovery || b.watching || now < b.watchAt {
		return
	}
	b.watching = true
	b.host.WatchEndpoints()
}

// LoadReported takes a backend's load report.
func (b *Balancer) LoadReported(now time.Duration, id BackendID, load LoadReport) {
	if to := b.backends[id]; to != nil && load.Inflight >= 0 && load.CompletedPerSecond >= 0 {
		to.crowd.hear(now, load, to.inflight)
	}
}

// crowded tells whether all proxies together have so many requests at a backend. What one
// proxy has there is no bound on that, once there are many: it takes the backend's word.
func (b *Balancer) crowded(now time.Duration, to *backend, most float64) bool {
	return to.crowd.now(now, min(to.crowd.mean, b.groups[to.away].held))+float64(to.inflight) >= most
}

// steer moves the limit on what this proxy has in a group towards what lets a backend
// there hold the aim. If all proxies do so, all together reach it, however many they are:
// none needs to know that. A mean over a group is worth more than a single old report.
func (b *Balancer) steer(now time.Duration, g *group) {
	dt := b.sweep.Seconds()
	g.peak = max(float64(g.out), g.peak*math.Exp(-dt))
	held, known := b.holds(now, g)
	if !known || !b.many() {
		g.limit = math.Inf(1)
		return
	}
	turn := min(max(math.Log(heldAim/max(held, heldAim/8)), -1), 1)
	g.limit = max(min(g.limit, 2*g.peak+heldAim)*math.Exp(turn*dt/steerTime), 1)
}

// full tells whether this proxy has as much at the group's warm backends as it may.
func (g *group) full() bool { return float64(g.out) >= g.limit }
