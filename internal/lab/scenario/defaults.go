package scenario

// defaults is a small plain site: what a file leaves out.
func defaults() *Scenario {
	f := Fixed
	return &Scenario{
		LengthS: f(60), TickMS: f(5),
		Zones:     Zones{Names: []string{"zone"}, SameMS: f(0.2), CrossMS: f(10), ClientMS: f(0.5), Jitter: f(0.2)},
		Balancers: Balancers{Count: 4, MaxAttempts: 4, SecondCopies: true, Cancel: true, Probes: true, MaxRetryAfterMS: f(2000), FrontNoticeS: f(2)},
		Fleet:     Fleet{Servers: 12, Cells: 8, Weights: "rough", RoughCV: f(0.15)},
		Traffic:   Traffic{Load: f(0.5), Shape: "steady", PeriodS: f(10), Hints: "rough", HintCV: f(0.5)},
		Clients:   Clients{Retries: f(2), BackoffMS: f(200), TryShare: f(0.7)},
		Discovery: Discovery{NoticeS: f(2), SilentS: f(10), AddS: f(1), PeriodMS: f(500), SpreadMS: f(50),
			CallsPerS: f(20), CallLines: f(50), TimeoutMS: f(3000)},
		Rules: Rules{AnswerSlackMS: f(20), AskWithinMS: f(10000), ColdFrom: f(0.12), ColdMS: f(24000), DrainGraceMS: f(2000),
			FallMultiple: f(2.5), FallMS: f(2000), DialTimeoutMS: f(250), ProbeTimeoutMS: f(500), KeepaliveMS: f(60000)},
		Score: Score{Whole: f(0.45), WorstWindow: f(0.45), WorstClass: f(0.1), WindowS: f(10), WorthBy: "work",
			Waste: f(0.05), LateFail: f(0.05), CrossZone: f(0.03), Probe: f(0.01), Choke: f(0.08)},
	}
}

// fillDefaults gives what is left out of kinds and classes its default.
func (s *Scenario) fillDefaults() {
	text := func(v *string, def string) {
		if *v == "" {
			*v = def
		}
	}
	rng := func(v *Range, def float64) {
		if !v.Set {
			*v = Fixed(def)
		}
	}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		k.Cores = max(k.Cores, 1)
		text(&k.WarmBy, "time")
		text(&k.Cancel, "queued")
		text(&k.DropExpired, "no")
		rng(&k.Share, 1)
		rng(&k.Speed, 1)
		rng(&k.SlotsPerCore, 1)
		rng(&k.QueuePerCore, 20)
		rng(&k.HandshakeRTTs, 1)
	}
	for i := range s.Classes {
		k := &s.Classes[i]
		text(&k.Dist, "lognormal")
		text(&k.Effect, "safe")
		rng(&k.Share, 1)
		rng(&k.WorkMS, 100)
		rng(&k.CV, 1)
		rng(&k.AimMS, 1000)
		rng(&k.DeadlineMS, 5000)
		rng(&k.Worth, 1)
		if k.Effect == "keyed" {
			text(&k.Scope, "all")
			rng(&k.WindowMS, 5000)
		}
	}
	for i := range s.Troubles {
		if s.Troubles[i].Weight == 0 {
			s.Troubles[i].Weight = 1
		}
	}
}
