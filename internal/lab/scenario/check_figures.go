package scenario

import "math"

// checkFigures checks discovery, the rules, the score and the number of drawn faults.
func (s *Scenario) checkFigures(checks *checker) {
	s.Discovery.check(checks)
	s.Rules.check(checks)
	s.Score.check(checks)
	if n := s.Draws.Faults; n.Set {
		checks.within("draw.troubles", n, 0, math.Inf(1))
	}
}

func (d *Discovery) check(checks *checker) {
	checks.withinAll("discovery.", []limits{
		{"notice_s", d.RemovalDelayS, 0, 3600},
		{"silent_notice_s", d.FailureDetectionDelayS, 0, 3600},
		{"add_s", d.AddDelayS, 0, 3600},
		{"period_ms", d.PublishIntervalMS, 0, 600000},
		{"spread_ms", d.DeliverySpreadMS, 0, 600000},
		{"calls_per_s", d.CallsPerS, 0.001, 1e9},
		{"call_lines", d.LinesPerCall, 0.001, 1e9},
		{"timeout_ms", d.TimeoutMS, 1, 600000},
	})
}

func (r *Rules) check(checks *checker) {
	checks.withinAll("rules.", []limits{
		{"answer_slack_ms", r.ResponseSlackMS, 0, 60000},
		{"ask_within_ms", r.PollIntervalMS, 1, 3600000},
		{"cold_from", r.SlowStartCapacity, 0, 1},
		{"cold_ms", r.SlowStartMS, 0, 3600000},
		{"drain_grace_ms", r.DrainGraceMS, 0, 600000},
		{"fall_multiple", r.CollapseMultiple, 0, 1000},
		{"fall_ms", r.CollapseWindowMS, 1, 600000},
		{"dial_timeout_ms", r.DialTimeoutMS, 1, 60000},
		{"probe_timeout_ms", r.HealthCheckTimeoutMS, 1, 60000},
		{"keepalive_ms", r.KeepaliveMS, 1, 3600000},
	})
}

func (g *Score) check(checks *checker) {
	checks.withinAll("score.", []limits{
		{"whole", g.WholeRun, 0, 1},
		{"worst_window", g.WorstWindow, 0, 1},
		{"worst_class", g.WorstClass, 0, 1},
		{"window_s", g.WindowS, 1, 600},
		{"waste", g.Waste, 0, 1},
		{"late_fail", g.LateFail, 0, 1},
		{"cross_zone", g.CrossZone, 0, 1},
		{"probe", g.HealthChecks, 0, 1},
		{"choke", g.Overloaded, 0, 1},
	})
	checks.oneOf("score.worth_by", g.WeightBy, "work", "request")
	sum := g.WholeRun.From + g.WorstWindow.From + g.WorstClass.From
	if math.Abs(sum-1) > 1e-6 {
		checks.report("score", "whole, worst_window and worst_class add up to %v, 1 is expected", sum)
	}
}
