package scenario

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
