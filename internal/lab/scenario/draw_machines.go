package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"piernotch/internal/lab/servermodel"
)

// draw makes the day's machine of a kind.
func (k *Kind) draw(rng *rand.Rand, fall servermodel.Collapse) drawnKind {
	cores := float64(k.Cores)
	yes := func(v, yes, no string) bool { // drawn always, so that the stream stays in step
		coin := rng.Float64() < 0.5
		return v == yes || v != no && coin
	}
	out := drawnKind{
		kind: servermodel.Kind{
			Name: k.Name, Cores: k.Cores, Speed: k.Speed.draw(rng),
			Slots: max(int(math.Round(k.SlotsPerCore.draw(rng)*cores)), 1), Queue: int(math.Round(k.QueuePerCore.draw(rng) * cores)),
			Thrash: k.Thrash.draw(rng), ThrashAt: k.ThrashAt.draw(rng),
			SlowStartCapacity: k.ColdFrom.draw(rng), SlowStartDuration: seconds(k.ColdS.draw(rng)),
			PauseEvery: seconds(k.PauseEveryS.draw(rng)), PauseFor: millis(k.PauseMS.draw(rng)), PauseGrow: k.PauseGrow.draw(rng),
			ErrorRate: k.ErrorRate.draw(rng),
			Overload: servermodel.Overload{
				QueuePerCore: k.ChokeAt.draw(rng), After: seconds(k.ChokeOverS.draw(rng)), Slowdown: k.ChokeSlower.draw(rng),
				IdleBelow: k.ChokeBelow.draw(rng), IdleFor: seconds(k.ChokeRestS.draw(rng)), MaxDuration: seconds(k.ChokeMostS.draw(rng)),
			},
			Keys: servermodel.Keys{WorkSaved: k.KeyGain.draw(rng), WarmFor: seconds(k.KeyS.draw(rng)), MaxKeys: int(k.KeysPerCore.draw(rng) * cores)},
			Conn: servermodel.ConnectionCost{Handshake: k.HandshakeMS.draw(rng), MaxConnections: int(k.ConnPerCore.draw(rng) * cores), Tax: k.ConnTax.draw(rng)},
			Report: servermodel.ReportTiming{
				Interval: millis(k.ReportEveryMS.draw(rng)), Delay: millis(k.ReportDelayMS.draw(rng)), Noise: k.ReportNoise.draw(rng),
			},
			Collapse: fall, HealthCheckWork: k.ProbeMS.draw(rng),
		},
		speedCV: k.SpeedCV.draw(rng), rtts: int(math.Round(k.HandshakeRTTs.draw(rng))),
	}
	out.kind.StopRunning = yes(k.Cancel, "all", "queued")
	out.kind.DropExpired = yes(k.DropExpired, "yes", "no")
	if k.WarmBy == "work" {
		out.kind.WarmUpBy = servermodel.WarmByWork
	}
	return out
}

func (d *Instance) drawServers(s *Scenario, rng *rand.Rand) error {
	shares := make([]float64, len(s.Kinds))
	total := 0.0
	for i := range s.Kinds {
		d.kinds = append(d.kinds, s.Kinds[i].draw(rng, d.Rules.Fall))
		shares[i] = s.Kinds[i].Share.draw(rng)
		total += shares[i]
	}
	// Kinds and zones are dealt out by largest remainder and then shuffled, so that
	// small fleets keep the shares as well as they can.
	kinds := largestRemainder(shares, total, s.Fleet.Servers)
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	weights := s.Zones.Servers
	if len(weights) == 0 {
		weights = make([]float64, len(d.Zones))
		for i := range weights {
			weights[i] = 1
		}
	}
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	zones := largestRemainder(weights, sum, s.Fleet.Servers)
	seen := make([]int, len(d.Zones))
	rough := s.Fleet.RoughCV.draw(rng)
	for i := range s.Fleet.Servers {
		v := d.drawServer(s.Fleet.Weights, rough, kinds[i], zones[i], rng)
		v.Cell = zones[i]*1000 + seen[v.Zone]/s.Fleet.Cells
		seen[v.Zone]++
		if err := v.Kind.Validate(); err != nil {
			return fmt.Errorf("seed %d: %w", d.Seed, err)
		}
		d.Servers = append(d.Servers, v)
	}
	return nil
}

// drawServer draws one machine of a kind.
func (d *Instance) drawServer(weights string, rough float64, kind, zone int, rng *rand.Rand) Server {
	k := d.kinds[kind]
	v := Server{Kind: k.kind, KindIndex: kind, Zone: zone, Size: 1, Handshake: k.rtts}
	v.Kind.Speed *= lognormal(rng, k.speedCV)
	noise := lognormal(rng, rough)
	switch weights {
	case "nominal":
		v.Size = k.kind.Speed * float64(k.kind.Cores)
	case "rough":
		v.Size = v.Kind.Speed * float64(k.kind.Cores) * noise
	}
	return v
}

// Like makes another machine of a server's kind, for one that joins or replaces it.
// The number tells machines apart; the same number is always the same machine.
func (d *Instance) Like(i, number int) Server {
	rng := Stream(d.Seed^uint64(number)*0x9e3779b97f4a7c15, "spare")
	was := d.Servers[i]
	v := was
	k := d.kinds[was.KindIndex]
	v.Kind.Speed = k.kind.Speed * lognormal(rng, k.speedCV)
	v.Size = was.Size / was.Kind.Speed * v.Kind.Speed
	return v
}

// lognormal draws a factor of mean 1.
func lognormal(rng *rand.Rand, cv float64) float64 {
	sigma := math.Sqrt(math.Log1p(cv * cv))
	return math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
}

// largestRemainder gives n places to shares by largest remainder.
func largestRemainder(shares []float64, total float64, n int) []int {
	if n == 0 || total <= 0 {
		return nil
	}
	type rest struct {
		i    int
		part float64
	}
	var out []int
	var rests []rest
	for i, s := range shares {
		want := s / total * float64(n)
		for range int(want) {
			out = append(out, i)
		}
		rests = append(rests, rest{i, want - math.Floor(want)})
	}
	slices.SortStableFunc(rests, func(a, b rest) int {
		switch {
		case a.part > b.part:
			return -1
		case a.part < b.part:
			return 1
		}
		return 0
	})
	for i := 0; len(out) < n; i++ {
		out = append(out, rests[i%len(rests)].i)
	}
	return out
}
