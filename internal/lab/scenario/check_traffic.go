package scenario

import "math"

// check checks a class, whose key with a dot is at.
func (k *Class) check(c *checker, at string) {
	if k.Name == "" {
		c.report(at+"name", "a name is expected")
	}
	c.within(at+"share", k.Share, 0, math.Inf(1))
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

// checkTraffic checks the traffic and the clients.
func (s *Scenario) checkTraffic(c *checker) {
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
