package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// drawFaults draws the faults. Each trouble has a stream of its own, so that another trouble in the
// scenario does not change the draws of the rest.
func (d *Realization) drawFaults(s *Scenario, seed uint64) {
	chosen := s.chooseTroubles(seed)
	for i := range s.Troubles {
		if chosen[i] {
			d.Faults = append(d.Faults, d.drawFault(s, i, Stream(seed, fmt.Sprintf("trouble %d", i))))
		}
	}
}

// chooseTroubles reports for each trouble whether it is part of the instance: all of them, or a drawn
// number of them, chosen by weight without replacement.
func (s *Scenario) chooseTroubles(seed uint64) []bool {
	chosen := make([]bool, len(s.Troubles))
	if !s.Draws.Troubles.Set {
		for i := range chosen {
			chosen[i] = true
		}
		return chosen
	}
	rng := Stream(seed, "troubles")
	count := min(int(s.Draws.Troubles.draw(rng)), len(s.Troubles))
	for range count {
		s.chooseTrouble(chosen, rng)
	}
	return chosen
}

// chooseTrouble marks one more trouble as chosen, by weight.
func (s *Scenario) chooseTrouble(chosen []bool, rng *rand.Rand) {
	total := 0.0
	for i := range s.Troubles {
		if !chosen[i] {
			total += s.Troubles[i].Weight
		}
	}
	remaining := rng.Float64() * total
	for i := range s.Troubles {
		if chosen[i] {
			continue
		}
		remaining -= s.Troubles[i].Weight
		if remaining <= 0 {
			chosen[i] = true
			return
		}
	}
}

// drawFault draws the fault of the trouble with an index, and which servers and balancers it affects.
func (d *Realization) drawFault(s *Scenario, index int, rng *rand.Rand) Fault {
	t := &s.Troubles[index]
	fault := Fault{
		Kind:   t.Kind,
		At:     seconds(t.AtS.draw(rng)),
		For:    seconds(t.ForS.draw(rng)),
		Part:   t.Part.draw(rng),
		Size:   t.Size.draw(rng),
		Every:  seconds(t.EveryS.draw(rng)),
		Ramp:   seconds(t.RampS.draw(rng)),
		Class:  -1,
		Number: index,
	}
	for i := range s.Classes {
		if s.Classes[i].Name == t.Class {
			fault.Class = i
		}
	}
	inZone := func(zone int) bool { return t.Zone == "" || d.Zones[zone] == t.Zone }
	var servers []int
	for i := range d.Servers {
		if inZone(d.Servers[i].Zone) {
			servers = append(servers, i)
		}
	}
	serverPart := fault.Part
	if t.Kind == "shrink" {
		serverPart = 1 - 1/fault.Size
	}
	fault.Servers = sample(servers, serverPart, rng)
	var balancers []int
	for i := range d.Balancers {
		if inZone(d.Balancers[i].Zone) {
			balancers = append(balancers, i)
		}
	}
	fault.Balancers = sample(balancers, fault.Part, rng)
	return fault
}

// sample draws a part of a list without replacement: at least one element where the part is above 0.
func sample(from []int, part float64, rng *rand.Rand) []int {
	shuffled := slices.Clone(from)
	rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	n := int(math.Round(part * float64(len(shuffled))))
	if part > 0 && n == 0 {
		n = 1
	}
	return shuffled[:min(n, len(shuffled))]
}
