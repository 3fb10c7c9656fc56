package simulation

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"piernotch/internal/lab/scenario"
	"piernotch/internal/trafficrecording"
)

// traffic generates client requests: drawn from the scenario, or replayed from a recording. The requests do not
// depend on the balancers' decisions.
type traffic struct {
	arrivals, keys, hints, tails *rand.Rand

	levels  []float64 // rate factor of each segment of bursty traffic
	zipf    []float64 // cumulative weights of keys
	maxRate float64   // upper bound of the rate, per second

	replay  bool // requests come from a recording
	head    trafficrecording.Header
	records []trafficrecording.Record // not yet replayed, in order of arrival
	classOf map[string]int            // class index by name
}

// segment returns how long bursty traffic keeps one level.
func segment(realization *scenario.Realization) time.Duration {
	return max(realization.Traffic.Period/4, 10*time.Millisecond)
}

// init draws the shape of the traffic, or reads the recording if the scenario names one.
func (t *traffic) init(world *World) error {
	realization := world.realization
	t.arrivals, t.keys = scenario.Stream(realization.Seed, "arrivals"), scenario.Stream(realization.Seed, "keys")
	t.hints, t.tails = scenario.Stream(realization.Seed, "hints"), scenario.Stream(realization.Seed, "heavy")
	if realization.Traffic.Trace != "" {
		return t.loadTrace(realization)
	}
	shape := scenario.Stream(realization.Seed, "shape")
	for at := time.Duration(0); at <= realization.Length; at += segment(realization) {
		t.levels = append(t.levels, 1+realization.Traffic.Amplitude*(2*shape.Float64()-1))
	}
	t.zipf = cumulativeZipf(realization.Traffic.Keys, realization.Traffic.KeyZipf)
	t.maxRate = realization.Traffic.RequestsPerSecond * (1 + realization.Traffic.Amplitude)
	for i := range realization.Faults {
		if fault := &realization.Faults[i]; fault.Kind == scenario.FaultBurst {
			t.maxRate *= max(fault.Size, 1)
		}
	}
	return nil
}

func cumulativeZipf(keys int, exponent float64) []float64 {
	var weights []float64
	sum := 0.0
	for i := range keys {
		sum += math.Pow(float64(i+1), -exponent)
		weights = append(weights, sum)
	}
	return weights
}

// rate returns the rate of client requests at a time, per second.
func (t *traffic) rate(world *World, at time.Duration) float64 {
	realization := world.realization
	rate := realization.Traffic.RequestsPerSecond
	switch realization.Traffic.Shape {
	case "waves":
		rate *= 1 + realization.Traffic.Amplitude*math.Sin(
			2*math.Pi*(float64(at)/float64(realization.Traffic.Period)+realization.Traffic.Phase),
		)
	case "bursty":
		rate *= t.levels[min(int(at/segment(realization)), len(t.levels)-1)]
	}
	for i := range realization.Faults {
		fault := &realization.Faults[i]
		switch fault.Kind {
		case scenario.FaultBurst:
			rate *= 1 + (fault.Size-1)*ramp(at, fault.At, fault.End(), fault.Ramp)
		case scenario.FaultShrink: // traffic falls with the number of servers and does not recover
			rate *= 1 - (1-1/fault.Size)*ramp(at, fault.At, never, fault.For)
		}
	}
	return rate
}

// ramp rises linearly from 0 at the time from, and falls back to 0 at the time to. The rise to 1 and the fall take
// the duration over each.
func ramp(at, from, to, over time.Duration) float64 {
	if at <= from || at >= to {
		return 0
	}
	if over <= 0 {
		return 1
	}
	up := float64(at-from) / float64(over)
	down := float64(to-at) / float64(over)
	return min(up, down, 1)
}

// scheduleNext schedules the next client request, if it is due within the scenario's length.
func (t *traffic) scheduleNext(world *World) {
	if t.replay {
		if len(t.records) > 0 {
			if at := t.records[0].At / time.Microsecond * time.Microsecond; at < world.realization.Length {
				world.events.schedule(max(at, world.now), eventNextClient, 0)
			}
		}
		return
	}
	if !(t.maxRate > 0) {
		return
	}
	// Thinning (Lewis and Shedler 1979): candidates arrive at maxRate, and each is accepted with the
	// probability rate/maxRate.
	for at := world.now; ; {
		at += time.Duration(t.arrivals.ExpFloat64() / t.maxRate * float64(time.Second))
		if at >= world.realization.Length {
			return
		}
		if t.arrivals.Float64()*t.maxRate < t.rate(world, at) {
			world.events.schedule(at/time.Microsecond*time.Microsecond, eventNextClient, 0)
			return
		}
	}
}

// clientArrives creates the scheduled client request, sends it and schedules the next one.
func (t *traffic) clientArrives(world *World) {
	world.lastClientRequest++
	client := world.clientRequests.Put(world.lastClientRequest)
	t.drawRequest(world, client)
	world.counters.goodput.RequestSent(client.firstSent, client.class, client.work)
	world.sendRequest(world.lastClientRequest)
	t.scheduleNext(world)
}

func (t *traffic) drawRequest(world *World, client *clientRequest) {
	realization := world.realization
	*client = clientRequest{
		randomKey: mix(realization.Seed ^ world.lastClientRequest*goldenRatio),
		firstSent: world.now,
		costHint:  math.NaN(),
	}
	if t.replay {
		t.takeRecorded(world, client)
	} else {
		t.drawFromScenario(world, client)
	}
	client.deadline = world.now + realization.Classes[client.class].Deadline
	client.disconnectDraw = t.tails.Float64()
	client.maxRetries = int(realization.Clients.Retries)
	if t.tails.Float64() < realization.Clients.Retries-float64(client.maxRetries) {
		client.maxRetries++
	}
}

// Arrival is one client request, before any decision.
type Arrival struct {
	At          time.Duration // since the start
	Class       int
	Zone        int
	Work        float64 // ms
	Hint        float64 // ms; NaN: none
	Key         uint64  // 0: none
	MaxAttempts int     // of the client, the first attempt included
	Seed        uint64  // of the hashed random numbers
}

// Arrivals returns all client requests of a realization, the same as in a World.
func Arrivals(realization *scenario.Realization) ([]Arrival, error) {
	world := &World{realization: realization}
	if err := world.traffic.init(world); err != nil {
		return nil, err
	}
	var arrivals []Arrival
	for world.traffic.scheduleNext(world); ; world.traffic.scheduleNext(world) {
		event, ok := world.events.pop()
		if !ok {
			return arrivals, nil
		}
		world.now = event.at
		world.lastClientRequest++
		var client clientRequest
		world.traffic.drawRequest(world, &client)
		arrivals = append(arrivals, Arrival{
			At:          client.firstSent,
			Class:       client.class,
			Zone:        client.zone,
			Work:        client.work,
			Hint:        client.costHint,
			Key:         client.key,
			MaxAttempts: client.maxRetries + 1,
			Seed:        client.randomKey,
		})
	}
}

func (t *traffic) drawFromScenario(world *World, client *clientRequest) {
	realization := world.realization
	draw := t.arrivals.Float64()
	classes := realization.Classes
	for client.class = 0; client.class < len(classes)-1 && draw >= classes[client.class].Share; client.class++ {
		draw -= classes[client.class].Share
	}
	client.zone = sort.SearchFloat64s(realization.Traffic.Zones, t.arrivals.Float64())
	client.zone = min(client.zone, len(realization.Zones)-1)
	client.work = realization.Classes[client.class].Work.Rand()
	tail := t.tails.Float64()
	for i := range realization.Faults {
		fault := &realization.Faults[i]
		active := fault.Kind == scenario.FaultHeavyTail && world.now >= fault.At && world.now < fault.End()
		hit := fault.Class < 0 || fault.Class == client.class
		if active && hit && tail < fault.Part {
			client.work *= fault.Size
		}
	}
	if keys := len(t.zipf); keys > 0 {
		rank := sort.SearchFloat64s(t.zipf, t.keys.Float64()*t.zipf[keys-1])
		client.key = mix(realization.Seed^uint64(rank+1)) | 1
	}
	client.costHint = t.drawHint(realization, client.work)
}

// drawHint returns the cost hint of a request, in ms; NaN means none.
func (t *traffic) drawHint(realization *scenario.Realization, work float64) float64 {
	sigma := math.Sqrt(math.Log1p(realization.Traffic.HintCV * realization.Traffic.HintCV))
	noise := math.Exp(sigma*t.hints.NormFloat64() - sigma*sigma/2)
	switch realization.Traffic.Hints {
	case "exact":
		return work
	case "rough":
		return work * noise
	}
	return math.NaN()
}
