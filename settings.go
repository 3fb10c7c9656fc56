package piernotch

import "fmt"

// Validate returns an error that names the first setting that cannot be used.
func (s Settings) Validate() error {
	switch {
	case s.Proxies < 1:
		return fmt.Errorf("settings: proxies is %d", s.Proxies)
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: no classes")
	case s.Zone < 0 || s.Zone >= max(1, len(s.Zones)):
		return fmt.Errorf("settings: zone %d of %d", s.Zone, len(s.Zones))
	case s.Tick < 0:
		return fmt.Errorf("settings: tick is %v", s.Tick)
	case s.Limits.MaxAttempts < 1:
		return fmt.Errorf("settings: limits: max attempts is %d", s.Limits.MaxAttempts)
	case s.Rules.Cold < 0 || s.Rules.AskWithin < 0 || s.Rules.OverloadFor < 0:
		return fmt.Errorf("settings: rules: negative time")
	case !(s.Rules.ColdFrom >= 0 && s.Rules.ColdFrom <= 1):
		return fmt.Errorf("settings: rules: cold from is %v", s.Rules.ColdFrom)
	}
	for i, c := range s.Classes {
		if c.Aim <= 0 || c.Deadline < c.Aim || c.Window < 0 {
			return fmt.Errorf("settings: classes[%d]: aim %v, deadline %v, window %v", i, c.Aim, c.Deadline, c.Window)
		}
		if !(c.Worth >= 0) || !(c.LateWorth >= 0) {
			return fmt.Errorf("settings: classes[%d]: worth %v, late worth %v", i, c.Worth, c.LateWorth)
		}
	}
	for i, t := range s.Tenants {
		if !(t.QuotaPerSec >= 0) {
			return fmt.Errorf("settings: tenants[%d]: quota is %v", i, t.QuotaPerSec)
		}
	}
	return nil
}
