package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// drawFaults draws the faults. Each has a stream of its own, so that another fault in the scenario does
// not change the draws of the rest.
func (r *Realization) drawFaults(scenario *Scenario, seed uint64) {
	chosen := scenario.chooseFaults(seed)
	for i := range scenario.Faults {
		if chosen[i] {
			r.Faults = append(r.Faults, r.drawFault(scenario, i, Stream(seed, fmt.Sprintf("trouble %d", i))))
		}
	}
}

// chooseFaults reports for each fault whether it is part of the realization: all of them, or a drawn
// number of them, chosen by weight without replacement.
func (s *Scenario) chooseFaults(seed uint64) []bool {
	chosen := make([]bool, len(s.Faults))
	if !s.Draws.Faults.Set {
		for i := range chosen {
			chosen[i] = true
		}
		return chosen
	}
	rng := Stream(seed, "troubles")
	count := min(int(s.Draws.Faults.draw(rng)), len(s.Faults))
	for range count {
		s.chooseFault(chosen, rng)
	}
	return chosen
}

// chooseFault marks one more fault as chosen, by weight.
func (s *Scenario) chooseFault(chosen []bool, rng *rand.Rand) {
	total := 0.0
	for i := range s.Faults {
		if !chosen[i] {
			total += s.Faults[i].Weight
		}
	}
	remaining := rng.Float64() * total
	for i := range s.Faults {
		if chosen[i] {
			continue
		}
		remaining -= s.Faults[i].Weight
		if remaining <= 0 {
			chosen[i] = true
			return
		}
	}
}

// drawFault draws the fault with an index, and which servers and balancers it affects.
func (r *Realization) drawFault(scenario *Scenario, index int, rng *rand.Rand) Fault {
	spec := &scenario.Faults[index]
	fault := Fault{
		Kind:   spec.Kind,
		At:     seconds(spec.AtS.draw(rng)),
		For:    seconds(spec.ForS.draw(rng)),
		Part:   spec.Part.draw(rng),
		Size:   spec.Size.draw(rng),
		Every:  seconds(spec.EveryS.draw(rng)),
		Ramp:   seconds(spec.RampS.draw(rng)),
		Class:  -1,
		Number: index,
	}
	for i := range scenario.Classes {
		if scenario.Classes[i].Name == spec.Class {
			fault.Class = i
		}
	}
	inZone := func(zone int) bool { return spec.Zone == "" || r.Zones[zone] == spec.Zone }
	var servers []int
	for i := range r.Servers {
		if inZone(r.Servers[i].Zone) {
			servers = append(servers, i)
		}
	}
	serverPart := fault.Part
	if spec.Kind == FaultShrink {
		serverPart = 1 - 1/fault.Size
	}
	fault.Servers = sample(servers, serverPart, rng)
	var balancers []int
	for i := range r.Balancers {
		if inZone(r.Balancers[i].Zone) {
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
	count := int(math.Round(part * float64(len(shuffled))))
	if part > 0 && count == 0 {
		count = 1
	}
	return shuffled[:min(count, len(shuffled))]
}
