package scenario

import "math"

// check checks a kind, whose key with a dot is at.
func (k *Kind) check(c *checker, at string) {
	if k.Name == "" {
		c.report(at+"name", "a name is expected")
	}
	if k.Cores < 1 || k.Cores > 4096 {
		c.report(at+"cores", "%d, a number from 1 to 4096 is expected", k.Cores)
	}
	c.withinAll(at, k.limits())
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

// limits returns the limits of the keys that are ranges.
func (k *Kind) limits() []limits {
	return []limits{
		{"share", k.Share, 0, math.Inf(1)},
		{"speed", k.Speed, 0.001, 1000},
		{"speed_cv", k.SpeedCV, 0, 1},
		{"slots_per_core", k.SlotsPerCore, 0.001, 1e6},
		{"queue_per_core", k.QueuePerCore, 0, 1e9},
		{"thrash", k.Thrash, 0, 0.99},
		{"thrash_at", k.ThrashAt, 0, math.Inf(1)},
		{"cold_from", k.ColdFrom, 0, 1},
		{"cold_s", k.ColdS, 0, 3600},
		{"pause_every_s", k.PauseEveryS, 0, 3600},
		{"pause_ms", k.PauseMS, 0, 600000},
		{"pause_grow", k.PauseGrow, 0, 100},
		{"error_rate", k.ErrorRate, 0, 1},
		{"choke_at", k.ChokeAt, 0, math.Inf(1)},
		{"choke_over_s", k.ChokeOverS, 0, 3600},
		{"choke_slower", k.ChokeSlower, 0, 1000},
		{"choke_below", k.ChokeBelow, 0, 1},
		{"choke_rest_s", k.ChokeRestS, 0, 3600},
		{"choke_most_s", k.ChokeMostS, 0, 3600},
		{"key_gain", k.KeyGain, 0, 0.99},
		{"key_s", k.KeyS, 0, 3600},
		{"keys_per_core", k.KeysPerCore, 0, 1e6},
		{"handshake_ms", k.HandshakeMS, 0, 10000},
		{"handshake_rtts", k.HandshakeRTTs, 0, 10},
		{"connections_per_core", k.ConnPerCore, 0, 1e9},
		{"connection_tax", k.ConnTax, 0, 0.99},
		{"probe_ms", k.ProbeMS, 0, 10000},
		{"report_every_ms", k.ReportEveryMS, 0, 600000},
		{"report_delay_ms", k.ReportDelayMS, 0, 600000},
		{"report_noise", k.ReportNoise, 0, 10},
	}
}
