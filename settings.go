package piernotch

import (
	"fmt"
	"slices"
	"time"
)

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

// UpdateSettings takes other settings while requests are under way, or none of them and an error that
// names the one it cannot take. A class keeps its index: those of s must be the present ones,
// in their places, and new ones after them. Requests under way keep the class they came with.
func (b *Balancer) UpdateSettings(now time.Duration, s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	switch {
	case len(s.Classes) < len(b.settings.Classes):
		return fmt.Errorf("settings: %d classes, the %d in use must keep their places", len(s.Classes), len(b.settings.Classes))
	case s.Zone != b.settings.Zone || !slices.Equal(s.Zones, b.settings.Zones):
		return fmt.Errorf("settings: zones cannot change while the program runs")
	case len(s.Tenants) != len(b.settings.Tenants):
		return fmt.Errorf("settings: tenants cannot change while the program runs")
	}
	b.ensureStarted(now)
	s.Classes = slices.Clone(s.Classes) // requests point to theirs
	b.settings = s
	b.deriveFromSettings()
	for _, to := range b.sorted {
		for len(to.failureShare) < len(s.Classes) {
			to.failureShare, to.lastSentAt = append(to.failureShare, 0), append(to.lastSentAt, 0)
		}
	}
	return nil
}

// deriveFromSettings derives from the settings what the decisions go by.
func (b *Balancer) deriveFromSettings() {
	s := &b.settings
	b.shortestObjective = s.Classes[0].LatencyObjective
	for _, c := range s.Classes {
		b.shortestObjective = min(b.shortestObjective, c.LatencyObjective)
	}
	b.maxSpillers = max(minSpillers, spillerShare*float64(s.BalancerCount))
	b.slowStartWindow = 0
	if b.manyBalancers() {
		b.slowStartWindow = s.Rules.OverloadWindow / slowStartWindows
	}
	// A zone counts as empty when each of its backends holds its bound of this proxy's
	// requests: what would queue there unseen waits here instead, where it can still go to
	// whichever backend is free first. The bounds are small, for a backend is crowded by all
	// proxies together: elsewhere, the fewer may spill there, the more each of them may.
	b.levels = []level{{0, 1}, {0, 2}, {1, 1}}
	for depth := 2.0; depth*float64(s.BalancerCount-1) <= minSpillers && depth < minSpillers; depth++ {
		b.levels = append(b.levels, level{1, depth})
	}
	b.tickInterval = max(s.Tick, time.Duration(float64(b.shortestObjective)/ticksPerObjective))
	b.watchBackoff = s.Rules.PollInterval / 8
	for len(b.fastAnswers) < len(s.Classes) {
		b.fastAnswers = append(b.fastAnswers, 0)
	}
	b.buildPriorities()
}
