package piernotch

import (
	"fmt"
	"slices"
	"time"

	"piernotch/internal/decision/admission"
	"piernotch/internal/decision/quota"
	"piernotch/internal/decision/subscription"
)

// SettingsError is a setting that cannot be used.
type SettingsError struct {
	Setting string // the field of Settings, as in "Limits.MaxAttempts" or "Classes[1]"
	Problem string // with the offending value
}

// Error returns the problem. It names the setting in the operators' terms.
func (e *SettingsError) Error() string { return "settings: " + e.Problem }

func settingsError(setting, problem string, args ...any) error {
	return &SettingsError{Setting: setting, Problem: fmt.Sprintf(problem, args...)}
}

// Validate returns a *SettingsError for the first setting that cannot be used, or nil.
func (s Settings) Validate() error {
	switch {
	case s.BalancerCount < 1:
		return settingsError("BalancerCount", "proxies is %d", s.BalancerCount)
	case len(s.Classes) == 0:
		return settingsError("Classes", "no classes")
	case s.Zone < 0 || s.Zone >= max(1, len(s.Zones)):
		return settingsError("Zone", "zone %d of %d", s.Zone, len(s.Zones))
	case s.Tick < 0:
		return settingsError("Tick", "tick is %v", s.Tick)
	case s.Limits.MaxAttempts < 1:
		return settingsError("Limits.MaxAttempts", "limits: max attempts is %d", s.Limits.MaxAttempts)
	case s.Rules.SlowStartDuration < 0 || s.Rules.PollInterval < 0 || s.Rules.OverloadWindow < 0:
		return settingsError("Rules", "rules: negative time")
	case !(s.Rules.SlowStartCapacity >= 0 && s.Rules.SlowStartCapacity <= 1):
		return settingsError("Rules.SlowStartCapacity", "rules: slow start capacity is %v", s.Rules.SlowStartCapacity)
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

// validate checks the class at index i of the settings.
func (c Class) validate(i int) error {
	setting := fmt.Sprintf("Classes[%d]", i)
	if c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective || c.DedupWindow < 0 {
		return settingsError(setting, "classes[%d]: latency objective %v, deadline %v, deduplication window %v",
			i, c.LatencyObjective, c.Deadline, c.DedupWindow)
	}
	if !(c.PriorityWeight >= 0) || !(c.LateWeightShare >= 0) {
		return settingsError(setting, "classes[%d]: priority weight %v, late weight share %v", i, c.PriorityWeight, c.LateWeightShare)
	}
	return nil
}

// UpdateSettings replaces the settings while requests are open, or returns a *SettingsError and changes
// nothing. A class keeps its index: those in use must stay in their places, and
// new ones follow them. Zones and the number of tenants cannot change. Open requests keep the class that they
// came with.
func (b *Balancer) UpdateSettings(now time.Duration, s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	inUse := len(b.settings.Classes)
	switch {
	case len(s.Classes) < inUse:
		return settingsError("Classes", "%d classes, the %d in use must keep their places", len(s.Classes), inUse)
	case s.Zone != b.settings.Zone || !slices.Equal(s.Zones, b.settings.Zones):
		return settingsError("Zones", "zones cannot change while the program runs")
	case len(s.Tenants) != len(b.settings.Tenants):
		return settingsError("Tenants", "tenants cannot change while the program runs")
	}
	b.ensureStarted(now)
	s.Classes = slices.Clone(s.Classes) // open requests point to theirs
	b.settings = s
	b.deriveFromSettings()
	for _, target := range b.endpoints.sorted {
		target.classFailures.Grow(len(s.Classes))
	}
	return nil
}

// deriveFromSettings sets what the balancer derives from its settings.
func (b *Balancer) deriveFromSettings() {
	s := &b.settings
	b.shortestObjective = s.Classes[0].LatencyObjective
	for _, c := range s.Classes {
		b.shortestObjective = min(b.shortestObjective, c.LatencyObjective)
	}
	b.tickInterval = max(s.Tick, time.Duration(float64(b.shortestObjective)/ticksPerObjective))
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

// admissionOptions returns what the settings say of admission.
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

// quotasPerSecond returns the quotas of all tenants.
func (s *Settings) quotasPerSecond() []float64 {
	var quotas []float64
	for _, tenant := range s.Tenants {
		quotas = append(quotas, tenant.QuotaPerSec)
	}
	return quotas
}
