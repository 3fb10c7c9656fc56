package scenario

import "math"

// check checks a class, whose key with a dot is the prefix.
func (c *Class) check(checks *checker, prefix string) {
	if c.Name == "" {
		checks.report(prefix+"name", "a name is expected")
	}
	checks.within(prefix+"share", c.Share, 0, math.Inf(1))
	checks.within(prefix+"work_ms", c.WorkMS, 1e-6, 1e9)
	checks.within(prefix+"cv", c.CV, 0, 20)
	checks.within(prefix+"attempt_cv", c.AttemptCV, 0, 5)
	checks.within(prefix+"aim_ms", c.LatencyObjectiveMS, 0.001, 1e9)
	checks.within(prefix+"deadline_ms", c.DeadlineMS, 0.001, 1e9)
	checks.within(prefix+"worth", c.PriorityWeight, 0, 1e9)
	checks.within(prefix+"late_worth", c.LateWeightShare, 0, 1)
	if c.DeadlineMS.lower() < c.LatencyObjectiveMS.upper() {
		checks.report(
			prefix+"deadline_ms",
			"%v, at least aim_ms (%v) is expected",
			c.DeadlineMS.lower(),
			c.LatencyObjectiveMS.upper(),
		)
	}
	checks.oneOf(prefix+"dist", c.Dist, "fixed", "exponential", "lognormal", "pareto")
	checks.oneOf(prefix+"effect", c.RetrySafety, "safe", "keyed", "unsafe")
	if c.RetrySafety == "keyed" {
		checks.oneOf(prefix+"scope", c.DedupScope, "all", "zone", "cell")
		checks.within(prefix+"window_ms", c.DedupWindowMS, 0.001, 1e9)
	}
}

// checkTraffic checks the traffic and the clients.
func (s *Scenario) checkTraffic(checks *checker) {
	traffic := &s.Traffic
	checks.within("traffic.load", traffic.Load, 0, 100)
	checks.within("traffic.rate_per_s", traffic.RatePerS, 0, 1e7)
	checks.oneOf("traffic.shape", traffic.Shape, "steady", "waves", "bursty")
	checks.within("traffic.swing", traffic.Amplitude, 0, 1)
	checks.within("traffic.period_s", traffic.PeriodS, 0.01, 3600)
	checks.within("traffic.zone_skew", traffic.ZoneSkew, 0, 1)
	checks.within("traffic.keys", traffic.Keys, 0, 1e7)
	checks.within("traffic.key_zipf", traffic.KeyZipf, 0, 10)
	checks.oneOf("traffic.hints", traffic.Hints, "none", "rough", "exact")
	checks.within("traffic.hint_cv", traffic.HintCV, 0, 10)
	checks.within("clients.retries", s.Clients.Retries, 0, 20)
	checks.within("clients.backoff_ms", s.Clients.BackoffMS, 0, 600000)
	checks.within("clients.try_share", s.Clients.AttemptTimeoutShare, 0.001, 1)
	checks.within("clients.honour", s.Clients.RetryAfterShare, 0, 1)
	checks.within("clients.impatient", s.Clients.EarlyDisconnectShare, 0, 1)
	if traffic.Trace == "" && len(s.Classes) == 0 {
		checks.report("class", "one class at least is expected")
	}
}
