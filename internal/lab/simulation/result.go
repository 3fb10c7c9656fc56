package simulation

import (
	"math"
	"time"

	"piernotch"
	"piernotch/internal/lab/goodput"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// Result is what came of one day. Service and its parts are shares of 1.
type Result struct {
	Seed        uint64  `json:"seed"`
	Service     float64 `json:"service"` // the blend less the deductions
	Whole       float64 `json:"whole"`
	WorstWindow float64 `json:"worst_window"`
	WorstClass  float64 `json:"worst_class"`
	Deducted    float64 `json:"deducted"`

	Lost        int `json:"lost"`
	Repeated    int `json:"repeated"`
	DrainBreaks int `json:"drain_breaks"`
	ColdFalls   int `json:"cold_falls"` // that break the rule
	Falls       int `json:"falls"`      // all

	// Margins of the rules: the most that a cold server was sent in a span, as a share
	// of what pushes it over; and the latest send after a drain was told, ms.
	ColdPeak    float64 `json:"cold_peak"`
	DrainLatest float64 `json:"drain_latest_ms"`

	Requests    int     `json:"requests"` // first tries
	Tries       int     `json:"tries"`
	Attempts    int     `json:"attempts"`
	ServedShare float64 `json:"served_share"` // of requests, in their aim
	RefusedRate float64 `json:"refused_rate"` // refusals for each first try
	FailedRate  float64 `json:"failed_rate"`
	WasteRate   float64 `json:"waste_rate"` // work that served nothing, of the work asked for
	CrossRate   float64 `json:"cross_rate"`
	ProbeRate   float64 `json:"probe_rate"`
	RetryRate   float64 `json:"retry_rate"`
	ChokedShare float64 `json:"choked_share"` // servers that choked at some time
	Handshakes  int     `json:"handshakes"`
	ListFailed  int     `json:"list_failed"`
	P50         float64 `json:"p50_ms"` // of served requests, from the first try
	P90         float64 `json:"p90_ms"`
	P99         float64 `json:"p99_ms"`
	P999        float64 `json:"p999_ms"`
	Classes     []Share `json:"classes"`
	Little      Little  `json:"little"`
	Events      int     `json:"events"`
	Digest      uint64  `json:"digest"` // of all that clients were told, and when
	WallS       float64 `json:"wall_s"`
	ModuleS     float64 `json:"module_s"` // of it, in the balancers' decisions

	Seconds []Second               `json:"seconds,omitempty"`
	Servers []ServerTrack          `json:"servers,omitempty"`
	Latency []LatencyStep          `json:"latency,omitempty"`
	Breaks  []invariants.Violation `json:"breaks,omitempty"`
	Ended   map[string]int         `json:"attempts_ended"`
}

// Parts of a result that whoever plays a day has in common.
type (
	Share       = goodput.Share
	Second      = goodput.Second
	LatencyStep = goodput.LatencyStep
)

// Little compares what servers held on the mean with arrivals times time spent there.
type Little struct {
	Held     float64 `json:"held"`
	PerSec   float64 `json:"per_s"`
	SojournS float64 `json:"sojourn_s"`
}

// ServerTrack is one server over the day, a sample a second.
type ServerTrack struct {
	Server int       `json:"server"`
	Kind   string    `json:"kind"`
	Zone   int       `json:"zone"`
	Busy   []float32 `json:"busy"`
	Holds  []int16   `json:"holds"`
	State  []uint8   `json:"state"` // 0 up, 1 draining, 2 down, 3 silent, 4 fallen, 5 cold, 6 choked
}

// Broken is how often a rule was broken.
func (r *Result) Broken() int { return r.Lost + r.Repeated + r.DrainBreaks + r.ColdFalls }

// mostTracks bounds the servers that are sampled; they are spread over the fleet.
const mostTracks = 48

// meter counts.
type meter struct {
	Events, Tries, Attempts, Firsts, Cross, Probes int
	TurnedAway, TableFull, Opened, Falls           int
	Unreachable, GivenUp, Left, ListFailed         int
	Outcomes                                       [piernotch.NotSent + 1]int
	ServedWork                                     float64
	ModuleTime                                     time.Duration

	tally  *goodput.Counter
	digest uint64

	inside   int // attempts that servers hold
	since    time.Duration
	area     float64 // of inside over time, s
	sojourn  float64 // s
	accepted int

	tracks []ServerTrack
}

func (m *meter) begin(d *scenario.Day) { m.tally = goodput.New(d) }

// finish counts a request that is over.
func (m *meter) finish(w *World, a *ask, served bool) {
	took := w.now - a.first
	earned := m.tally.Finish(a.first, took, a.class, a.work, a.tries, served)
	m.digest = mix(m.digest^mix(a.key^uint64(took)<<1)) + math.Float64bits(earned)
}

func (m *meter) sent(w *World, n int, cross bool) {
	m.Attempts++
	if n == 0 {
		m.Firsts++
	}
	if cross {
		m.Cross++
	}
}

// enter and exit keep the books for Little's law.
func (m *meter) enter(w *World) {
	m.pass(w.now)
	m.inside++
	m.accepted++
}

func (m *meter) exit(w *World, a *attempt) {
	m.pass(w.now)
	m.inside--
	m.sojourn += (w.now - a.reach).Seconds()
}

func (m *meter) pass(now time.Duration) {
	m.area += float64(m.inside) * (now - m.since).Seconds()
	m.since = now
}

// sample looks at some servers, once a second.
func (m *meter) sample(w *World) {
	n := len(w.servers)
	if m.tracks == nil {
		step := max((n+mostTracks-1)/mostTracks, 1)
		for i := 0; i < n; i += step {
			m.tracks = append(m.tracks, ServerTrack{Server: i, Kind: w.servers[i].spec.Kind.Name, Zone: w.servers[i].spec.Zone})
		}
	}
	if w.now > w.day.Length {
		return
	}
	for i := range m.tracks {
		t := &m.tracks[i]
		s := &w.servers[t.Server]
		state := uint8(s.State())
		switch {
		case s.State() == servermodel.Up && s.Choked():
			state = 6
		case s.State() == servermodel.Up && s.Cold(w.now):
			state = 5
		}
		t.Busy = append(t.Busy, float32(math.Round(1000*s.Busy())/1000))
		t.Holds = append(t.Holds, int16(min(s.Holds(), math.MaxInt16)))
		t.State = append(t.State, state)
	}
}

func quotient(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// result works out what came of the day.
func (w *World) result(wall time.Duration) *Result {
	m, d, t := &w.meter, w.day, w.meter.tally
	m.pass(w.now)
	p := t.Parts()
	r := &Result{
		Seed: d.Seed, Requests: t.Asked, Tries: m.Tries, Attempts: m.Attempts, Events: m.Events, Digest: m.digest, Falls: m.Falls,
		Whole: p.Whole, WorstWindow: p.WorstWindow, WorstClass: p.WorstClass, Classes: p.Classes,
		Lost: w.audit.Count(invariants.Lost), Repeated: w.audit.Count(invariants.Repeated),
		DrainBreaks: w.audit.Count(invariants.Drain), ColdFalls: w.audit.Count(invariants.Cold), Breaks: w.audit.Violations(),
		WallS: wall.Seconds(), ModuleS: m.ModuleTime.Seconds(), Seconds: t.Seconds, Servers: m.tracks,
		Handshakes: m.Opened, ListFailed: m.ListFailed, Ended: map[string]int{},
	}
	for s := piernotch.OK; s <= piernotch.NotSent; s++ {
		r.Ended[s.String()] = m.Outcomes[s]
	}
	asks := float64(t.Asked)
	r.DrainLatest = float64(w.audit.DrainLatest()/time.Microsecond) / 1000
	spent, choked := 0.0, 0
	for i := range w.servers {
		spent += w.servers[i].Spent()
		r.ColdPeak = max(r.ColdPeak, w.servers[i].ColdPeak())
		if w.servers[i].choked {
			choked++
		}
	}
	r.ServedShare = quotient(float64(t.InAim), asks)
	r.RefusedRate, r.FailedRate = quotient(float64(t.Refused), asks), quotient(float64(t.Failed), asks)
	r.WasteRate = quotient(max(spent-m.ServedWork, 0), t.AskedWork)
	r.CrossRate, r.ProbeRate = quotient(float64(m.Cross), asks), quotient(float64(m.Probes), asks)
	r.RetryRate = quotient(float64(m.Attempts-m.Firsts), asks)
	r.ChokedShare = quotient(float64(choked), float64(len(w.servers)))
	g := &d.Score
	r.Deducted = g.Waste*r.WasteRate + g.LateFail*p.LateFail + g.CrossZone*r.CrossRate + g.Probe*r.ProbeRate + g.Choke*r.ChokedShare
	r.Service = p.Service(*g, r.Deducted)
	if r.Latency = t.Latency(); r.Latency != nil {
		r.P50, r.P90, r.P99, r.P999 = t.Percentile(50), t.Percentile(90), t.Percentile(99), t.Percentile(99.9)
	}
	span := w.now.Seconds()
	r.Little = Little{Held: quotient(m.area, span), PerSec: quotient(float64(m.accepted), span), SojournS: quotient(m.sojourn, float64(m.accepted))}
	return r
}
