package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"

	"piernotch"
	"piernotch/internal/lab/servermodel"
)

// Stream returns the random numbers of one concern of one seed. Concerns do not
// share numbers: what one of them draws does not depend on what happens elsewhere,
// so that two runs of a seed meet the same traffic and the same troubles.
func Stream(seed uint64, concern string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(concern)))
}

// Day is one draw of a scenario: nothing in it is a range any more.
type Day struct {
	Name         string
	Seed         uint64
	Length, Tick time.Duration

	Zones  []string
	Delay  [][]time.Duration // one way, by zone and zone
	Client time.Duration     // one way between a client and a balancer
	Jitter float64

	Servers   []Server
	Balancers []Balancer
	Settings  piernotch.Settings // but for Zone
	Front     time.Duration      // time in which the front notices a dead balancer

	Classes   []DayClass
	Traffic   DayTraffic
	Clients   DayClients
	Discovery DayDiscovery
	Rules     DayRules
	Score     DayScore
	Troubles  []Incident

	kinds []kindDraw
}

// Server is one machine of the day.
type Server struct {
	Kind      servermodel.Kind
	KindIndex int
	Zone      int
	Cell      int
	Size      float64 // as the list gives it
	Handshake int     // round trips that a new connection takes
}

// Balancer is one instance.
type Balancer struct {
	Zone  int
	Start time.Duration
}

// DayClass is a class as drawn. Times are durations, work is in ms.
type DayClass struct {
	piernotch.Class
	Share     float64
	Work      distuv.Rander // work of a request, ms; draws from the traffic's stream
	MeanWork  float64
	AttemptCV float64
}

// DayTraffic is the traffic as drawn.
type DayTraffic struct {
	PerSec  float64 // mean
	Shape   string
	Swing   float64
	Period  time.Duration
	Phase   float64   // share of a period
	Zones   []float64 // cumulative shares
	Keys    int
	KeyZipf float64
	Hints   string
	HintCV  float64
	Trace   string
}

// DayClients is the clients' habits as drawn.
type DayClients struct {
	Retries    float64 // the fraction is the chance of one more
	Backoff    time.Duration
	TryShare   float64
	Honour     float64
	Impatient  float64
	MarksRetry bool
}

// DayDiscovery is the list's service as drawn.
type DayDiscovery struct {
	Push                                          bool
	Notice, Silent, Add, Period, Spread, Patience time.Duration
	CallsPerSec, CallLines                        float64
}

// DayRules is the rules' figures.
type DayRules struct {
	Slack, AskWithin, Grace, Dial, Probe, KeepAlive time.Duration
	ColdFrom                                        float64
	Cold                                            time.Duration
	Fall                                            servermodel.Collapse
}

// DayScore is how service is counted.
type DayScore struct {
	Whole, WorstWindow, WorstClass           float64
	Window                                   time.Duration
	ByWork                                   bool
	Waste, LateFail, CrossZone, Probe, Choke float64
}

// Incident is a trouble at its time, with those that it hits.
type Incident struct {
	Kind      string
	At, For   time.Duration
	Part      float64
	Size      float64
	Every     time.Duration
	Ramp      time.Duration
	Class     int   // -1: all
	Servers   []int // of the first servers of the day, in the order of their turn
	Balancers []int
	Number    int // its place in the scenario
}

// End is when an incident is over.
func (i *Incident) End() time.Duration { return i.At + i.For }

// kindDraw is what all machines of a kind have in common on the day.
type kindDraw struct {
	kind    servermodel.Kind
	speedCV float64
	rtts    int
}

func seconds(v float64) time.Duration { return time.Duration(math.Round(v*1e6)) * time.Microsecond }
func millis(v float64) time.Duration  { return time.Duration(math.Round(v*1e3)) * time.Microsecond }

// fill gives what is left out of kinds and classes its default.
func (s *Scenario) fill() {
	text := func(v *string, def string) {
		if *v == "" {
			*v = def
		}
	}
	rng := func(v *Range, def float64) {
		if !v.Set {
			*v = Fixed(def)
		}
	}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		k.Cores = max(k.Cores, 1)
		text(&k.WarmBy, "time")
		text(&k.Cancel, "queued")
		text(&k.DropExpired, "no")
		rng(&k.Share, 1)
		rng(&k.Speed, 1)
		rng(&k.SlotsPerCore, 1)
		rng(&k.QueuePerCore, 20)
		rng(&k.HandshakeRTTs, 1)
	}
	for i := range s.Classes {
		k := &s.Classes[i]
		text(&k.Dist, "lognormal")
		text(&k.Effect, "safe")
		rng(&k.Share, 1)
		rng(&k.WorkMS, 100)
		rng(&k.CV, 1)
		rng(&k.AimMS, 1000)
		rng(&k.DeadlineMS, 5000)
		rng(&k.Worth, 1)
		if k.Effect == "keyed" {
			text(&k.Scope, "all")
			rng(&k.WindowMS, 5000)
		}
	}
	for i := range s.Troubles {
		if s.Troubles[i].Weight == 0 {
			s.Troubles[i].Weight = 1
		}
	}
}

// Draw makes one day of the scenario. It fails only where a drawn machine cannot be.
func (s *Scenario) Draw(seed uint64) (*Day, error) {
	rng := Stream(seed, "site")
	d := &Day{
		Name: s.Name, Seed: seed, Length: seconds(s.LengthS.draw(rng)), Tick: millis(s.TickMS.draw(rng)),
		Zones: s.Zones.Names, Client: millis(s.Zones.ClientMS.draw(rng)), Jitter: s.Zones.Jitter.draw(rng),
		Front: seconds(s.Balancers.FrontNoticeS.draw(rng)),
	}
	d.network(s, rng)
	d.figures(s, Stream(seed, "figures"))
	if err := d.fleet(s, Stream(seed, "fleet")); err != nil {
		return nil, err
	}
	d.classes(s, Stream(seed, "classes"))
	d.settings(s)
	spread := s.Balancers.StartSpreadMS.draw(rng)
	starts := Stream(seed, "starts")
	for i := range s.Balancers.Count {
		d.Balancers = append(d.Balancers, Balancer{Zone: i % len(d.Zones), Start: millis(starts.Float64() * spread)})
	}
	d.traffic(s, Stream(seed, "traffic"))
	d.troubles(s, seed)
	return d, nil
}

func (d *Day) network(s *Scenario, rng *rand.Rand) {
	n := len(d.Zones)
	d.Delay = make([][]time.Duration, n)
	same := millis(s.Zones.SameMS.draw(rng))
	for i := range d.Delay {
		d.Delay[i] = make([]time.Duration, n)
		d.Delay[i][i] = same
		for j := range i {
			d.Delay[i][j] = millis(s.Zones.CrossMS.draw(rng))
			d.Delay[j][i] = d.Delay[i][j]
		}
	}
}

func (d *Day) figures(s *Scenario, rng *rand.Rand) {
	r, c, v, g := &s.Rules, &s.Clients, &s.Discovery, &s.Score
	d.Rules = DayRules{
		Slack: millis(r.AnswerSlackMS.draw(rng)), AskWithin: millis(r.AskWithinMS.draw(rng)),
		Grace: millis(r.DrainGraceMS.draw(rng)), Dial: millis(r.DialTimeoutMS.draw(rng)),
		Probe: millis(r.ProbeTimeoutMS.draw(rng)), KeepAlive: millis(r.KeepaliveMS.draw(rng)),
		ColdFrom: r.ColdFrom.draw(rng), Cold: millis(r.ColdMS.draw(rng)),
		Fall: servermodel.Collapse{Multiple: r.FallMultiple.draw(rng), For: millis(r.FallMS.draw(rng))},
	}
	d.Clients = DayClients{
		Retries: c.Retries.draw(rng), Backoff: millis(c.BackoffMS.draw(rng)), TryShare: c.TryShare.draw(rng),
		Honour: c.Honour.draw(rng), Impatient: c.Impatient.draw(rng), MarksRetry: c.MarksRetry,
	}
	d.Discovery = DayDiscovery{
		Push: v.Push, Notice: seconds(v.NoticeS.draw(rng)), Silent: seconds(v.SilentS.draw(rng)), Add: seconds(v.AddS.draw(rng)),
		Period: millis(v.PeriodMS.draw(rng)), Spread: millis(v.SpreadMS.draw(rng)), Patience: millis(v.TimeoutMS.draw(rng)),
		CallsPerSec: v.CallsPerS.draw(rng), CallLines: v.CallLines.draw(rng),
	}
	d.Score = DayScore{
		Whole: g.Whole.draw(rng), WorstWindow: g.WorstWindow.draw(rng), WorstClass: g.WorstClass.draw(rng),
		Window: seconds(g.WindowS.draw(rng)), ByWork: g.WorthBy == "work", Waste: g.Waste.draw(rng),
		LateFail: g.LateFail.draw(rng), CrossZone: g.CrossZone.draw(rng), Probe: g.Probe.draw(rng), Choke: g.Choke.draw(rng),
	}
}

// draw makes the day's machine of a kind.
func (k *Kind) draw(rng *rand.Rand, fall servermodel.Collapse) kindDraw {
	cores := float64(k.Cores)
	yes := func(v, yes, no string) bool { // drawn always, so that the stream stays in step
		coin := rng.Float64() < 0.5
		return v == yes || v != no && coin
	}
	out := kindDraw{
		kind: servermodel.Kind{
			Name: k.Name, Cores: k.Cores, Speed: k.Speed.draw(rng),
			Slots: max(int(math.Round(k.SlotsPerCore.draw(rng)*cores)), 1), Queue: int(math.Round(k.QueuePerCore.draw(rng) * cores)),
			Thrash: k.Thrash.draw(rng), ThrashAt: k.ThrashAt.draw(rng),
			SlowStartCapacity: k.ColdFrom.draw(rng), SlowStartDuration: seconds(k.ColdS.draw(rng)),
			PauseEvery: seconds(k.PauseEveryS.draw(rng)), PauseFor: millis(k.PauseMS.draw(rng)), PauseGrow: k.PauseGrow.draw(rng),
			ErrorRate: k.ErrorRate.draw(rng),
			Overload: servermodel.Overload{
				QueuePerCore: k.ChokeAt.draw(rng), After: seconds(k.ChokeOverS.draw(rng)), Slowdown: k.ChokeSlower.draw(rng),
				IdleBelow: k.ChokeBelow.draw(rng), IdleFor: seconds(k.ChokeRestS.draw(rng)), MaxDuration: seconds(k.ChokeMostS.draw(rng)),
			},
			Keys: servermodel.Keys{WorkSaved: k.KeyGain.draw(rng), WarmFor: seconds(k.KeyS.draw(rng)), MaxKeys: int(k.KeysPerCore.draw(rng) * cores)},
			Conn: servermodel.ConnectionCost{Handshake: k.HandshakeMS.draw(rng), MaxConnections: int(k.ConnPerCore.draw(rng) * cores), Tax: k.ConnTax.draw(rng)},
			Report: servermodel.ReportTiming{
				Interval: millis(k.ReportEveryMS.draw(rng)), Delay: millis(k.ReportDelayMS.draw(rng)), Noise: k.ReportNoise.draw(rng),
			},
			Collapse: fall, HealthCheckWork: k.ProbeMS.draw(rng),
		},
		speedCV: k.SpeedCV.draw(rng), rtts: int(math.Round(k.HandshakeRTTs.draw(rng))),
	}
	out.kind.StopRunning = yes(k.Cancel, "all", "queued")
	out.kind.DropExpired = yes(k.DropExpired, "yes", "no")
	if k.WarmBy == "work" {
		out.kind.WarmUpBy = servermodel.WarmByWork
	}
	return out
}

func (d *Day) fleet(s *Scenario, rng *rand.Rand) error {
	shares := make([]float64, len(s.Kinds))
	total := 0.0
	for i := range s.Kinds {
		d.kinds = append(d.kinds, s.Kinds[i].draw(rng, d.Rules.Fall))
		shares[i] = s.Kinds[i].Share.draw(rng)
		total += shares[i]
	}
	// Kinds and zones are dealt out by largest remainder and then shuffled, so that
	// small fleets keep the shares as well as they can.
	kinds := deal(shares, total, s.Fleet.Servers)
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	weights := s.Zones.Servers
	if len(weights) == 0 {
		weights = make([]float64, len(d.Zones))
		for i := range weights {
			weights[i] = 1
		}
	}
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	zones := deal(weights, sum, s.Fleet.Servers)
	seen := make([]int, len(d.Zones))
	rough := s.Fleet.RoughCV.draw(rng)
	for i := range s.Fleet.Servers {
		v := d.machine(s.Fleet.Weights, rough, kinds[i], zones[i], rng)
		v.Cell = zones[i]*1000 + seen[v.Zone]/s.Fleet.Cells
		seen[v.Zone]++
		if err := v.Kind.Validate(); err != nil {
			return fmt.Errorf("seed %d: %w", d.Seed, err)
		}
		d.Servers = append(d.Servers, v)
	}
	return nil
}

// machine draws one machine of a kind.
func (d *Day) machine(weights string, rough float64, kind, zone int, rng *rand.Rand) Server {
	k := d.kinds[kind]
	v := Server{Kind: k.kind, KindIndex: kind, Zone: zone, Size: 1, Handshake: k.rtts}
	v.Kind.Speed *= lognormal(rng, k.speedCV)
	noise := lognormal(rng, rough)
	switch weights {
	case "nominal":
		v.Size = k.kind.Speed * float64(k.kind.Cores)
	case "rough":
		v.Size = v.Kind.Speed * float64(k.kind.Cores) * noise
	}
	return v
}

// Like makes another machine of a server's kind, for one that joins or replaces it.
// The number tells machines apart; the same number is always the same machine.
func (d *Day) Like(i, number int) Server {
	rng := Stream(d.Seed^uint64(number)*0x9e3779b97f4a7c15, "spare")
	was := d.Servers[i]
	v := was
	k := d.kinds[was.KindIndex]
	v.Kind.Speed = k.kind.Speed * lognormal(rng, k.speedCV)
	v.Size = was.Size / was.Kind.Speed * v.Kind.Speed
	return v
}

// lognormal draws a factor of mean 1.
func lognormal(rng *rand.Rand, cv float64) float64 {
	sigma := math.Sqrt(math.Log1p(cv * cv))
	return math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
}

// deal gives n places to shares by largest remainder.
func deal(shares []float64, total float64, n int) []int {
	if n == 0 || total <= 0 {
		return nil
	}
	type rest struct {
		i    int
		part float64
	}
	var out []int
	var rests []rest
	for i, s := range shares {
		want := s / total * float64(n)
		for range int(want) {
			out = append(out, i)
		}
		rests = append(rests, rest{i, want - math.Floor(want)})
	}
	slices.SortStableFunc(rests, func(a, b rest) int {
		switch {
		case a.part > b.part:
			return -1
		case a.part < b.part:
			return 1
		}
		return 0
	})
	for i := 0; len(out) < n; i++ {
		out = append(out, rests[i%len(rests)].i)
	}
	return out
}

// Effects and scopes as files name them.
var (
	effects = map[string]piernotch.RetrySafety{"safe": piernotch.Idempotent, "keyed": piernotch.IdempotencyKey, "unsafe": piernotch.NonIdempotent}
	scopes  = map[string]piernotch.DedupScope{"": piernotch.DedupEverywhere, "all": piernotch.DedupEverywhere, "zone": piernotch.DedupInZone, "cell": piernotch.DedupInCell}
)

func (d *Day) classes(s *Scenario, rng *rand.Rand) {
	total := 0.0
	works := Stream(d.Seed, "work")
	for i := range s.Classes {
		k := &s.Classes[i]
		share := k.Share.draw(rng)
		total += share
		mean, cv := k.WorkMS.draw(rng), k.CV.draw(rng)
		d.Classes = append(d.Classes, DayClass{
			Class: piernotch.Class{
				Name: k.Name, LatencyObjective: millis(k.AimMS.draw(rng)), Deadline: millis(k.DeadlineMS.draw(rng)), PriorityWeight: k.Worth.draw(rng),
				LateWeightShare: k.LateWorth.draw(rng), RetrySafety: effects[k.Effect], DedupScope: scopes[k.Scope], DedupWindow: millis(k.WindowMS.draw(rng)),
			},
			Share: share, MeanWork: mean, AttemptCV: k.AttemptCV.draw(rng), Work: workOf(k.Dist, mean, cv, works),
		})
	}
	for i := range d.Classes {
		if total > 0 {
			d.Classes[i].Share /= total
		}
	}
}

// mostWork bounds one request's work, in means: without it the mean of a Pareto
// sample depends on a few draws.
const mostWork = 60

type fixedWork float64

func (f fixedWork) Rand() float64 { return float64(f) }

type boundedWork struct {
	distuv.Rander
	most float64
}

func (b boundedWork) Rand() float64 { return min(b.Rander.Rand(), b.most) }

// workOf returns a distribution with a mean and a coefficient of variation.
func workOf(dist string, mean, cv float64, src *rand.Rand) distuv.Rander {
	switch {
	case dist == "fixed" || cv == 0 && dist != "exponential":
		return fixedWork(mean)
	case dist == "exponential":
		return distuv.Exponential{Rate: 1 / mean, Src: src}
	case dist == "pareto":
		alpha := 1 + math.Sqrt(1+1/(cv*cv))
		return boundedWork{distuv.Pareto{Xm: mean * (alpha - 1) / alpha, Alpha: alpha, Src: src}, mostWork * mean}
	}
	sigma := math.Sqrt(math.Log1p(cv * cv))
	return boundedWork{distuv.LogNormal{Mu: math.Log(mean) - sigma*sigma/2, Sigma: sigma, Src: src}, mostWork * mean}
}

func (d *Day) settings(s *Scenario) {
	b := &s.Balancers
	set := piernotch.Settings{
		BalancerCount: b.Count, Zones: d.Zones, Tick: d.Tick, PollDiscovery: !d.Discovery.Push,
		Limits: piernotch.Limits{
			MaxAttempts: b.MaxAttempts, HedgedRequests: b.SecondCopies, CancelAttempts: b.Cancel, HealthChecks: b.Probes,
			RetryAfter: b.RetryAfter, MaxRetryAfter: millis(b.MaxRetryAfterMS.From),
		},
		Rules: piernotch.Rules{PollInterval: d.Rules.AskWithin, SlowStartCapacity: d.Rules.ColdFrom, SlowStartDuration: d.Rules.Cold,
			OverloadWindow: d.Rules.Fall.For},
		OverQuotaWeight: 0.1,
	}
	for _, c := range d.Classes {
		set.Classes = append(set.Classes, c.Class)
	}
	for _, k := range d.kinds {
		set.KeyAffinity = set.KeyAffinity || k.kind.Keys.WorkSaved > 0
	}
	d.Settings = set
}

// Capacity is the work that the day's first servers do in a second when warm, ms.
func (d *Day) Capacity() float64 {
	sum := 0.0
	for i := range d.Servers {
		sum += d.Servers[i].Kind.Capacity()
	}
	return sum
}

// MeanWork is the mean work of a request, ms.
func (d *Day) MeanWork() float64 {
	sum := 0.0
	for _, c := range d.Classes {
		sum += c.Share * c.MeanWork
	}
	return sum
}

func (d *Day) traffic(s *Scenario, rng *rand.Rand) {
	t := &s.Traffic
	d.Traffic = DayTraffic{
		PerSec: t.RatePerS.draw(rng), Shape: t.Shape, Swing: t.Swing.draw(rng), Period: seconds(t.PeriodS.draw(rng)),
		Phase: rng.Float64(), Keys: int(t.Keys.draw(rng)), KeyZipf: t.KeyZipf.draw(rng), Hints: t.Hints, HintCV: t.HintCV.draw(rng), Trace: t.Trace,
	}
	load := t.Load.draw(rng)
	if d.Traffic.PerSec == 0 && d.MeanWork() > 0 {
		d.Traffic.PerSec = load * d.Capacity() / d.MeanWork()
	}
	skew := t.ZoneSkew.draw(rng)
	sum := 0.0
	for range d.Zones {
		sum += 1 + skew*(2*rng.Float64()-1)
		d.Traffic.Zones = append(d.Traffic.Zones, sum)
	}
	for i := range d.Traffic.Zones {
		d.Traffic.Zones[i] /= sum
	}
}

// troubles draws the incidents. Each trouble has a stream of its own, so that one
// more of them does not move the others.
func (d *Day) troubles(s *Scenario, seed uint64) {
	chosen := make([]bool, len(s.Troubles))
	if s.Draws.Troubles.Set {
		rng := Stream(seed, "troubles")
		want := min(int(s.Draws.Troubles.draw(rng)), len(s.Troubles))
		for range want {
			left := 0.0
			for i := range s.Troubles {
				if !chosen[i] {
					left += s.Troubles[i].Weight
				}
			}
			at := rng.Float64() * left
			for i := range s.Troubles {
				if chosen[i] {
					continue
				}
				if at -= s.Troubles[i].Weight; at <= 0 {
					chosen[i] = true
					break
				}
			}
		}
	} else {
		for i := range chosen {
			chosen[i] = true
		}
	}
	for i := range s.Troubles {
		if chosen[i] {
			d.Troubles = append(d.Troubles, d.incident(s, i, Stream(seed, fmt.Sprintf("trouble %d", i))))
		}
	}
}

func (d *Day) incident(s *Scenario, n int, rng *rand.Rand) Incident {
	t := &s.Troubles[n]
	in := Incident{
		Kind: t.Kind, At: seconds(t.AtS.draw(rng)), For: seconds(t.ForS.draw(rng)), Part: t.Part.draw(rng), Size: t.Size.draw(rng),
		Every: seconds(t.EveryS.draw(rng)), Ramp: seconds(t.RampS.draw(rng)), Class: -1, Number: n,
	}
	for i := range s.Classes {
		if s.Classes[i].Name == t.Class {
			in.Class = i
		}
	}
	var servers []int
	for i := range d.Servers {
		if t.Zone == "" || d.Zones[d.Servers[i].Zone] == t.Zone {
			servers = append(servers, i)
		}
	}
	part := in.Part
	if t.Kind == "shrink" {
		part = 1 - 1/in.Size
	}
	in.Servers = take(servers, part, rng)
	var balancers []int
	for i := range d.Balancers {
		if t.Zone == "" || d.Zones[d.Balancers[i].Zone] == t.Zone {
			balancers = append(balancers, i)
		}
	}
	in.Balancers = take(balancers, in.Part, rng)
	return in
}

// take picks a part of a list by chance: at least one where the part is above 0.
func take(from []int, part float64, rng *rand.Rand) []int {
	from = slices.Clone(from)
	rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	n := int(math.Round(part * float64(len(from))))
	if part > 0 && n == 0 {
		n = 1
	}
	return from[:min(n, len(from))]
}

// KindNames names the kinds of machine, by Server.KindIndex.
func (d *Day) KindNames() []string {
	names := make([]string, len(d.kinds))
	for i := range d.kinds {
		names[i] = d.kinds[i].kind.Name
	}
	return names
}
