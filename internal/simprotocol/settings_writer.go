package simprotocol

import (
	"encoding/json"

	"piernotch"
)

// ExtraSettings is what settings hold on the wire beyond those of the module. Times are in milliseconds.
type ExtraSettings struct {
	Balancer     int      // of the balancer, from 0
	MachineTypes []string // names, by EndpointEntry.Kind
	KeepAliveMS  float64  // a server keeps an idle connection for so long
	DialMS       float64  // a connection may take so long to come up
	SlackMS      float64  // a final answer may come so much later than its deadline
	GraceMS      float64  // requests may still be sent so long after a drain is notified
	FallMultiple float64  // multiple of its capacity that collapses a server in slow start
	FallMS       float64  // span over which that is counted
	WeightBy     string   // what a request weighs by: "request" or "work"
	Columns      []string // names of the values in a load report, in order
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
	Family       string        `json:"family"`
	Number       int           `json:"my_number"`
	MachineTypes []string      `json:"machine_types"`
	WeightBy     string        `json:"worth_by"`
	SizeSource   string        `json:"weights"`
	Limits       limitsMessage `json:"limits"`
	Rules        rulesMessage  `json:"rules"`
	Features     featuresJSON  `json:"specifics"`
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
func MarshalSettings(s *piernotch.Settings, x ExtraSettings) ([]byte, error) {
	out := settingsMessage{
		Family:       "proxy",
		Number:       x.Balancer,
		MachineTypes: x.MachineTypes,
		WeightBy:     x.WeightBy,
		SizeSource:   "rough",
		Limits:       marshalLimits(&s.Limits, &x),
		Rules:        marshalRules(&s.Rules, &x),
		Features:     featuresJSON{KeyAffinity: s.KeyAffinity},
	}
	out.settingsJSON = settingsJSON{
		Classes:         make([]classJSON, len(s.Classes)),
		Discovery:       "pushed",
		BalancerCount:   s.BalancerCount,
		Zone:            s.Zone,
		Zones:           s.Zones,
		TickMS:          Milliseconds(s.Tick),
		Report:          loadReportJSON{Columns: x.Columns, Source: "answers"},
		OverQuotaWeight: s.OverQuotaWeight,
	}
	if len(s.Classes) == 0 {
		out.Classes = nil // it is written as null
	}
	if s.PollDiscovery {
		out.Discovery = "on_request"
	}
	for i := range s.Classes {
		out.Classes[i] = marshalClass(&s.Classes[i])
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, tenantJSON{t.Name, t.QuotaPerSec})
	}
	return json.Marshal(&out)
}

func marshalLimits(l *piernotch.Limits, x *ExtraSettings) limitsMessage {
	return limitsMessage{
		limitsJSON: limitsJSON{
			MaxAttempts:     l.MaxAttempts,
			HedgedRequests:  l.HedgedRequests,
			CancelAttempts:  l.CancelAttempts,
			HealthChecks:    l.HealthChecks,
			RetryAfter:      l.RetryAfter,
			MaxRetryAfterMS: Milliseconds(l.MaxRetryAfter),
		},
		KeepAliveMS: x.KeepAliveMS,
		DialMS:      x.DialMS,
		MaxOpen:     maxOpenConnections,
		Multiplex:   1,
		CPU:         cpuMicrosPerSecond,
	}
}

func marshalRules(r *piernotch.Rules, x *ExtraSettings) rulesMessage {
	return rulesMessage{
		PollIntervalMS:      Milliseconds(r.PollInterval),
		SlowStartCapacity:   r.SlowStartCapacity,
		SlowStartDurationMS: Milliseconds(r.SlowStartDuration),
		SlackMS:             x.SlackMS,
		GraceMS:             x.GraceMS,
		FallMultiple:        x.FallMultiple,
		FallMS:              x.FallMS,
	}
}

func marshalClass(c *piernotch.Class) classJSON {
	out := classJSON{
		Name:               c.Name,
		LatencyObjectiveMS: Milliseconds(c.LatencyObjective),
		DeadlineMS:         Milliseconds(c.Deadline),
		PriorityWeight:     c.PriorityWeight,
		LateWeightShare:    c.LateWeightShare,
		DedupWindowMS:      Milliseconds(c.DedupWindow),
	}
	for name, safety := range retrySafetyByName {
		if safety == c.RetrySafety {
			out.RetrySafety = name
		}
	}
	for name, scope := range dedupScopeByName {
		if scope == c.DedupScope && name != "" {
			out.DedupScope = name
		}
	}
	return out
}
