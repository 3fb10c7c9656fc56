package scenario

// Scenario is a file with its includes and overrides. Keys carry their unit: _ms and _s for times,
// _per_s for rates; without one the value is a number or a share, 0 to 1. docs/SCENARIOS.md describes
// each key, check_*.go gives the limits and defaults.go what is left out.
//
// The TOML decoder prints some names of this file in its errors (see the package comment), and Name and
// Kind are looked up by With.
type Scenario struct {
	Name    string `toml:"name"`
	About   string `toml:"about"`
	Include string `toml:"include"` // a file beside this one, or a shipped scenario
	LengthS Range  `toml:"length_s"`
	TickMS  Range  `toml:"tick_ms"`

	Zones     Zones       `toml:"zones"`
	Balancers Balancers   `toml:"balancers"`
	Fleet     Fleet       `toml:"fleet"`
	Kinds     []Kind      `toml:"kind"`
	Classes   []Class     `toml:"class"`
	Traffic   Traffic     `toml:"traffic"`
	Clients   Clients     `toml:"clients"`
	Discovery Discovery   `toml:"discovery"`
	Rules     Rules       `toml:"rules"`
	Score     Score       `toml:"score"`
	Draws     Draws       `toml:"draw"`
	Faults    []FaultSpec `toml:"trouble"`

	origin map[string]sourceLine // where each key was last set; nil: no file was read
}

// Zones is the zones and the network between them. Delays are one way.
type Zones struct {
	Names    []string  `toml:"names"`
	Servers  []float64 `toml:"servers"`   // share of the servers in each zone; empty: even shares
	SameMS   Range     `toml:"same_ms"`   // within a zone
	CrossMS  Range     `toml:"cross_ms"`  // between two zones, drawn for each pair
	ClientMS Range     `toml:"client_ms"` // between a client and a balancer
	Jitter   Range     `toml:"jitter"`    // share of the delay by which a message is at most late
}

// Balancers is the balancers and the features of the decision module that they may use.
type Balancers struct {
	Count           int   `toml:"count"`
	StartSpreadMS   Range `toml:"start_spread_ms"` // all start within this time
	MaxAttempts     int   `toml:"max_attempts"`
	HedgedRequests  bool  `toml:"second_copies"` // hedged requests
	Cancel          bool  `toml:"cancel"`        // cancellation of attempts
	HealthChecks    bool  `toml:"probes"`        // health checks
	RetryAfter      bool  `toml:"retry_after"`
	MaxRetryAfterMS Range `toml:"max_retry_after_ms"`
	FailoverDelayS  Range `toml:"front_notice_s"` // for how long clients are still sent to one that is down
}

// Fleet is the servers at the start.
type Fleet struct {
	Servers  int    `toml:"servers"`
	CellSize int    `toml:"cell_size"` // servers in a cell
	Weights  string `toml:"weights"`   // none, nominal, rough
	RoughCV  Range  `toml:"rough_cv"`  // coefficient of variation of rough weights
}

// Kind is a kind of server. servermodel.Kind documents what the parameters do.
type Kind struct {
	Name              string `toml:"name"`
	Share             Range  `toml:"share"` // of the servers, relative to other kinds
	Cores             int    `toml:"cores"`
	Speed             Range  `toml:"speed"`
	SpeedCV           Range  `toml:"speed_cv"` // coefficient of variation of the speeds of single servers
	SlotsPerCore      Range  `toml:"slots_per_core"`
	QueuePerCore      Range  `toml:"queue_per_core"`
	Thrash            Range  `toml:"thrash"`
	ThrashAt          Range  `toml:"thrash_at"`
	SlowStartCapacity Range  `toml:"cold_from"` // share of the capacity at the beginning of slow start
	SlowStartS        Range  `toml:"cold_s"`    // duration of slow start
	WarmUpBy          string `toml:"warm_by"`   // time, work
	PauseEveryS       Range  `toml:"pause_every_s"`
	PauseMS           Range  `toml:"pause_ms"`
	PauseGrow         Range  `toml:"pause_grow"`
	ErrorRate         Range  `toml:"error_rate"`
	Cancel            string `toml:"cancel"`        // queued, all, or any: one of the two is drawn
	DropExpired       string `toml:"drops_expired"` // no, yes, or any: one of the two is drawn

	// Overload collapse: the server becomes slower and stays so after the cause has gone.
	OverloadQueuePerCore Range `toml:"choke_at"`     // queued requests for each core that cause it; 0: never
	OverloadAfterS       Range `toml:"choke_over_s"` // for which they must be queued
	OverloadSlowdown     Range `toml:"choke_slower"` // how many times slower the server becomes
	OverloadIdleBelow    Range `toml:"choke_below"`  // share of busy time under which the server is mostly idle
	OverloadIdleForS     Range `toml:"choke_rest_s"` // after which mostly idle ends it
	OverloadMaxS         Range `toml:"choke_most_s"` // after which it ends in any case; 0: never

	// Affinity of keys.
	KeyWorkSaved Range `toml:"key_gain"`
	KeyWarmForS  Range `toml:"key_s"`
	KeysPerCore  Range `toml:"keys_per_core"`

	// Cost of connections and health checks.
	HandshakeMS        Range `toml:"handshake_ms"`
	HandshakeRTTs      Range `toml:"handshake_rtts"`
	ConnectionsPerCore Range `toml:"connections_per_core"`
	ConnectionTax      Range `toml:"connection_tax"`
	HealthCheckMS      Range `toml:"probe_ms"`

	// Load reports.
	ReportEveryMS Range `toml:"report_every_ms"`
	ReportDelayMS Range `toml:"report_delay_ms"`
	ReportNoise   Range `toml:"report_noise"`
}

// Class is a kind of request.
type Class struct {
	Name               string `toml:"name"`
	Share              Range  `toml:"share"` // of the requests, relative to other classes; 0: there are none
	WorkMS             Range  `toml:"work_ms"`
	Dist               string `toml:"dist"` // fixed, exponential, lognormal, pareto
	CV                 Range  `toml:"cv"`
	AttemptCV          Range  `toml:"attempt_cv"` // coefficient of variation of an attempt's work about its request's
	LatencyObjectiveMS Range  `toml:"aim_ms"`     // latency objective
	DeadlineMS         Range  `toml:"deadline_ms"`
	PriorityWeight     Range  `toml:"worth"`      // priority weight
	LateWeightShare    Range  `toml:"late_worth"` // share of it for a response after the objective
	// RetrySafety is safe (idempotent), keyed (idempotent with an idempotency key) or unsafe.
	RetrySafety   string `toml:"effect"`
	DedupScope    string `toml:"scope"`     // of deduplication by key: all, zone, cell
	DedupWindowMS Range  `toml:"window_ms"` // of deduplication by key
}

// Traffic is the arriving requests. Load is their mean work as a share of the capacity of the fleet
// after slow start; RatePerS is used instead where it is above 0.
type Traffic struct {
	Load      Range  `toml:"load"`
	RatePerS  Range  `toml:"rate_per_s"`
	Shape     string `toml:"shape"` // steady, waves, bursty
	Amplitude Range  `toml:"swing"` // amplitude of the shape, as a share of the mean
	PeriodS   Range  `toml:"period_s"`
	ZoneSkew  Range  `toml:"zone_skew"` // how unevenly clients are spread over zones
	Keys      Range  `toml:"keys"`      // number of different keys; 0: requests have none
	KeyZipf   Range  `toml:"key_zipf"`
	Hints     string `toml:"hints"` // none, rough, exact
	HintCV    Range  `toml:"hint_cv"`
	Trace     string `toml:"trace"` // a recording to be replayed instead of drawn arrivals
}

// Clients is the behaviour of clients.
type Clients struct {
	Retries              Range `toml:"retries"` // after the first attempt
	BackoffMS            Range `toml:"backoff_ms"`
	AttemptTimeoutShare  Range `toml:"try_share"`   // an attempt times out after this share of the deadline
	RetryAfterShare      Range `toml:"honour"`      // share of clients that honour Retry-After
	EarlyDisconnectShare Range `toml:"impatient"`   // share of attempts whose client disconnects early
	MarksRetry           bool  `toml:"marks_retry"` // clients mark retries as such
}

// Discovery is the service discovery.
type Discovery struct {
	Push                   bool  `toml:"push"`            // watches deliver changes; otherwise balancers poll
	RemovalDelayS          Range `toml:"notice_s"`        // until it notices that a server is gone
	FailureDetectionDelayS Range `toml:"silent_notice_s"` // until it notices that a server no longer responds
	AddDelayS              Range `toml:"add_s"`           // until it lists a new server
	PublishIntervalMS      Range `toml:"period_ms"`       // interval at which changes are published
	DeliverySpreadMS       Range `toml:"spread_ms"`       // time within which all watches get them
	CallsPerS              Range `toml:"calls_per_s"`     // capacity
	LinesPerCall           Range `toml:"call_lines"`      // number of lines that cost as much as a call
	TimeoutMS              Range `toml:"timeout_ms"`
}

// Rules is the timeouts and the limits of the four rules of balancing, which package invariants checks.
type Rules struct {
	ResponseSlackMS      Range `toml:"answer_slack_ms"`
	PollIntervalMS       Range `toml:"ask_within_ms"`
	SlowStartCapacity    Range `toml:"cold_from"`
	SlowStartMS          Range `toml:"cold_ms"`
	DrainGraceMS         Range `toml:"drain_grace_ms"`
	CollapseMultiple     Range `toml:"fall_multiple"`
	CollapseWindowMS     Range `toml:"fall_ms"`
	DialTimeoutMS        Range `toml:"dial_timeout_ms"`
	HealthCheckTimeoutMS Range `toml:"probe_timeout_ms"`
	KeepaliveMS          Range `toml:"keepalive_ms"`
}

// Score is how service is scored: the weights of its parts, which add up to 1, and what is deducted.
type Score struct {
	WholeRun     Range  `toml:"whole"`
	WorstWindow  Range  `toml:"worst_window"`
	WorstClass   Range  `toml:"worst_class"`
	WindowS      Range  `toml:"window_s"`
	WeightBy     string `toml:"worth_by"` // work, request
	Waste        Range  `toml:"waste"`
	LateFail     Range  `toml:"late_fail"`
	CrossZone    Range  `toml:"cross_zone"`
	HealthChecks Range  `toml:"probe"`
	Overloaded   Range  `toml:"choke"`
}

// Draws limits how many of the faults are part of a realization; without it all are.
type Draws struct {
	Faults Range `toml:"troubles"`
}

// FaultSpec is a fault to be injected; Fault is what is drawn from it. The meaning of part and size
// depends on the kind: see faultKinds and docs/SCENARIOS.md.
type FaultSpec struct {
	Kind   string  `toml:"kind"`
	AtS    Range   `toml:"at_s"`
	ForS   Range   `toml:"for_s"`
	Part   Range   `toml:"part"`
	Size   Range   `toml:"size"`
	EveryS Range   `toml:"every_s"`
	RampS  Range   `toml:"ramp_s"`
	Class  string  `toml:"class"`  // name of a class; "": all
	Zone   string  `toml:"zone"`   // name of a zone; "": all
	Weight float64 `toml:"weight"` // in the choice of Draws; 0: 1
}
