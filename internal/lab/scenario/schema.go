package scenario

// Scenario is a file, its includes and its overrides taken together. Names of fields
// carry their unit: _ms and _s times, _per_s rates; what has none is a number or a
// share.
type Scenario struct {
	Name    string `toml:"name"`
	About   string `toml:"about"`
	Include string `toml:"include"` // a file beside this one, or a shipped scenario
	LengthS Range  `toml:"length_s"`
	TickMS  Range  `toml:"tick_ms"`

	Zones     Zones     `toml:"zones"`
	Balancers Balancers `toml:"balancers"`
	Fleet     Fleet     `toml:"fleet"`
	Kinds     []Kind    `toml:"kind"`
	Classes   []Class   `toml:"class"`
	Traffic   Traffic   `toml:"traffic"`
	Clients   Clients   `toml:"clients"`
	Discovery Discovery `toml:"discovery"`
	Rules     Rules     `toml:"rules"`
	Score     Score     `toml:"score"`
	Draws     Draws     `toml:"draw"`
	Troubles  []Trouble `toml:"trouble"`

	origin map[string]sourceLine // where each key was set last
}

// Zones are sites and the network between them. Times are one way.
type Zones struct {
	Names    []string  `toml:"names"`
	Servers  []float64 `toml:"servers"`  // share of the servers in each zone; none: evenly
	SameMS   Range     `toml:"same_ms"`  // within a zone
	CrossMS  Range     `toml:"cross_ms"` // between two zones, drawn for each pair
	ClientMS Range     `toml:"client_ms"`
	Jitter   Range     `toml:"jitter"` // a message takes up to this share longer
}

// Balancers are the instances of the decision module and what they are allowed.
type Balancers struct {
	Count           int   `toml:"count"`
	StartSpreadMS   Range `toml:"start_spread_ms"` // they start within this
	MaxAttempts     int   `toml:"max_attempts"`
	SecondCopies    bool  `toml:"second_copies"`
	Cancel          bool  `toml:"cancel"`
	Probes          bool  `toml:"probes"`
	RetryAfter      bool  `toml:"retry_after"`
	MaxRetryAfterMS Range `toml:"max_retry_after_ms"`
	FrontNoticeS    Range `toml:"front_notice_s"` // a dead one is sent clients for so long
}

// Fleet is the feed servers at the start.
type Fleet struct {
	Servers int    `toml:"servers"`
	Cells   int    `toml:"cell_size"`
	Weights string `toml:"weights"`  // none, nominal, rough
	RoughCV Range  `toml:"rough_cv"` // of rough weights
}

// Kind is a kind of machine; internal/lab/servermodel says what each figure does.
type Kind struct {
	Name         string `toml:"name"`
	Share        Range  `toml:"share"`
	Cores        int    `toml:"cores"`
	Speed        Range  `toml:"speed"`
	SpeedCV      Range  `toml:"speed_cv"` // of each machine's speed round that
	SlotsPerCore Range  `toml:"slots_per_core"`
	QueuePerCore Range  `toml:"queue_per_core"`
	Thrash       Range  `toml:"thrash"`
	ThrashAt     Range  `toml:"thrash_at"`
	ColdFrom     Range  `toml:"cold_from"`
	ColdS        Range  `toml:"cold_s"`
	WarmBy       string `toml:"warm_by"` // time, work
	PauseEveryS  Range  `toml:"pause_every_s"`
	PauseMS      Range  `toml:"pause_ms"`
	PauseGrow    Range  `toml:"pause_grow"`
	ErrorRate    Range  `toml:"error_rate"`
	Cancel       string `toml:"cancel"` // queued, all, or any: one of them a seed
	DropExpired  string `toml:"drops_expired"`

	ChokeAt     Range `toml:"choke_at"`
	ChokeOverS  Range `toml:"choke_over_s"`
	ChokeSlower Range `toml:"choke_slower"`
	ChokeBelow  Range `toml:"choke_below"`
	ChokeRestS  Range `toml:"choke_rest_s"`
	ChokeMostS  Range `toml:"choke_most_s"`

	KeyGain     Range `toml:"key_gain"`
	KeyS        Range `toml:"key_s"`
	KeysPerCore Range `toml:"keys_per_core"`

	HandshakeMS   Range `toml:"handshake_ms"`
	HandshakeRTTs Range `toml:"handshake_rtts"`
	ConnPerCore   Range `toml:"connections_per_core"`
	ConnTax       Range `toml:"connection_tax"`
	ProbeMS       Range `toml:"probe_ms"`

	ReportEveryMS Range `toml:"report_every_ms"`
	ReportDelayMS Range `toml:"report_delay_ms"`
	ReportNoise   Range `toml:"report_noise"`
}

// Class is a kind of request.
type Class struct {
	Name       string `toml:"name"`
	Share      Range  `toml:"share"` // of the requests; 0: nobody sends it
	WorkMS     Range  `toml:"work_ms"`
	Dist       string `toml:"dist"` // fixed, exponential, lognormal, pareto
	CV         Range  `toml:"cv"`
	AttemptCV  Range  `toml:"attempt_cv"` // of the work of one attempt round the request's
	AimMS      Range  `toml:"aim_ms"`
	DeadlineMS Range  `toml:"deadline_ms"`
	Worth      Range  `toml:"worth"`
	LateWorth  Range  `toml:"late_worth"`
	Effect     string `toml:"effect"` // safe, keyed, unsafe
	Scope      string `toml:"scope"`  // of keyed: all, zone, cell
	WindowMS   Range  `toml:"window_ms"`
}

// Traffic is what arrives. Load is its mean work as a share of what the fleet can do
// warm; RatePerS is used instead where it is set.
type Traffic struct {
	Load     Range  `toml:"load"`
	RatePerS Range  `toml:"rate_per_s"`
	Shape    string `toml:"shape"` // steady, waves, bursty
	Swing    Range  `toml:"swing"` // how far the shape goes above and below the mean
	PeriodS  Range  `toml:"period_s"`
	ZoneSkew Range  `toml:"zone_skew"` // how unevenly clients are spread over zones
	Keys     Range  `toml:"keys"`      // 0: requests have none
	KeyZipf  Range  `toml:"key_zipf"`
	Hints    string `toml:"hints"` // none, rough, exact
	HintCV   Range  `toml:"hint_cv"`
	Trace    string `toml:"trace"` // a recording that is played instead of drawn arrivals
}

// Clients is how clients behave.
type Clients struct {
	Retries    Range `toml:"retries"` // by themselves, after the first try
	BackoffMS  Range `toml:"backoff_ms"`
	TryShare   Range `toml:"try_share"` // a try is given up after this share of the deadline
	Honour     Range `toml:"honour"`    // share of clients that heed Retry-After
	Impatient  Range `toml:"impatient"` // share of tries whose client leaves early
	MarksRetry bool  `toml:"marks_retry"`
}

// Discovery is the list of servers as a service.
type Discovery struct {
	Push      bool  `toml:"push"` // changes come unasked
	NoticeS   Range `toml:"notice_s"`
	SilentS   Range `toml:"silent_notice_s"` // of a server that vanished
	AddS      Range `toml:"add_s"`
	PeriodMS  Range `toml:"period_ms"` // changes are published this often
	SpreadMS  Range `toml:"spread_ms"` // and told within this
	CallsPerS Range `toml:"calls_per_s"`
	CallLines Range `toml:"call_lines"` // so many lines cost as much as a call
	TimeoutMS Range `toml:"timeout_ms"`
}

// Rules are the figures of the four rules.
type Rules struct {
	AnswerSlackMS  Range `toml:"answer_slack_ms"`
	AskWithinMS    Range `toml:"ask_within_ms"`
	ColdFrom       Range `toml:"cold_from"`
	ColdMS         Range `toml:"cold_ms"`
	DrainGraceMS   Range `toml:"drain_grace_ms"`
	FallMultiple   Range `toml:"fall_multiple"`
	FallMS         Range `toml:"fall_ms"`
	DialTimeoutMS  Range `toml:"dial_timeout_ms"`
	ProbeTimeoutMS Range `toml:"probe_timeout_ms"`
	KeepaliveMS    Range `toml:"keepalive_ms"`
}

// Score is how service is counted: the weights of its parts and what is taken off.
type Score struct {
	Whole       Range  `toml:"whole"`
	WorstWindow Range  `toml:"worst_window"`
	WorstClass  Range  `toml:"worst_class"`
	WindowS     Range  `toml:"window_s"`
	WorthBy     string `toml:"worth_by"` // work, request
	Waste       Range  `toml:"waste"`
	LateFail    Range  `toml:"late_fail"`
	CrossZone   Range  `toml:"cross_zone"`
	Probe       Range  `toml:"probe"`
	Choke       Range  `toml:"choke"`
}

// Draws picks some of the troubles for each seed; without it all are played.
type Draws struct {
	Troubles Range `toml:"troubles"`
}

// Trouble is something that goes wrong. What part and size mean depends on the kind:
// see docs/SCENARIOS.md.
type Trouble struct {
	Kind   string  `toml:"kind"`
	AtS    Range   `toml:"at_s"`
	ForS   Range   `toml:"for_s"`
	Part   Range   `toml:"part"`
	Size   Range   `toml:"size"`
	EveryS Range   `toml:"every_s"`
	RampS  Range   `toml:"ramp_s"`
	Class  string  `toml:"class"`
	Zone   string  `toml:"zone"`
	Weight float64 `toml:"weight"`
}
