package piernotch

import "fmt"

// SettingsError reports a setting that cannot be used.
type SettingsError struct {
	Setting string // field of Settings, such as "Limits.MaxAttempts" or "Classes[1]"
	Problem string // what is wrong with the setting; includes the value in most cases
}

// Error returns "settings: " and the problem, which names the setting as operators know it.
func (e *SettingsError) Error() string { return "settings: " + e.Problem }

func settingsError(setting, problem string, args ...any) error {
	return &SettingsError{Setting: setting, Problem: fmt.Sprintf(problem, args...)}
}

// Validate returns a *SettingsError for the first setting that cannot be used, or nil if there is none.
func (s Settings) Validate() error {
	switch {
	case s.BalancerCount < 1:
		return settingsError("BalancerCount", "balancer count is %d, at least 1 is needed", s.BalancerCount)
	case len(s.Classes) == 0:
		return settingsError("Classes", "no classes")
	case s.Zone < 0 || s.Zone >= max(1, len(s.Zones)):
		return settingsError("Zone", "zone %d of %d", s.Zone, len(s.Zones))
	case s.Tick < 0:
		return settingsError("Tick", "tick is %v", s.Tick)
	case s.Limits.MaxAttempts < 1:
		return settingsError("Limits.MaxAttempts", "limits: max attempts is %d", s.Limits.MaxAttempts)
	case s.Rules.SlowStartDuration < 0 || s.Rules.PollInterval < 0 || s.Rules.OverloadWindow < 0:
		return settingsError("Rules", "rules: a time is negative")
	case !(s.Rules.SlowStartCapacity >= 0 && s.Rules.SlowStartCapacity <= 1):
		return settingsError("Rules.SlowStartCapacity", "rules: slow start capacity is %v",
			s.Rules.SlowStartCapacity)
	}
	for i, c := range s.Classes {
		if err := c.validate(i); err != nil {
			return err
		}
	}
	for i, t := range s.Tenants {
		if !(t.QuotaPerSec >= 0) {
			return settingsError(fmt.Sprintf("Tenants[%d]", i), "tenants[%d]: quota is %v", i, t.QuotaPerSec)
		}
	}
	return nil
}

// validate returns a *SettingsError if the class, at index i of Settings.Classes, cannot be used.
func (c Class) validate(i int) error {
	setting := fmt.Sprintf("Classes[%d]", i)
	if c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective || c.DedupWindow < 0 {
		return settingsError(setting,
			"classes[%d]: latency objective %v, deadline %v, deduplication window %v",
			i, c.LatencyObjective, c.Deadline, c.DedupWindow)
	}
	if !(c.PriorityWeight >= 0) || !(c.LateWeightShare >= 0) {
		return settingsError(setting, "classes[%d]: priority weight %v, late weight share %v",
			i, c.PriorityWeight, c.LateWeightShare)
	}
	return nil
}
