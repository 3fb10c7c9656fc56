package scenario

// checkSite checks the zones, the balancers and the fleet.
func (s *Scenario) checkSite(checks *checker) {
	s.checkZones(checks)
	s.checkBalancers(checks)
	s.checkFleet(checks)
}

func (s *Scenario) checkZones(checks *checker) {
	if n := len(s.Zones.Names); n < 1 || n > 200 {
		checks.report("zones.names", "%d zones, 1 to 200 are expected", n)
	}
	if n := len(s.Zones.Servers); n > 0 && n != len(s.Zones.Names) {
		checks.report("zones.servers", "%d shares for %d zones", n, len(s.Zones.Names))
	}
	total := 0.0
	for _, v := range s.Zones.Servers {
		if !(v >= 0) {
			checks.report("zones.servers", "%v is no share", v)
		}
		total += v
	}
	if len(s.Zones.Servers) > 0 && total == 0 {
		checks.report("zones.servers", "one zone at least needs a share above 0")
	}
	checks.within("zones.same_ms", s.Zones.SameMS, 0, 10000)
	checks.within("zones.cross_ms", s.Zones.CrossMS, 0, 10000)
	checks.within("zones.client_ms", s.Zones.ClientMS, 0, 10000)
	checks.within("zones.jitter", s.Zones.Jitter, 0, 10)
}

func (s *Scenario) checkBalancers(checks *checker) {
	if s.Balancers.Count < 1 || s.Balancers.Count > MaxBalancers {
		checks.report("balancers.count", "%d, a number from 1 to %d is expected", s.Balancers.Count, MaxBalancers)
	}
	if s.Balancers.MaxAttempts < 1 || s.Balancers.MaxAttempts > 8 {
		checks.report("balancers.max_attempts", "%d, a number from 1 to 8 is expected", s.Balancers.MaxAttempts)
	}
	checks.within("balancers.start_spread_ms", s.Balancers.StartSpreadMS, 0, 600000)
	checks.within("balancers.max_retry_after_ms", s.Balancers.MaxRetryAfterMS, 0, 600000)
	checks.within("balancers.front_notice_s", s.Balancers.FailoverDelayS, 0, 600)
}

func (s *Scenario) checkFleet(checks *checker) {
	if s.Fleet.Servers < 0 || s.Fleet.Servers > MaxServers {
		checks.report("fleet.servers", "%d, a number from 0 to %d is expected", s.Fleet.Servers, MaxServers)
	}
	if s.Fleet.CellSize < 1 {
		checks.report("fleet.cell_size", "%d, at least 1 is expected", s.Fleet.CellSize)
	}
	checks.oneOf("fleet.weights", s.Fleet.Weights, "none", "nominal", "rough")
	checks.within("fleet.rough_cv", s.Fleet.RoughCV, 0, 3)
	share := 0.0
	for _, k := range s.Kinds {
		share += k.Share.lower()
	}
	if s.Fleet.Servers > 0 && !(share > 0) {
		checks.report("kind", "servers are asked for, but no kind has a share above 0")
	}
}
