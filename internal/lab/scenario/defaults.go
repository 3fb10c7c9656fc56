package scenario

// defaults returns a small plain site: the values of the tables that a file leaves out. Those of kinds,
// classes and faults are filled in by fillDefaults once the file has been read.
func defaults() *Scenario {
	fixed := Fixed
	return &Scenario{
		LengthS: fixed(60),
		TickMS:  fixed(5),
		Zones: Zones{
			Names: []string{"zone"}, SameMS: fixed(0.2), CrossMS: fixed(10), ClientMS: fixed(0.5), Jitter: fixed(0.2),
		},
		Balancers: Balancers{
			Count: 4, MaxAttempts: 4, HedgedRequests: true, Cancel: true, HealthChecks: true,
			MaxRetryAfterMS: fixed(2000), FailoverDelayS: fixed(2),
		},
		Fleet:   Fleet{Servers: 12, CellSize: 8, Weights: "rough", RoughCV: fixed(0.15)},
		Traffic: Traffic{Load: fixed(0.5), Shape: "steady", PeriodS: fixed(10), Hints: "rough", HintCV: fixed(0.5)},
		Clients: Clients{Retries: fixed(2), BackoffMS: fixed(200), AttemptTimeoutShare: fixed(0.7)},
		Discovery: Discovery{
			RemovalDelayS:          fixed(2),
			FailureDetectionDelayS: fixed(10),
			AddDelayS:              fixed(1),
			PublishIntervalMS:      fixed(500),
			DeliverySpreadMS:       fixed(50),
			CallsPerS:              fixed(20),
			LinesPerCall:           fixed(50),
			TimeoutMS:              fixed(3000),
		},
		Rules: Rules{
			ResponseSlackMS:      fixed(20),
			PollIntervalMS:       fixed(10000),
			SlowStartCapacity:    fixed(0.12),
			SlowStartMS:          fixed(24000),
			DrainGraceMS:         fixed(2000),
			CollapseMultiple:     fixed(2.5),
			CollapseWindowMS:     fixed(2000),
			DialTimeoutMS:        fixed(250),
			HealthCheckTimeoutMS: fixed(500),
			KeepaliveMS:          fixed(60000),
		},
		Score: Score{
			WholeRun:     fixed(0.45),
			WorstWindow:  fixed(0.45),
			WorstClass:   fixed(0.1),
			WindowS:      fixed(10),
			WeightBy:     "work",
			Waste:        fixed(0.05),
			LateFail:     fixed(0.05),
			CrossZone:    fixed(0.03),
			HealthChecks: fixed(0.01),
			Overloaded:   fixed(0.08),
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
