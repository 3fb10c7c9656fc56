package scenario

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
)

// Limits of what can be asked for: they keep a slip of the pen from eating the
// machine.
const (
	MostServers   = 20000
	MostBalancers = 5000
	MostLength    = 3600.0 // s
)

// TroubleKinds names the kinds of trouble and what they need.
var TroubleKinds = map[string]string{
	"slow":             "part of the servers run size times slower",
	"pauses":           "part of the servers stand still for size ms, every every_s",
	"report_late":      "load reports come size s later",
	"burst":            "size times the traffic, rising and falling over ramp_s",
	"heavy_tail":       "part of one class's requests (class; or of all) cost size times the work",
	"shrink":           "the fleet shrinks by 1/size over for_s, and traffic with it; a server drains for ramp_s",
	"leave":            "part of the servers drain and go over for_s; traffic stays",
	"join":             "new servers, part of the fleet's number, start over for_s",
	"replace":          "part of the servers are replaced by new ones under new ids over for_s",
	"takeover":         "part of the servers crash over for_s, and after ramp_s new ones under new ids come up at their addresses",
	"restart":          "part of the servers drain, end and start again, cold, over for_s",
	"crash":            "part of the servers crash at once and start again, cold, after for_s",
	"vanish":           "part of the servers fall silent, and start again, cold, after for_s",
	"balancer_crash":   "part of the balancers are killed at once and start again after for_s",
	"balancer_restart": "part of the balancers are restarted one after the other, every_s apart, each away for for_s",
	"choke":            "part of the servers are choked at once, as if overrun",
	"spoil":            "part of the answers come spoilt or with more than belongs to them; in the model they are errors",
	"rude":             "size clients a second send what is no request, or nothing; on sockets only",
	"list_loss":        "the list says by mistake that part of the servers are gone, and has them again after for_s",
	"roster_move":      "discovery moves to another address, and balancers are told by a reload",
	"discovery_outage": "discovery answers nothing and its watches end",
	"discovery_late":   "discovery learns of changes size s later",
}

// checker collects problems with the places where the values were set.
type checker struct {
	s     *Scenario
	found Problems
}

func (c *checker) report(key, format string, args ...any) {
	p := Problem{Key: key, What: fmt.Sprintf(format, args...)}
	for k := key; k != ""; { // the key itself, or the table that lacks it
		if at, ok := c.s.origin[k]; ok {
			p.File, p.Line = at.file, at.line
			break
		}
		cut := strings.LastIndex(k, ".")
		k = k[:max(cut, 0)]
	}
	c.found = append(c.found, p)
}

// within wants a range's two ends between two bounds.
func (c *checker) within(key string, r Range, lo, hi float64) {
	if r.bad != "" {
		c.report(key, "%s, a number or [from, to] is expected", r.bad)
		return
	}
	for _, v := range []float64{r.From, r.To} {
		if math.IsNaN(v) || v < lo || v > hi {
			if math.IsInf(hi, 1) {
				c.report(key, "%v, at least %v is expected", v, lo)
			} else {
				c.report(key, "%v, a value from %v to %v is expected", v, lo, hi)
			}
			return
		}
	}
}

func (c *checker) oneOf(key, value string, of ...string) {
	if !slices.Contains(of, value) {
		c.report(key, "%q, one of %s is expected", value, strings.Join(of, ", "))
	}
}

// Check returns everything that is wrong with a scenario, by file and line.
func (s *Scenario) Check() Problems {
	c := &checker{s: s}
	inf := math.Inf(1)
	c.within("length_s", s.LengthS, 1, MostLength)
	c.within("tick_ms", s.TickMS, 0.1, 1000)
	s.checkSite(c, inf)
	for i := range s.Kinds {
		s.Kinds[i].check(c, fmt.Sprintf("kind[%d].", i), inf)
	}
	for i := range s.Classes {
		s.Classes[i].check(c, fmt.Sprintf("class[%d].", i), inf)
	}
	s.checkTraffic(c, inf)
	s.checkFigures(c, inf)
	for i := range s.Troubles {
		s.checkTrouble(c, fmt.Sprintf("trouble[%d].", i), &s.Troubles[i], inf)
	}
	sort.SliceStable(c.found, func(i, j int) bool { return c.found[i].Line < c.found[j].Line })
	return c.found
}

func (s *Scenario) checkSite(c *checker, inf float64) {
	if n := len(s.Zones.Names); n < 1 || n > 200 {
		c.report("zones.names", "%d zones, 1 to 200 are expected", n)
	}
	if n := len(s.Zones.Servers); n > 0 && n != len(s.Zones.Names) {
		c.report("zones.servers", "%d shares for %d zones", n, len(s.Zones.Names))
	}
	total := 0.0
	for _, v := range s.Zones.Servers {
		if !(v >= 0) {
			c.report("zones.servers", "%v is no share", v)
		}
		total += v
	}
	if len(s.Zones.Servers) > 0 && total == 0 {
		c.report("zones.servers", "one zone at least needs a share above 0")
	}
	c.within("zones.same_ms", s.Zones.SameMS, 0, 10000)
	c.within("zones.cross_ms", s.Zones.CrossMS, 0, 10000)
	c.within("zones.client_ms", s.Zones.ClientMS, 0, 10000)
	c.within("zones.jitter", s.Zones.Jitter, 0, 10)
	if s.Balancers.Count < 1 || s.Balancers.Count > MostBalancers {
		c.report("balancers.count", "%d, a number from 1 to %d is expected", s.Balancers.Count, MostBalancers)
	}
	if s.Balancers.MaxAttempts < 1 || s.Balancers.MaxAttempts > 8 {
		c.report("balancers.max_attempts", "%d, a number from 1 to 8 is expected", s.Balancers.MaxAttempts)
	}
	c.within("balancers.start_spread_ms", s.Balancers.StartSpreadMS, 0, 600000)
	c.within("balancers.max_retry_after_ms", s.Balancers.MaxRetryAfterMS, 0, 600000)
	c.within("balancers.front_notice_s", s.Balancers.FrontNoticeS, 0, 600)
	if s.Fleet.Servers < 0 || s.Fleet.Servers > MostServers {
		c.report("fleet.servers", "%d, a number from 0 to %d is expected", s.Fleet.Servers, MostServers)
	}
	if s.Fleet.Cells < 1 {
		c.report("fleet.cell_size", "%d, at least 1 is expected", s.Fleet.Cells)
	}
	c.oneOf("fleet.weights", s.Fleet.Weights, "none", "nominal", "rough")
	c.within("fleet.rough_cv", s.Fleet.RoughCV, 0, 3)
	share := 0.0
	for _, k := range s.Kinds {
		share += k.Share.lower()
	}
	if s.Fleet.Servers > 0 && !(share > 0) {
		c.report("kind", "servers are asked for, but no kind has a share above 0")
	}
}

func (k *Kind) check(c *checker, at string, inf float64) {
	if k.Name == "" {
		c.report(at+"name", "a name is expected")
	}
	if k.Cores < 1 || k.Cores > 4096 {
		c.report(at+"cores", "%d, a number from 1 to 4096 is expected", k.Cores)
	}
	for _, f := range []struct {
		key    string
		r      Range
		lo, hi float64
	}{
		{"share", k.Share, 0, inf}, {"speed", k.Speed, 0.001, 1000}, {"speed_cv", k.SpeedCV, 0, 1},
		{"slots_per_core", k.SlotsPerCore, 0.001, 1e6}, {"queue_per_core", k.QueuePerCore, 0, 1e9},
		{"thrash", k.Thrash, 0, 0.99}, {"thrash_at", k.ThrashAt, 0, inf},
		{"cold_from", k.ColdFrom, 0, 1}, {"cold_s", k.ColdS, 0, 3600},
		{"pause_every_s", k.PauseEveryS, 0, 3600}, {"pause_ms", k.PauseMS, 0, 600000}, {"pause_grow", k.PauseGrow, 0, 100},
		{"error_rate", k.ErrorRate, 0, 1}, {"choke_at", k.ChokeAt, 0, inf}, {"choke_over_s", k.ChokeOverS, 0, 3600},
		{"choke_slower", k.ChokeSlower, 0, 1000}, {"choke_below", k.ChokeBelow, 0, 1}, {"choke_rest_s", k.ChokeRestS, 0, 3600},
		{"choke_most_s", k.ChokeMostS, 0, 3600}, {"key_gain", k.KeyGain, 0, 0.99}, {"key_s", k.KeyS, 0, 3600},
		{"keys_per_core", k.KeysPerCore, 0, 1e6}, {"handshake_ms", k.HandshakeMS, 0, 10000},
		{"handshake_rtts", k.HandshakeRTTs, 0, 10}, {"connections_per_core", k.ConnPerCore, 0, 1e9},
		{"connection_tax", k.ConnTax, 0, 0.99}, {"probe_ms", k.ProbeMS, 0, 10000},
		{"report_every_ms", k.ReportEveryMS, 0, 600000}, {"report_delay_ms", k.ReportDelayMS, 0, 600000},
		{"report_noise", k.ReportNoise, 0, 10},
	} {
		c.within(at+f.key, f.r, f.lo, f.hi)
	}
	if k.ChokeAt.upper() > 0 && k.ChokeSlower.lower() < 1 {
		c.report(at+"choke_slower", "%v, 1 or more is expected where choke_at is set", k.ChokeSlower.lower())
	}
	if k.ColdS.upper() > 0 && k.ColdFrom.lower() <= 0 {
		c.report(at+"cold_from", "above 0 is expected where cold_s is set")
	}
	if k.PauseMS.upper() > 0 && k.PauseEveryS.lower()*1000 <= k.PauseMS.upper() {
		c.report(at+"pause_every_s", "more than pause_ms is expected")
	}
	c.oneOf(at+"warm_by", k.WarmBy, "time", "work")
	c.oneOf(at+"cancel", k.Cancel, "queued", "all", "any")
	c.oneOf(at+"drops_expired", k.DropExpired, "no", "yes", "any")
}

func (k *Class) check(c *checker, at string, inf float64) {
	if k.Name == "" {
		c.report(at+"name", "a name is expected")
	}
	c.within(at+"share", k.Share, 0, inf)
	c.within(at+"work_ms", k.WorkMS, 1e-6, 1e9)
	c.within(at+"cv", k.CV, 0, 20)
	c.within(at+"attempt_cv", k.AttemptCV, 0, 5)
	c.within(at+"aim_ms", k.AimMS, 0.001, 1e9)
	c.within(at+"deadline_ms", k.DeadlineMS, 0.001, 1e9)
	c.within(at+"worth", k.Worth, 0, 1e9)
	c.within(at+"late_worth", k.LateWorth, 0, 1)
	if k.DeadlineMS.lower() < k.AimMS.upper() {
		c.report(at+"deadline_ms", "%v, at least aim_ms (%v) is expected", k.DeadlineMS.lower(), k.AimMS.upper())
	}
	c.oneOf(at+"dist", k.Dist, "fixed", "exponential", "lognormal", "pareto")
	c.oneOf(at+"effect", k.Effect, "safe", "keyed", "unsafe")
	if k.Effect == "keyed" {
		c.oneOf(at+"scope", k.Scope, "all", "zone", "cell")
		c.within(at+"window_ms", k.WindowMS, 0.001, 1e9)
	}
}

func (s *Scenario) checkTraffic(c *checker, inf float64) {
	t := &s.Traffic
	c.within("traffic.load", t.Load, 0, 100)
	c.within("traffic.rate_per_s", t.RatePerS, 0, 1e7)
	c.oneOf("traffic.shape", t.Shape, "steady", "waves", "bursty")
	c.within("traffic.swing", t.Swing, 0, 1)
	c.within("traffic.period_s", t.PeriodS, 0.01, 3600)
	c.within("traffic.zone_skew", t.ZoneSkew, 0, 1)
	c.within("traffic.keys", t.Keys, 0, 1e7)
	c.within("traffic.key_zipf", t.KeyZipf, 0, 10)
	c.oneOf("traffic.hints", t.Hints, "none", "rough", "exact")
	c.within("traffic.hint_cv", t.HintCV, 0, 10)
	c.within("clients.retries", s.Clients.Retries, 0, 20)
	c.within("clients.backoff_ms", s.Clients.BackoffMS, 0, 600000)
	c.within("clients.try_share", s.Clients.TryShare, 0.001, 1)
	c.within("clients.honour", s.Clients.Honour, 0, 1)
	c.within("clients.impatient", s.Clients.Impatient, 0, 1)
	if t.Trace == "" && len(s.Classes) == 0 {
		c.report("class", "one class at least is expected")
	}
}

func (s *Scenario) checkFigures(c *checker, inf float64) {
	d, r, g := &s.Discovery, &s.Rules, &s.Score
	for _, f := range []struct {
		key    string
		r      Range
		lo, hi float64
	}{
		{"discovery.notice_s", d.NoticeS, 0, 3600}, {"discovery.silent_notice_s", d.SilentS, 0, 3600},
		{"discovery.add_s", d.AddS, 0, 3600}, {"discovery.period_ms", d.PeriodMS, 0, 600000},
		{"discovery.spread_ms", d.SpreadMS, 0, 600000}, {"discovery.calls_per_s", d.CallsPerS, 0.001, 1e9},
		{"discovery.call_lines", d.CallLines, 0.001, 1e9}, {"discovery.timeout_ms", d.TimeoutMS, 1, 600000},
		{"rules.answer_slack_ms", r.AnswerSlackMS, 0, 60000}, {"rules.ask_within_ms", r.AskWithinMS, 1, 3600000},
		{"rules.cold_from", r.ColdFrom, 0, 1}, {"rules.cold_ms", r.ColdMS, 0, 3600000},
		{"rules.drain_grace_ms", r.DrainGraceMS, 0, 600000}, {"rules.fall_multiple", r.FallMultiple, 0, 1000},
		{"rules.fall_ms", r.FallMS, 1, 600000}, {"rules.dial_timeout_ms", r.DialTimeoutMS, 1, 60000},
		{"rules.probe_timeout_ms", r.ProbeTimeoutMS, 1, 60000}, {"rules.keepalive_ms", r.KeepaliveMS, 1, 3600000},
		{"score.whole", g.Whole, 0, 1}, {"score.worst_window", g.WorstWindow, 0, 1}, {"score.worst_class", g.WorstClass, 0, 1},
		{"score.window_s", g.WindowS, 1, 600}, {"score.waste", g.Waste, 0, 1}, {"score.late_fail", g.LateFail, 0, 1},
		{"score.cross_zone", g.CrossZone, 0, 1}, {"score.probe", g.Probe, 0, 1}, {"score.choke", g.Choke, 0, 1},
	} {
		c.within(f.key, f.r, f.lo, f.hi)
	}
	c.oneOf("score.worth_by", g.WorthBy, "work", "request")
	if sum := g.Whole.From + g.WorstWindow.From + g.WorstClass.From; math.Abs(sum-1) > 1e-6 {
		c.report("score", "whole, worst_window and worst_class add up to %v, 1 is expected", sum)
	}
	if n := s.Draws.Troubles; n.Set {
		c.within("draw.troubles", n, 0, inf)
	}
}

func (s *Scenario) checkTrouble(c *checker, at string, t *Trouble, inf float64) {
	if _, ok := TroubleKinds[t.Kind]; !ok {
		names := make([]string, 0, len(TroubleKinds))
		for n := range TroubleKinds {
			names = append(names, n)
		}
		slices.Sort(names)
		c.oneOf(at+"kind", t.Kind, names...)
		return
	}
	c.within(at+"at_s", t.AtS, 0, MostLength)
	c.within(at+"for_s", t.ForS, 0, MostLength)
	c.within(at+"part", t.Part, 0, 1)
	c.within(at+"size", t.Size, 0, 1e6)
	c.within(at+"every_s", t.EveryS, 0, 3600)
	c.within(at+"ramp_s", t.RampS, 0, 3600)
	need := func(key string, r Range) {
		if !r.Set || r.upper() == 0 {
			c.report(at+key, "%s needs it: %s", t.Kind, TroubleKinds[t.Kind])
		}
	}
	switch t.Kind {
	case "slow", "heavy_tail":
		need("part", t.Part)
		need("size", t.Size)
	case "pauses":
		need("part", t.Part)
		need("size", t.Size)
		need("every_s", t.EveryS)
		if t.EveryS.lower()*1000 <= t.Size.upper() {
			c.report(at+"every_s", "more than size (%v ms) is expected", t.Size.upper())
		}
	case "report_late", "burst", "discovery_late", "rude":
		need("size", t.Size)
	case "shrink":
		if t.Size.lower() < 1 {
			c.report(at+"size", "%v, 1 or more is expected", t.Size.lower())
		}
	case "discovery_outage", "roster_move":
	default:
		need("part", t.Part)
	}
	if t.Class != "" && !slices.ContainsFunc(s.Classes, func(k Class) bool { return k.Name == t.Class }) {
		c.report(at+"class", "%q is no class", t.Class)
	}
	if t.Zone != "" && !slices.Contains(s.Zones.Names, t.Zone) {
		c.report(at+"zone", "%q is no zone", t.Zone)
	}
}

// defaults is a small plain site: what a file leaves out.
func defaults() *Scenario {
	f := Fixed
	return &Scenario{
		LengthS: f(60), TickMS: f(5),
		Zones:     Zones{Names: []string{"zone"}, SameMS: f(0.2), CrossMS: f(10), ClientMS: f(0.5), Jitter: f(0.2)},
		Balancers: Balancers{Count: 4, MaxAttempts: 4, SecondCopies: true, Cancel: true, Probes: true, MaxRetryAfterMS: f(2000), FrontNoticeS: f(2)},
		Fleet:     Fleet{Servers: 12, Cells: 8, Weights: "rough", RoughCV: f(0.15)},
		Traffic:   Traffic{Load: f(0.5), Shape: "steady", PeriodS: f(10), Hints: "rough", HintCV: f(0.5)},
		Clients:   Clients{Retries: f(2), BackoffMS: f(200), TryShare: f(0.7)},
		Discovery: Discovery{NoticeS: f(2), SilentS: f(10), AddS: f(1), PeriodMS: f(500), SpreadMS: f(50),
			CallsPerS: f(20), CallLines: f(50), TimeoutMS: f(3000)},
		Rules: Rules{AnswerSlackMS: f(20), AskWithinMS: f(10000), ColdFrom: f(0.12), ColdMS: f(24000), DrainGraceMS: f(2000),
			FallMultiple: f(2.5), FallMS: f(2000), DialTimeoutMS: f(250), ProbeTimeoutMS: f(500), KeepaliveMS: f(60000)},
		Score: Score{Whole: f(0.45), WorstWindow: f(0.45), WorstClass: f(0.1), WindowS: f(10), WorthBy: "work",
			Waste: f(0.05), LateFail: f(0.05), CrossZone: f(0.03), Probe: f(0.01), Choke: f(0.08)},
	}
}
