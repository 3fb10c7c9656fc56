package scenario

// defaults returns a small plain site: the values of the tables that a file leaves out. Those of kinds,
// classes and troubles are filled in by fillDefaults once the file has been read.
func defaults() *Scenario {
	f := Fixed
	return &Scenario{
		LengthS: f(60),
		TickMS:  f(5),
		Zones: Zones{
			Names: []string{"zone"}, SameMS: f(0.2), CrossMS: f(10), ClientMS: f(0.5), Jitter: f(0.2),
		},
		Balancers: Balancers{
			Count: 4, MaxAttempts: 4, SecondCopies: true, Cancel: true, Probes: true,
			MaxRetryAfterMS: f(2000), FrontNoticeS: f(2),
		},
		Fleet:   Fleet{Servers: 12, Cells: 8, Weights: "rough", RoughCV: f(0.15)},
		Traffic: Traffic{Load: f(0.5), Shape: "steady", PeriodS: f(10), Hints: "rough", HintCV: f(0.5)},
		Clients: Clients{Retries: f(2), BackoffMS: f(200), TryShare: f(0.7)},
		Discovery: Discovery{
			NoticeS: f(2), SilentS: f(10), AddS: f(1), PeriodMS: f(500), SpreadMS: f(50),
			CallsPerS: f(20), CallLines: f(50), TimeoutMS: f(3000),
		},
		Rules: Rules{
			AnswerSlackMS: f(20), AskWithinMS: f(10000), ColdFrom: f(0.12), ColdMS: f(24000), DrainGraceMS: f(2000),
			FallMultiple: f(2.5), FallMS: f(2000), DialTimeoutMS: f(250), ProbeTimeoutMS: f(500), KeepaliveMS: f(60000),
		},
		Score: Score{
			Whole: f(0.45), WorstWindow: f(0.45), WorstClass: f(0.1), WindowS: f(10), WorthBy: "work",
			Waste: f(0.05), LateFail: f(0.05), CrossZone: f(0.03), Probe: f(0.01), Choke: f(0.08),
		},
	}
}

// fillDefaults sets what kinds, classes and troubles leave out to its default.
func (s *Scenario) fillDefaults() {
	for i := range s.Kinds {
		s.Kinds[i].fillDefaults()
	}
	for i := range s.Classes {
		s.Classes[i].fillDefaults()
	}
	for i := range s.Troubles {
		if s.Troubles[i].Weight == 0 {
			s.Troubles[i].Weight = 1
		}
	}
}

func (k *Kind) fillDefaults() {
	k.Cores = max(k.Cores, 1)
	setText(&k.WarmBy, "time")
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
	setText(&c.Effect, "safe")
	setRange(&c.Share, 1)
	setRange(&c.WorkMS, 100)
	setRange(&c.CV, 1)
	setRange(&c.AimMS, 1000)
	setRange(&c.DeadlineMS, 5000)
	setRange(&c.Worth, 1)
	if c.Effect == "keyed" {
		setText(&c.Scope, "all")
		setRange(&c.WindowMS, 5000)
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
