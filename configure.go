package piernotch

import (
	"slices"
	"time"

	"piernotch/internal/decision/admission"
	"piernotch/internal/decision/quota"
	"piernotch/internal/decision/subscription"
)

// UpdateSettings replaces the settings, also while requests are open. If the new settings cannot be used, it
// returns a *SettingsError and changes nothing. Classes are identified by index: existing classes keep their
// index, and new classes are appended. Zones and the number of tenants cannot change. Open requests keep the
// class settings that they arrived with. A subscription to the endpoint list that is not due yet may come
// sooner.
func (b *Balancer) UpdateSettings(now time.Duration, s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	inUse := len(b.settings.Classes)
	switch {
	case len(s.Classes) < inUse:
		return settingsError("Classes", "%d classes, the %d in use must keep their places",
			len(s.Classes), inUse)
	case s.Zone != b.settings.Zone || !slices.Equal(s.Zones, b.settings.Zones):
		return settingsError("Zones", "zones cannot change while the program runs")
	case len(s.Tenants) != len(b.settings.Tenants):
		return settingsError("Tenants", "tenants cannot change while the program runs")
	}
	b.ensureStarted(now)
	// Open requests keep pointers into the slice, so it must not be the caller's.
	s.Classes = slices.Clone(s.Classes)
	b.settings = s
	b.deriveFromSettings()
	b.subscription.Hasten(now, b.rng)
	for _, target := range b.endpoints.sorted {
		target.classFailures.Grow(len(s.Classes))
	}
	return nil
}

// deriveFromSettings computes the values that depend on the settings, and configures the components.
func (b *Balancer) deriveFromSettings() {
	s := &b.settings
	b.shortestObjective = s.Classes[0].LatencyObjective
	for _, c := range s.Classes {
		b.shortestObjective = min(b.shortestObjective, c.LatencyObjective)
	}
	perObjective := time.Duration(float64(b.shortestObjective) / ticksPerObjective)
	b.tickInterval = max(s.Tick, min(perObjective, maxTickInterval))
	b.subscription.Configure(subscription.Options{
		Subscribe: s.PollDiscovery, PollInterval: s.Rules.PollInterval,
	})
	b.maxSpillers = max(minSpillers, spillerShare*float64(s.BalancerCount))
	b.slowStart = b.newSlowStart()
	b.levels = selectionLevels(s.BalancerCount)
	b.workload.EnsureClasses(len(s.Classes))
	b.retryBudget.Configure(s.Limits.MaxAttempts)
	b.quotas.Configure(quota.Options{PerSecond: s.quotasPerSecond(), BalancerCount: s.BalancerCount})
	b.admission.Configure(b.admissionOptions())
	b.updateExpectedWork()
}

// admissionOptions returns the options of admission from the settings. shortestObjective and tickInterval
// must have been updated before the call.
func (b *Balancer) admissionOptions() admission.Options {
	s := &b.settings
	options := admission.Options{
		ShortestObjective: b.shortestObjective,
		TickInterval:      b.tickInterval,
		OverQuotaWeight:   s.OverQuotaWeight,
		WeightPerRequest:  s.WeightPerRequest,
		PreventStarvation: b.manyBalancers(),
		AdviseRetryAfter:  s.Limits.RetryAfter,
		MaxRetryAfter:     s.Limits.MaxRetryAfter,
	}
	for _, class := range s.Classes {
		options.ClassWeights = append(options.ClassWeights, class.PriorityWeight)
	}
	return options
}

func (s *Settings) quotasPerSecond() []float64 {
	var quotas []float64
	for _, tenant := range s.Tenants {
		quotas = append(quotas, tenant.QuotaPerSec)
	}
	return quotas
}
