package scenario

import (
	"math"
	"math/rand/v2"
	"slices"

	"piernotch/internal/lab/servermodel"
)

// drawKind draws the values that all servers of a kind share. The order of the draws must not
// change: seeds would give other realizations.
func (k *Kind) drawKind(rng *rand.Rand, collapse servermodel.Collapse) drawnKind {
	cores := float64(k.Cores)
	drawn := drawnKind{
		kind: servermodel.Kind{
			Name:  k.Name,
			Cores: k.Cores,
			Speed: k.Speed.draw(rng),
			Slots: max(int(math.Round(k.SlotsPerCore.draw(rng)*cores)), 1),
			Queue: int(math.Round(k.QueuePerCore.draw(rng) * cores)),

			Thrash:            k.Thrash.draw(rng),
			ThrashAt:          k.ThrashAt.draw(rng),
			SlowStartCapacity: k.SlowStartCapacity.draw(rng),
			SlowStartDuration: seconds(k.SlowStartS.draw(rng)),
			PauseEvery:        seconds(k.PauseEveryS.draw(rng)),
			PauseFor:          millis(k.PauseMS.draw(rng)),
			PauseGrow:         k.PauseGrow.draw(rng),
			ErrorRate:         k.ErrorRate.draw(rng),

			Overload:        k.drawOverload(rng),
			Keys:            k.drawKeys(rng),
			Conn:            k.drawConnectionCost(rng),
			Report:          k.drawReportTiming(rng),
			Collapse:        collapse,
			HealthCheckWork: k.HealthCheckMS.draw(rng),
		},
		speedCV: k.SpeedCV.draw(rng),
		rtts:    int(math.Round(k.HandshakeRTTs.draw(rng))),
	}
	drawn.kind.StopRunning = drawChoice(rng, k.Cancel, "all", "queued")
	drawn.kind.DropExpired = drawChoice(rng, k.DropExpired, "yes", "no")
	if k.WarmUpBy == "work" {
		drawn.kind.WarmUpBy = servermodel.WarmByWork
	}
	return drawn
}

func (k *Kind) drawOverload(rng *rand.Rand) servermodel.Overload {
	return servermodel.Overload{
		QueuePerCore: k.OverloadQueuePerCore.draw(rng),
		After:        seconds(k.OverloadAfterS.draw(rng)),
		Slowdown:     k.OverloadSlowdown.draw(rng),
		IdleBelow:    k.OverloadIdleBelow.draw(rng),
		IdleFor:      seconds(k.OverloadIdleForS.draw(rng)),
		MaxDuration:  seconds(k.OverloadMaxS.draw(rng)),
	}
}

func (k *Kind) drawKeys(rng *rand.Rand) servermodel.Keys {
	return servermodel.Keys{
		WorkSaved: k.KeyWorkSaved.draw(rng),
		WarmFor:   seconds(k.KeyWarmForS.draw(rng)),
		MaxKeys:   int(k.KeysPerCore.draw(rng) * float64(k.Cores)),
	}
}

func (k *Kind) drawConnectionCost(rng *rand.Rand) servermodel.ConnectionCost {
	return servermodel.ConnectionCost{
		Handshake:      k.HandshakeMS.draw(rng),
		MaxConnections: int(k.ConnectionsPerCore.draw(rng) * float64(k.Cores)),
		Tax:            k.ConnectionTax.draw(rng),
	}
}

func (k *Kind) drawReportTiming(rng *rand.Rand) servermodel.ReportTiming {
	return servermodel.ReportTiming{
		Interval: millis(k.ReportEveryMS.draw(rng)),
		Delay:    millis(k.ReportDelayMS.draw(rng)),
		Noise:    k.ReportNoise.draw(rng),
	}
}

// drawChoice reports whether a setting is on, where any value but the two is drawn. A number is drawn
// in each case, so that the setting does not move the draws that follow.
func drawChoice(rng *rand.Rand, setting, on, off string) bool {
	coin := rng.Float64() < 0.5
	switch setting {
	case on:
		return true
	case off:
		return false
	}
	return coin
}

// maxCellsPerZone keeps the numbers of cells of different zones apart.
const maxCellsPerZone = 1000

// drawServers draws the kinds and the servers that exist at the start.
func (r *Realization) drawServers(scenario *Scenario, rng *rand.Rand) error {
	shares := make([]float64, len(scenario.Kinds))
	for i := range scenario.Kinds {
		r.kinds = append(r.kinds, scenario.Kinds[i].drawKind(rng, r.Rules.Collapse))
		shares[i] = scenario.Kinds[i].Share.draw(rng)
	}
	// Kinds and zones are allotted by largest remainder and kinds are then shuffled, so that small
	// fleets keep the shares as well as they can.
	kinds := largestRemainder(shares, scenario.Fleet.Servers)
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	zones := largestRemainder(zoneShares(scenario.Zones.Servers, len(r.Zones)), scenario.Fleet.Servers)
	inZone := make([]int, len(r.Zones))
	roughCV := scenario.Fleet.RoughCV.draw(rng)
	for i := range scenario.Fleet.Servers {
		server := r.drawServer(
			serverDraw{kind: kinds[i], zone: zones[i], weights: scenario.Fleet.Weights, roughCV: roughCV},
			rng,
		)
		server.Cell = zones[i]*maxCellsPerZone + inZone[server.Zone]/scenario.Fleet.CellSize
		inZone[server.Zone]++
		if err := server.Kind.Validate(); err != nil {
			return &DrawError{Seed: r.Seed, Err: err}
		}
		r.Servers = append(r.Servers, server)
	}
	return nil
}

// zoneShares returns the share of the servers in each zone: even, where none are set.
func zoneShares(set []float64, zones int) []float64 {
	if len(set) > 0 {
		return set
	}
	even := make([]float64, zones)
	for i := range even {
		even[i] = 1
	}
	return even
}

// serverDraw is what a server is drawn from.
type serverDraw struct {
	kind, zone int     // indexes into Scenario.Kinds and Realization.Zones
	weights    string  // of Fleet
	roughCV    float64 // drawn from that of Fleet
}

// drawServer draws one server.
func (r *Realization) drawServer(from serverDraw, rng *rand.Rand) Server {
	drawn := r.kinds[from.kind]
	server := Server{Kind: drawn.kind, KindIndex: from.kind, Zone: from.zone, Size: 1, HandshakeRTTs: drawn.rtts}
	server.Kind.Speed *= lognormal(rng, drawn.speedCV)
	noise := lognormal(rng, from.roughCV)
	switch from.weights {
	case "nominal":
		server.Size = drawn.kind.Speed * float64(drawn.kind.Cores)
	case "rough":
		server.Size = server.Kind.Speed * float64(drawn.kind.Cores) * noise
	}
	return server
}

// goldenRatio is 2^64 divided by the golden ratio: it spreads consecutive numbers over all bits.
const goldenRatio = 0x9e3779b97f4a7c15

// Like returns another server of the kind of server i, for one that joins or replaces it. The number
// identifies the new one: the same number always gives the same server.
func (r *Realization) Like(i, number int) Server {
	rng := Stream(r.Seed^uint64(number)*goldenRatio, "spare")
	original := r.Servers[i]
	drawn := r.kinds[original.KindIndex]
	server := original
	server.Kind.Speed = drawn.kind.Speed * lognormal(rng, drawn.speedCV)
	server.Size = original.Size / original.Kind.Speed * server.Kind.Speed
	return server
}

// lognormal draws a factor of mean 1 and the given coefficient of variation.
func lognormal(rng *rand.Rand, cv float64) float64 {
	sigma := math.Sqrt(math.Log1p(cv * cv))
	return math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
}

// largestRemainder allots n places in proportion to shares, by largest remainder. It returns the
// index of a share for each place, or nil where no share is above 0.
func largestRemainder(shares []float64, count int) []int {
	total := 0.0
	for _, share := range shares {
		total += share
	}
	if count == 0 || total <= 0 {
		return nil
	}
	type remainder struct {
		index int
		part  float64
	}
	var places []int
	var remainders []remainder
	for i, share := range shares {
		exact := share / total * float64(count)
		for range int(exact) {
			places = append(places, i)
		}
		remainders = append(remainders, remainder{i, exact - math.Floor(exact)})
	}
	slices.SortStableFunc(remainders, func(a, b remainder) int {
		switch { // not cmp.Compare, which orders NaN (of an infinite share) too
		case a.part > b.part:
			return -1
		case a.part < b.part:
			return 1
		}
		return 0
	})
	for i := 0; len(places) < count; i++ {
		places = append(places, remainders[i%len(remainders)].index)
	}
	return places
}
