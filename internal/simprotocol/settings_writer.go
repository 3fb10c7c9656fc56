package simprotocol

import (
	"encoding/json"

	"piernotch"
)

// ExtraSettings is what settings hold on the wire beyond those of the module. Times are in milliseconds.
type ExtraSettings struct {
	Balancer         BalancerNumber
	ServerKinds      []string // names of the kinds of servers, by EndpointEntry.Kind
	KeepAliveMS      float64  // a server keeps an idle connection for so long
	DialMS           float64  // a connection may take so long to come up
	SlackMS          float64  // a final response may come so much later than its deadline
	GraceMS          float64  // requests may still be sent so long after a drain is notified
	CollapseMultiple float64  // multiple of its capacity that collapses a server in slow start
	CollapseWindowMS float64  // span over which that is counted
	WeightBy         string   // what a request weighs by: "request" or "work"
	Columns          []string // names of the values in a load report, in order
}

// Figures that the laboratory's balancers are never limited by.
const (
	maxOpenConnections = 20000
	cpuMicrosPerSecond = 1e6
)

// settingsMessage is the whole of a start event's settings, as the simulator writes them. Fields of
// the same key in the embedded struct are hidden by those here.
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

// MarshalSettings writes settings as a start event holds them; Settings reads them back.
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
		message.Classes = nil // it is written as null
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
