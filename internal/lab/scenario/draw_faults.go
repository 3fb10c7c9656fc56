package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// drawFaults draws the incidents. Each trouble has a stream of its own, so that one
// more of them does not move the others.
func (d *Instance) drawFaults(s *Scenario, seed uint64) {
	chosen := make([]bool, len(s.Troubles))
	if s.Draws.Troubles.Set {
		rng := Stream(seed, "troubles")
		want := min(int(s.Draws.Troubles.draw(rng)), len(s.Troubles))
		for range want {
			left := 0.0
			for i := range s.Troubles {
				if !chosen[i] {
					left += s.Troubles[i].Weight
				}
			}
			at := rng.Float64() * left
			for i := range s.Troubles {
				if chosen[i] {
					continue
				}
				if at -= s.Troubles[i].Weight; at <= 0 {
					chosen[i] = true
					break
				}
			}
		}
	} else {
		for i := range chosen {
			chosen[i] = true
		}
	}
	for i := range s.Troubles {
		if chosen[i] {
			d.Faults = append(d.Faults, d.drawFault(s, i, Stream(seed, fmt.Sprintf("trouble %d", i))))
		}
	}
}

func (d *Instance) drawFault(s *Scenario, n int, rng *rand.Rand) Fault {
	t := &s.Troubles[n]
	in := Fault{
		Kind: t.Kind, At: seconds(t.AtS.draw(rng)), For: seconds(t.ForS.draw(rng)), Part: t.Part.draw(rng), Size: t.Size.draw(rng),
		Every: seconds(t.EveryS.draw(rng)), Ramp: seconds(t.RampS.draw(rng)), Class: -1, Number: n,
	}
	for i := range s.Classes {
		if s.Classes[i].Name == t.Class {
			in.Class = i
		}
	}
	var servers []int
	for i := range d.Servers {
		if t.Zone == "" || d.Zones[d.Servers[i].Zone] == t.Zone {
			servers = append(servers, i)
		}
	}
	part := in.Part
	if t.Kind == "shrink" {
		part = 1 - 1/in.Size
	}
	in.Servers = pick(servers, part, rng)
	var balancers []int
	for i := range d.Balancers {
		if t.Zone == "" || d.Zones[d.Balancers[i].Zone] == t.Zone {
			balancers = append(balancers, i)
		}
	}
	in.Balancers = pick(balancers, in.Part, rng)
	return in
}

// pick picks a part of a list by chance: at least one where the part is above 0.
func pick(from []int, part float64, rng *rand.Rand) []int {
	from = slices.Clone(from)
	rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	n := int(math.Round(part * float64(len(from))))
	if part > 0 && n == 0 {
		n = 1
	}
	return from[:min(n, len(from))]
}
