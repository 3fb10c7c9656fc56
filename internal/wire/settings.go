package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"piernotch"
)

type classJSON struct {
	Name          string  `json:"name"`
	GoalTimeMS    float64 `json:"goal_time_ms"`
	DeadlineMS    float64 `json:"deadline_ms"`
	Points        float64 `json:"points"`
	LateWorth     float64 `json:"late_worth"`
	Effect        string  `json:"effect"`
	DedupScope    string  `json:"dedup_scope"`
	DedupWindowMS float64 `json:"dedup_window_ms"`
}

type tenantJSON struct {
	Name      string  `json:"name"`
	QuotaPerS float64 `json:"quota_per_s"`
}

type settingsJSON struct {
	Classes   []classJSON  `json:"classes"`
	Tenants   []tenantJSON `json:"tenants"`
	Discovery string       `json:"discovery"`
	GroupSize int          `json:"group_size"`
	MyZone    int          `json:"my_zone"`
	Zones     []string     `json:"zones"`
	QuantumMS float64      `json:"quantum_ms"`
	Limits    struct {
		MostTries       int     `json:"most_tries"`
		SecondCopies    bool    `json:"second_copies"`
		Cancelling      bool    `json:"cancelling"`
		MayProbe        bool    `json:"may_probe"`
		RetryAfter      bool    `json:"retry_after"`
		MaxRetryAfterMS float64 `json:"max_retry_after_ms"`
	} `json:"limits"`
	Rules struct {
		AskWithinMS float64 `json:"ask_within_ms"`
		ColdFrom    float64 `json:"cold_from"`
		ColdMS      float64 `json:"cold_ms"`
		OverloadMS  float64 `json:"overload_for_ms"`
	} `json:"rules"`
	Specifics struct {
		WarmKeys bool `json:"warm_keys"`
	} `json:"specifics"`
	Report struct {
		Columns []string `json:"columns"`
		How     string   `json:"how"`
	} `json:"report"`
	OverShareWorth float64 `json:"over_share_worth"`
	WorthBy        string  `json:"worth_by"`
}

var retrySafetyByName = map[string]piernotch.RetrySafety{
	"safe": piernotch.Idempotent, "keyed": piernotch.IdempotencyKey, "unsafe": piernotch.NonIdempotent,
}

var dedupScopeByName = map[string]piernotch.DedupScope{
	"": piernotch.DedupEverywhere, "all": piernotch.DedupEverywhere,
	"zone": piernotch.DedupInZone, "cell": piernotch.DedupInCell,
}

// Settings reads the settings of a Start event. Keys it does not know are
// skipped. Whether the values make sense is for piernotch.New to say.
func Settings(data []byte) (piernotch.Settings, error) {
	var in settingsJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return piernotch.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := piernotch.Settings{
		BalancerCount: in.GroupSize, Zone: in.MyZone, Zones: in.Zones,
		Tick:          Duration(in.QuantumMS),
		PollDiscovery: in.Discovery == "on_request",
		KeyAffinity:   in.Specifics.WarmKeys,
		Limits: piernotch.Limits{
			MaxAttempts: in.Limits.MostTries, HedgedRequests: in.Limits.SecondCopies,
			CancelAttempts: in.Limits.Cancelling, HealthChecks: in.Limits.MayProbe,
			RetryAfter: in.Limits.RetryAfter, MaxRetryAfter: Duration(in.Limits.MaxRetryAfterMS),
		},
		Rules: piernotch.Rules{
			PollInterval:      Duration(in.Rules.AskWithinMS),
			SlowStartCapacity: in.Rules.ColdFrom, SlowStartDuration: Duration(in.Rules.ColdMS),
			OverloadWindow: Duration(in.Rules.OverloadMS),
		},
		OverQuotaWeight:  in.OverShareWorth,
		WeightPerRequest: in.WorthBy == "request",
	}
	for i, c := range in.Classes {
		effect, ok := retrySafetyByName[c.Effect]
		if !ok {
			return s, fmt.Errorf("settings: classes[%d].effect is %q", i, c.Effect)
		}
		scope, ok := dedupScopeByName[c.DedupScope]
		if !ok {
			return s, fmt.Errorf("settings: classes[%d].dedup_scope is %q", i, c.DedupScope)
		}
		s.Classes = append(s.Classes, piernotch.Class{
			Name: c.Name, LatencyObjective: Duration(c.GoalTimeMS), Deadline: Duration(c.DeadlineMS),
			PriorityWeight: c.Points, LateWeightShare: c.LateWorth, RetrySafety: effect, DedupScope: scope,
			DedupWindow: Duration(c.DedupWindowMS),
		})
	}
	for _, t := range in.Tenants {
		s.Tenants = append(s.Tenants, piernotch.Tenant{Name: t.Name, QuotaPerSec: t.QuotaPerS})
	}
	return s, nil
}

// ParseReportColumns reads the names of the values that a load report holds, in their order.
func ParseReportColumns(data []byte) ([]string, error) {
	var in settingsJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return in.Report.Columns, nil
}

// ParseLoadReport translates the load report of a Verdict or a PingResult; ok is false if there is
// none, or if it makes no sense.
func ParseLoadReport(e *Event, columns []string) (load piernotch.LoadReport, ok bool) {
	for i, name := range columns[:min(len(columns), e.LoadCount)] {
		if !SetLoad(&load, name, e.Load[i]) {
			return piernotch.LoadReport{}, false
		}
		ok = ok || name == Inflight
	}
	return load, ok
}

// Inflight is the value that no load report is of use without.
const Inflight = "inflight"

// SetLoad takes one named value of a load report; names that nobody needs are passed over.
// It returns false for a value that cannot be: negative, infinite or no number.
func SetLoad(load *piernotch.LoadReport, name string, v float64) bool {
	switch name {
	case Inflight:
		load.Inflight = v
	case "qps":
		load.CompletedPerSecond = v
	}
	return v >= 0 && !math.IsInf(v, 0)
}

// Duration turns the wire's milliseconds into a Duration, to the microsecond
// that the wire counts in.
func Duration(ms float64) time.Duration {
	const most = float64(math.MaxInt64 / int64(time.Millisecond) / 2)
	if math.IsNaN(ms) {
		return 0
	}
	ms = min(max(ms, -most), most)
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

// Milliseconds is the reverse of Duration.
func Milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

var statusByCode = map[uint8]piernotch.Status{
	0: piernotch.OK, 13: piernotch.Error, 8: piernotch.Full, 4: piernotch.Timeout,
	14: piernotch.ConnectFailed, 10: piernotch.Reset, 1: piernotch.Cancelled, 9: piernotch.NotSent,
}

// ParseStatus translates the wire's disposition.
func ParseStatus(code uint8) (piernotch.Status, error) {
	s, ok := statusByCode[code]
	if !ok {
		return 0, fmt.Errorf("unknown disposition %d", code)
	}
	return s, nil
}

var stateByCode = [...]piernotch.State{0: piernotch.Draining, 1: piernotch.Gone, 2: piernotch.Ready}

var listKindByCode = [...]piernotch.UpdateKind{
	0: piernotch.UpdateFailed, 1: piernotch.UpdateCached, 2: piernotch.UpdateFull, 3: piernotch.UpdateDelta,
}

// ParseEndpointList translates the kind and the entries of a View, appending to into.
func ParseEndpointList(e *Event, into []piernotch.Endpoint) (piernotch.UpdateKind, []piernotch.Endpoint, error) {
	if int(e.ListKind) >= len(listKindByCode) {
		return 0, into, fmt.Errorf("unknown list kind %d", e.ListKind)
	}
	for i := range e.EntryCount() {
		l := e.Entry(i)
		if int(l.State) >= len(stateByCode) {
			return 0, into, fmt.Errorf("entry %d: unknown state %d", i, l.State)
		}
		into = append(into, piernotch.Endpoint{
			ID: piernotch.BackendID(l.Backend), Zone: int(l.Zone), Cell: int(l.Cell),
			State: stateByCode[l.State], Size: l.Size, StartedAt: Duration(l.StartedAtMS),
		})
	}
	return listKindByCode[e.ListKind], into, nil
}

// Connections reads what the settings say of connections, which concerns sockets
// and not decisions: how long a server keeps an idle one, and how long one may
// take to come up.
func Connections(data []byte) (keepAlive, dialTimeout time.Duration, err error) {
	var in struct {
		Limits struct {
			KeepAliveMS   float64 `json:"keepalive_ms"`
			DialTimeoutMS float64 `json:"dial_timeout_ms"`
		} `json:"limits"`
	}
	if err := json.Unmarshal(data, &in); err != nil {
		return 0, 0, fmt.Errorf("settings: %w", err)
	}
	if !(in.Limits.KeepAliveMS > 0) {
		return 0, 0, fmt.Errorf("settings: limits.keepalive_ms is %v", in.Limits.KeepAliveMS)
	}
	if !(in.Limits.DialTimeoutMS > 0) {
		return 0, 0, fmt.Errorf("settings: limits.dial_timeout_ms is %v", in.Limits.DialTimeoutMS)
	}
	return Duration(in.Limits.KeepAliveMS), Duration(in.Limits.DialTimeoutMS), nil
}
