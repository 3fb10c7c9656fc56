package scenario

// defaults returns a small plain site: the values of the tables that a file leaves out. Those of kinds,
// classes and faults are filled in by fillDefaults once the file has been read.
func defaults() *Scenario {
	f := Fixed
	return &Scenario{
		LengthS: f(60),
		TickMS:  f(5),
		Zones: Zones{
			Names: []string{"zone"}, SameMS: f(0.2), CrossMS: f(10), ClientMS: f(0.5), Jitter: f(0.2),
		},
		Balancers: Balancers{
			Count: 4, MaxAttempts: 4, HedgedRequests: true, Cancel: true, HealthChecks: true,
			MaxRetryAfterMS: f(2000), FailoverDelayS: f(2),
		},
		Fleet:   Fleet{Servers: 12, CellSize: 8, Weights: "rough", RoughCV: f(0.15)},
		Traffic: Traffic{Load: f(0.5), Shape: "steady", PeriodS: f(10), Hints: "rough", HintCV: f(0.5)},
		Clients: Clients{Retries: f(2), BackoffMS: f(200), AttemptTimeoutShare: f(0.7)},
		Discovery: Discovery{
			RemovalDelayS: f(2), FailureDetectionDelayS: f(10), AddDelayS: f(1), PublishIntervalMS: f(500), DeliverySpreadMS: f(50),
			CallsPerS: f(20), LinesPerCall: f(50), TimeoutMS: f(3000),
		},
		Rules: Rules{
			ResponseSlackMS: f(20), PollIntervalMS: f(10000), SlowStartCapacity: f(0.12), SlowStartMS: f(24000), DrainGraceMS: f(2000),
			CollapseMultiple: f(2.5), CollapseWindowMS: f(2000), DialTimeoutMS: f(250), HealthCheckTimeoutMS: f(500), KeepaliveMS: f(60000),
		},
		Score: Score{
			WholeRun: f(0.45), WorstWindow: f(0.45), WorstClass: f(0.1), WindowS: f(10), WeightBy: "work",
			Waste: f(0.05), LateFail: f(0.05), CrossZone: f(0.03), HealthChecks: f(0.01), Overloaded: f(0.08),
		},
	}
}

// fillDefaults sets what kinds, classes and faults leave out to its default.
func (s *Scenario) fillDefaults() {
	for i := range s.Kinds {
		s.Kinds[i].fillDefaults()
	}
	for i := range s.Classes {
		s.Classes[i].fillDefaults()
	}
	for i := range s.Faults {
		if s.Faults[i].Weight == 0 {
			s.Faults[i].Weight = 1
		}
	}
}

func (k *Kind) fillDefaults() {
	k.Cores = max(k.Cores, 1)
	setText(&k.WarmUpBy, "time")
	setText(&k.Cancel, "queued")
	setText(&k.DropExpired, "no")
	setRange(&k.Share, 1)
	setRange(&k.Speed, 1)
	setRange(&k.SlotsPerCore, 1)
	setRange(&k.QueuePerCore, 20)
	setRange(&k.HandshakeRTTs, 1)
}

func (c *Class) fillDefaults() {
	setText(&c.Dist, "lognormal")
	setText(&c.RetrySafety, "safe")
	setRange(&c.Share, 1)
	setRange(&c.WorkMS, 100)
	setRange(&c.CV, 1)
	setRange(&c.LatencyObjectiveMS, 1000)
	setRange(&c.DeadlineMS, 5000)
	setRange(&c.PriorityWeight, 1)
	if c.RetrySafety == "keyed" {
		setText(&c.DedupScope, "all")
		setRange(&c.DedupWindowMS, 5000)
	}
}

// setText sets a text that was left out.
func setText(v *string, value string) {
	if *v == "" {
		*v = value
	}
}

// setRange sets a range that was left out.
func setRange(v *Range, value float64) {
	if !v.Set {
		*v = Fixed(value)
	}
}
