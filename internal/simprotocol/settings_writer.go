package simprotocol

import (
	"encoding/json"

	"piernotch"
)

// ExtraSettings holds the settings on the wire that piernotch.Settings does not contain.
type ExtraSettings struct {
	Balancer         BalancerNumber
	ServerKinds      []string // names of the kinds of servers, indexed by EndpointEntry.Kind
	KeepAliveMS      float64  // how long a server keeps an idle connection open
	DialMS           float64  // how long connecting may take
	SlackMS          float64  // how long after a request's deadline the final response may come
	GraceMS          float64  // how long requests may still be sent after a drain has been notified
	CollapseMultiple float64  // a server in slow start collapses if arriving work exceeds this multiple of capacity
	CollapseWindowMS float64  // window over which arriving work is summed for a collapse
	WeightBy         string   // unit in which requests are weighted: "request" or "work"
	Columns          []string // names of the values in a load report, in order
}

// Values of max_open and cpu_us_per_s, too high to limit a balancer of the laboratory.
const (
	maxOpenConnections = 20000
	cpuMicrosPerSecond = 1e6
)

// settingsMessage is the complete settings of a start event. encoding/json prefers the fields of
// settingsMessage to those of the embedded settingsJSON with the same key.
type settingsMessage struct {
	settingsJSON
	Family      string         `json:"family"`
	Number      BalancerNumber `json:"my_number"`
	ServerKinds []string       `json:"machine_types"`
	WeightBy    string         `json:"worth_by"`
	SizeSource  string         `json:"weights"`
	Limits      limitsMessage  `json:"limits"`
	Rules       rulesMessage   `json:"rules"`
	Features    featuresJSON   `json:"specifics"`
}

type limitsMessage struct {
	limitsJSON
	KeepAliveMS float64 `json:"keepalive_ms"`
	DialMS      float64 `json:"dial_timeout_ms"`
	MaxOpen     int     `json:"max_open"`
	Multiplex   int     `json:"multiplex"`
	Peers       bool    `json:"peers"`
	CPU         float64 `json:"cpu_us_per_s"`
}

type rulesMessage struct {
	PollIntervalMS      float64 `json:"ask_within_ms"`
	SlowStartCapacity   float64 `json:"cold_from"`
	SlowStartDurationMS float64 `json:"cold_ms"`
	SlackMS             float64 `json:"answer_slack_ms"`
	GraceMS             float64 `json:"drain_grace_ms"`
	FallMultiple        float64 `json:"fall_multiple"`
	FallMS              float64 `json:"overload_for_ms"`
}

// MarshalSettings encodes the settings of a start event. The Parse functions decode parts of them.
func MarshalSettings(settings *piernotch.Settings, extra ExtraSettings) ([]byte, error) {
	message := settingsMessage{
		Family:      "proxy",
		Number:      extra.Balancer,
		ServerKinds: extra.ServerKinds,
		WeightBy:    extra.WeightBy,
		SizeSource:  "rough",
		Limits:      marshalLimits(&settings.Limits, &extra),
		Rules:       marshalRules(&settings.Rules, &extra),
		Features:    featuresJSON{KeyAffinity: settings.KeyAffinity},
	}
	message.settingsJSON = settingsJSON{
		Classes:         make([]classJSON, len(settings.Classes)),
		Discovery:       "pushed",
		BalancerCount:   settings.BalancerCount,
		Zone:            settings.Zone,
		Zones:           settings.Zones,
		TickMS:          Milliseconds(settings.Tick),
		Report:          loadReportJSON{Columns: extra.Columns, Source: "answers"},
		OverQuotaWeight: settings.OverQuotaWeight,
	}
	if len(settings.Classes) == 0 {
		message.Classes = nil // encoded as null, not as []
	}
	if settings.PollDiscovery {
		message.Discovery = "on_request"
	}
	for i := range settings.Classes {
		message.Classes[i] = marshalClass(&settings.Classes[i])
	}
	for _, tenant := range settings.Tenants {
		message.Tenants = append(message.Tenants, tenantJSON{tenant.Name, tenant.QuotaPerSec})
	}
	return json.Marshal(&message)
}

func marshalLimits(limits *piernotch.Limits, extra *ExtraSettings) limitsMessage {
	return limitsMessage{
		limitsJSON: limitsJSON{
			MaxAttempts:     limits.MaxAttempts,
			HedgedRequests:  limits.HedgedRequests,
			CancelAttempts:  limits.CancelAttempts,
			HealthChecks:    limits.HealthChecks,
			RetryAfter:      limits.RetryAfter,
			MaxRetryAfterMS: Milliseconds(limits.MaxRetryAfter),
		},
		KeepAliveMS: extra.KeepAliveMS,
		DialMS:      extra.DialMS,
		MaxOpen:     maxOpenConnections,
		Multiplex:   1,
		CPU:         cpuMicrosPerSecond,
	}
}

func marshalRules(rules *piernotch.Rules, extra *ExtraSettings) rulesMessage {
	return rulesMessage{
		PollIntervalMS:      Milliseconds(rules.PollInterval),
		SlowStartCapacity:   rules.SlowStartCapacity,
		SlowStartDurationMS: Milliseconds(rules.SlowStartDuration),
		SlackMS:             extra.SlackMS,
		GraceMS:             extra.GraceMS,
		FallMultiple:        extra.CollapseMultiple,
		FallMS:              extra.CollapseWindowMS,
	}
}

func marshalClass(class *piernotch.Class) classJSON {
	message := classJSON{
		Name:               class.Name,
		LatencyObjectiveMS: Milliseconds(class.LatencyObjective),
		DeadlineMS:         Milliseconds(class.Deadline),
		PriorityWeight:     class.PriorityWeight,
		LateWeightShare:    class.LateWeightShare,
		DedupWindowMS:      Milliseconds(class.DedupWindow),
	}
	for name, safety := range retrySafetyByName {
		if safety == class.RetrySafety {
			message.RetrySafety = name
		}
	}
	for name, scope := range dedupScopeByName {
		if scope == class.DedupScope && name != "" {
			message.DedupScope = name
		}
	}
	return message
}
