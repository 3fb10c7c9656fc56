package scenario

// checkSite checks the zones, the balancers and the fleet.
func (s *Scenario) checkSite(c *checker) {
	s.checkZones(c)
	s.checkBalancers(c)
	s.checkFleet(c)
}

func (s *Scenario) checkZones(c *checker) {
	if n := len(s.Zones.Names); n < 1 || n > 200 {
		c.report("zones.names", "%d zones, 1 to 200 are expected", n)
	}
	if n := len(s.Zones.Servers); n > 0 && n != len(s.Zones.Names) {
		c.report("zones.servers", "%d shares for %d zones", n, len(s.Zones.Names))
	}
	total := 0.0
	for _, v := range s.Zones.Servers {
		if !(v >= 0) {
			c.report("zones.servers", "%v is no share", v)
		}
		total += v
	}
	if len(s.Zones.Servers) > 0 && total == 0 {
		c.report("zones.servers", "one zone at least needs a share above 0")
	}
	c.within("zones.same_ms", s.Zones.SameMS, 0, 10000)
	c.within("zones.cross_ms", s.Zones.CrossMS, 0, 10000)
	c.within("zones.client_ms", s.Zones.ClientMS, 0, 10000)
	c.within("zones.jitter", s.Zones.Jitter, 0, 10)
}

func (s *Scenario) checkBalancers(c *checker) {
	if s.Balancers.Count < 1 || s.Balancers.Count > MaxBalancers {
		c.report("balancers.count", "%d, a number from 1 to %d is expected", s.Balancers.Count, MaxBalancers)
	}
	if s.Balancers.MaxAttempts < 1 || s.Balancers.MaxAttempts > 8 {
		c.report("balancers.max_attempts", "%d, a number from 1 to 8 is expected", s.Balancers.MaxAttempts)
	}
	c.within("balancers.start_spread_ms", s.Balancers.StartSpreadMS, 0, 600000)
	c.within("balancers.max_retry_after_ms", s.Balancers.MaxRetryAfterMS, 0, 600000)
	c.within("balancers.front_notice_s", s.Balancers.FailoverDelayS, 0, 600)
}

func (s *Scenario) checkFleet(c *checker) {
	if s.Fleet.Servers < 0 || s.Fleet.Servers > MaxServers {
		c.report("fleet.servers", "%d, a number from 0 to %d is expected", s.Fleet.Servers, MaxServers)
	}
	if s.Fleet.CellSize < 1 {
		c.report("fleet.cell_size", "%d, at least 1 is expected", s.Fleet.CellSize)
	}
	c.oneOf("fleet.weights", s.Fleet.Weights, "none", "nominal", "rough")
	c.within("fleet.rough_cv", s.Fleet.RoughCV, 0, 3)
	share := 0.0
	for _, k := range s.Kinds {
		share += k.Share.lower()
	}
	if s.Fleet.Servers > 0 && !(share > 0) {
		c.report("kind", "servers are asked for, but no kind has a share above 0")
	}
}
