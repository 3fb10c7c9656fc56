package scenario

import "math"

// check checks a kind, whose key with a dot is the prefix.
func (k *Kind) check(checks *checker, prefix string) {
	if k.Name == "" {
		checks.report(prefix+"name", "a name is expected")
	}
	if k.Cores < 1 || k.Cores > 4096 {
		checks.report(prefix+"cores", "%d, a number from 1 to 4096 is expected", k.Cores)
	}
	checks.withinAll(prefix, k.limits())
	if k.OverloadQueuePerCore.upper() > 0 && k.OverloadSlowdown.lower() < 1 {
		checks.report(
			prefix+"choke_slower",
			"%v, 1 or more is expected where choke_at is set",
			k.OverloadSlowdown.lower(),
		)
	}
	if k.SlowStartS.upper() > 0 && k.SlowStartCapacity.lower() <= 0 {
		checks.report(prefix+"cold_from", "above 0 is expected where cold_s is set")
	}
	if k.PauseMS.upper() > 0 && k.PauseEveryS.lower()*1000 <= k.PauseMS.upper() {
		checks.report(prefix+"pause_every_s", "more than pause_ms is expected")
	}
	checks.oneOf(prefix+"warm_by", k.WarmUpBy, "time", "work")
	checks.oneOf(prefix+"cancel", k.Cancel, "queued", "all", "any")
	checks.oneOf(prefix+"drops_expired", k.DropExpired, "no", "yes", "any")
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
		{"cold_from", k.SlowStartCapacity, 0, 1},
		{"cold_s", k.SlowStartS, 0, 3600},
		{"pause_every_s", k.PauseEveryS, 0, 3600},
		{"pause_ms", k.PauseMS, 0, 600000},
		{"pause_grow", k.PauseGrow, 0, 100},
		{"error_rate", k.ErrorRate, 0, 1},
		{"choke_at", k.OverloadQueuePerCore, 0, math.Inf(1)},
		{"choke_over_s", k.OverloadAfterS, 0, 3600},
		{"choke_slower", k.OverloadSlowdown, 0, 1000},
		{"choke_below", k.OverloadIdleBelow, 0, 1},
		{"choke_rest_s", k.OverloadIdleForS, 0, 3600},
		{"choke_most_s", k.OverloadMaxS, 0, 3600},
		{"key_gain", k.KeyWorkSaved, 0, 0.99},
		{"key_s", k.KeyWarmForS, 0, 3600},
		{"keys_per_core", k.KeysPerCore, 0, 1e6},
		{"handshake_ms", k.HandshakeMS, 0, 10000},
		{"handshake_rtts", k.HandshakeRTTs, 0, 10},
		{"connections_per_core", k.ConnectionsPerCore, 0, 1e9},
		{"connection_tax", k.ConnectionTax, 0, 0.99},
		{"probe_ms", k.HealthCheckMS, 0, 10000},
		{"report_every_ms", k.ReportEveryMS, 0, 600000},
		{"report_delay_ms", k.ReportDelayMS, 0, 600000},
		{"report_noise", k.ReportNoise, 0, 10},
	}
}
