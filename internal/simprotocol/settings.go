package simprotocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"piernotch"
)

// settingsJSON is the part of the settings that the decision module and load reports need. The simulator
// defines the keys; the fields are named as in package piernotch.
type settingsJSON struct {
	Classes         []classJSON    `json:"classes"`
	Tenants         []tenantJSON   `json:"tenants"`
	Discovery       string         `json:"discovery"`
	BalancerCount   int            `json:"group_size"`
	Zone            int            `json:"my_zone"`
	Zones           []string       `json:"zones"`
	TickMS          float64        `json:"quantum_ms"`
	Limits          limitsJSON     `json:"limits"`
	Rules           rulesJSON      `json:"rules"`
	Features        featuresJSON   `json:"specifics"`
	Report          loadReportJSON `json:"report"`
	OverQuotaWeight float64        `json:"over_share_worth"`
	WeightBy        string         `json:"worth_by"`
}

type classJSON struct {
	Name               string  `json:"name"`
	LatencyObjectiveMS float64 `json:"goal_time_ms"`
	DeadlineMS         float64 `json:"deadline_ms"`
	PriorityWeight     float64 `json:"points"`
	LateWeightShare    float64 `json:"late_worth"`
	RetrySafety        string  `json:"effect"`
	DedupScope         string  `json:"dedup_scope"`
	DedupWindowMS      float64 `json:"dedup_window_ms"`
}

type tenantJSON struct {
	Name        string  `json:"name"`
	QuotaPerSec float64 `json:"quota_per_s"`
}

type limitsJSON struct {
	MaxAttempts     int     `json:"most_tries"`
	HedgedRequests  bool    `json:"second_copies"`
	CancelAttempts  bool    `json:"cancelling"`
	HealthChecks    bool    `json:"may_probe"`
	RetryAfter      bool    `json:"retry_after"`
	MaxRetryAfterMS float64 `json:"max_retry_after_ms"`
}

type rulesJSON struct {
	PollIntervalMS      float64 `json:"ask_within_ms"`
	SlowStartCapacity   float64 `json:"cold_from"`
	SlowStartDurationMS float64 `json:"cold_ms"`
	OverloadWindowMS    float64 `json:"overload_for_ms"`
}

type featuresJSON struct {
	KeyAffinity bool `json:"warm_keys"`
}

type loadReportJSON struct {
	Columns []string `json:"columns"`
	Source  string   `json:"how"`
}

var retrySafetyByName = map[string]piernotch.RetrySafety{
	"safe": piernotch.Idempotent, "keyed": piernotch.IdempotencyKey, "unsafe": piernotch.NonIdempotent,
}

var dedupScopeByName = map[string]piernotch.DedupScope{
	"": piernotch.DedupEverywhere, "all": piernotch.DedupEverywhere,
	"zone": piernotch.DedupInZone, "cell": piernotch.DedupInCell,
}

// ParseSettings parses the settings of a start event. It ignores unknown keys. It does not check
// numbers; piernotch.New does. Any error is a *SettingsError.
func ParseSettings(data []byte) (piernotch.Settings, error) {
	var parsed settingsJSON
	if err := json.Unmarshal(data, &parsed); err != nil {
		return piernotch.Settings{}, &SettingsError{err}
	}
	settings := piernotch.Settings{
		BalancerCount:    parsed.BalancerCount,
		Zone:             parsed.Zone,
		Zones:            parsed.Zones,
		Tick:             Duration(parsed.TickMS),
		PollDiscovery:    parsed.Discovery == "on_request",
		KeyAffinity:      parsed.Features.KeyAffinity,
		Limits:           parsed.Limits.parse(),
		Rules:            parsed.Rules.parse(),
		OverQuotaWeight:  parsed.OverQuotaWeight,
		WeightPerRequest: parsed.WeightBy == "request",
	}
	for i := range parsed.Classes {
		class, err := parsed.Classes[i].parse(i)
		if err != nil {
			return settings, err
		}
		settings.Classes = append(settings.Classes, class)
	}
	for _, tenant := range parsed.Tenants {
		settings.Tenants = append(settings.Tenants, piernotch.Tenant{
			Name:        tenant.Name,
			QuotaPerSec: tenant.QuotaPerSec,
		})
	}
	return settings, nil
}

func (l *limitsJSON) parse() piernotch.Limits {
	return piernotch.Limits{
		MaxAttempts:    l.MaxAttempts,
		HedgedRequests: l.HedgedRequests,
		CancelAttempts: l.CancelAttempts,
		HealthChecks:   l.HealthChecks,
		RetryAfter:     l.RetryAfter,
		MaxRetryAfter:  Duration(l.MaxRetryAfterMS),
	}
}

func (r *rulesJSON) parse() piernotch.Rules {
	return piernotch.Rules{
		PollInterval:      Duration(r.PollIntervalMS),
		SlowStartCapacity: r.SlowStartCapacity,
		SlowStartDuration: Duration(r.SlowStartDurationMS),
		OverloadWindow:    Duration(r.OverloadWindowMS),
	}
}

// parse translates a class. Errors name the class by its index i.
func (c *classJSON) parse(i int) (piernotch.Class, error) {
	safety, ok := retrySafetyByName[c.RetrySafety]
	if !ok {
		return piernotch.Class{}, &SettingsError{fmt.Errorf("classes[%d].effect is %q", i, c.RetrySafety)}
	}
	scope, ok := dedupScopeByName[c.DedupScope]
	if !ok {
		return piernotch.Class{}, &SettingsError{fmt.Errorf("classes[%d].dedup_scope is %q", i, c.DedupScope)}
	}
	if safety == piernotch.IdempotencyKey && c.DedupScope == "" {
		scope = piernotch.DedupInCell // the narrowest one: servers outside the scope might execute a repeat
	}
	return piernotch.Class{
		Name:             c.Name,
		LatencyObjective: Duration(c.LatencyObjectiveMS),
		Deadline:         Duration(c.DeadlineMS),
		PriorityWeight:   c.PriorityWeight,
		LateWeightShare:  c.LateWeightShare,
		RetrySafety:      safety,
		DedupScope:       scope,
		DedupWindow:      Duration(c.DedupWindowMS),
	}, nil
}

// ParseReportColumns parses settings, and returns the names of the values in a load report, in order. Any error
// is a *SettingsError.
func ParseReportColumns(data []byte) ([]string, error) {
	var parsed settingsJSON
	if err := json.Unmarshal(data, &parsed); err != nil {
		return nil, &SettingsError{err}
	}
	return parsed.Report.Columns, nil
}

// ParseConnections returns the settings that concern only sockets: how long a server keeps an idle connection
// open, and how long connecting may take. Both must be above 0. Any error is a *SettingsError.
func ParseConnections(data []byte) (keepAlive, dialTimeout time.Duration, err error) {
	var parsed struct {
		Limits struct {
			KeepAliveMS   float64 `json:"keepalive_ms"`
			DialTimeoutMS float64 `json:"dial_timeout_ms"`
		} `json:"limits"`
	}
	if err := json.Unmarshal(data, &parsed); err != nil {
		return 0, 0, &SettingsError{err}
	}
	if !(parsed.Limits.KeepAliveMS > 0) {
		return 0, 0, notPositive("limits.keepalive_ms", parsed.Limits.KeepAliveMS)
	}
	if !(parsed.Limits.DialTimeoutMS > 0) {
		return 0, 0, notPositive("limits.dial_timeout_ms", parsed.Limits.DialTimeoutMS)
	}
	return Duration(parsed.Limits.KeepAliveMS), Duration(parsed.Limits.DialTimeoutMS), nil
}

func notPositive(key string, v float64) error {
	return &SettingsError{errors.New(key + " is " + fmt.Sprint(v))}
}
