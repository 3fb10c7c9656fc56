package scenario

import "math"

// check checks a class, whose key with a dot is at.
func (c *Class) check(checks *checker, at string) {
	if c.Name == "" {
		checks.report(at+"name", "a name is expected")
	}
	checks.within(at+"share", c.Share, 0, math.Inf(1))
	checks.within(at+"work_ms", c.WorkMS, 1e-6, 1e9)
	checks.within(at+"cv", c.CV, 0, 20)
	checks.within(at+"attempt_cv", c.AttemptCV, 0, 5)
	checks.within(at+"aim_ms", c.AimMS, 0.001, 1e9)
	checks.within(at+"deadline_ms", c.DeadlineMS, 0.001, 1e9)
	checks.within(at+"worth", c.Worth, 0, 1e9)
	checks.within(at+"late_worth", c.LateWorth, 0, 1)
	if c.DeadlineMS.lower() < c.AimMS.upper() {
		checks.report(at+"deadline_ms", "%v, at least aim_ms (%v) is expected", c.DeadlineMS.lower(), c.AimMS.upper())
	}
	checks.oneOf(at+"dist", c.Dist, "fixed", "exponential", "lognormal", "pareto")
	checks.oneOf(at+"effect", c.Effect, "safe", "keyed", "unsafe")
	if c.Effect == "keyed" {
		checks.oneOf(at+"scope", c.Scope, "all", "zone", "cell")
		checks.within(at+"window_ms", c.WindowMS, 0.001, 1e9)
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
