package scenario

import "math"

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
