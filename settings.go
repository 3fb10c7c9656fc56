package piernotch

import "fmt"

// Validate returns an error that names the first setting that cannot be used.
func (s Settings) Validate() error {
	switch {
	case s.BalancerCount < 1:
		return fmt.Errorf("settings: proxies is %d", s.BalancerCount)
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: no classes")
	case s.Zone < 0 || s.Zone >= max(1, len(s.Zones)):
		return fmt.Errorf("settings: zone %d of %d", s.Zone, len(s.Zones))
	case s.Tick < 0:
		return fmt.Errorf("settings: tick is %v", s.Tick)
	case s.Limits.MaxAttempts < 1:
		return fmt.Errorf("settings: limits: max attempts is %d", s.Limits.MaxAttempts)
	case s.Rules.SlowStartDuration < 0 || s.Rules.PollInterval < 0 || s.Rules.OverloadWindow < 0:
		return fmt.Errorf("settings: rules: negative time")
	case !(s.Rules.SlowStartCapacity >= 0 && s.Rules.SlowStartCapacity <= 1):
		return fmt.Errorf("settings: rules: cold from is %v", s.Rules.SlowStartCapacity)
	}
	for i, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective || c.DedupWindow < 0 {
			return fmt.Errorf("settings: classes[%d]: aim %v, deadline %v, window %v", i, c.LatencyObjective, c.Deadline, c.DedupWindow)
		}
		if !(c.PriorityWeight >= 0) || !(c.LateWeightShare >= 0) {
			return fmt.Errorf("settings: classes[%d]: worth %v, late worth %v", i, c.PriorityWeight, c.LateWeightShare)
		}
	}
	for i, t := range s.Tenants {
		if !(t.QuotaPerSec >= 0) {
			return fmt.Errorf("settings: tenants[%d]: quota is %v", i, t.QuotaPerSec)
		}
	}
	return nil
}
