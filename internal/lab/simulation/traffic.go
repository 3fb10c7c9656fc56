package simulation

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"piernotch/internal/lab/scenario"
	"piernotch/internal/trafficrecording"
)

// traffic brings clients: drawn from the scenario, or those of a recording. Nothing in it depends on
// what balancers decide.
type traffic struct {
	arrivals, keys, hints, tails *rand.Rand

	levels  []float64 // of bursty traffic: factor of the rate, by segment
	zipf    []float64 // cumulative weights of keys
	maxRate float64   // greatest rate, per second

	replay  bool // the requests are recorded
	head    trafficrecording.Header
	records []trafficrecording.Record // by arrival; those to come
	classOf map[string]int            // index by name
}

// segment is the length over which bursty traffic keeps a level.
func segment(d *scenario.Realization) time.Duration {
	return max(d.Traffic.Period/4, 10*time.Millisecond)
}

// init draws the shape of the traffic, or reads the recording.
func (t *traffic) init(w *World) error {
	d := w.realization
	t.arrivals, t.keys = scenario.Stream(d.Seed, "arrivals"), scenario.Stream(d.Seed, "keys")
	t.hints, t.tails = scenario.Stream(d.Seed, "hints"), scenario.Stream(d.Seed, "heavy")
	if d.Traffic.Trace != "" {
		return t.loadTrace(d)
	}
	shape := scenario.Stream(d.Seed, "shape")
	for at := time.Duration(0); at <= d.Length; at += segment(d) {
		t.levels = append(t.levels, 1+d.Traffic.Amplitude*(2*shape.Float64()-1))
	}
	t.zipf = cumulativeZipf(d.Traffic.Keys, d.Traffic.KeyZipf)
	t.maxRate = d.Traffic.RequestsPerSecond * (1 + d.Traffic.Amplitude)
	for i := range d.Faults {
		if fault := &d.Faults[i]; fault.Kind == "burst" {
			t.maxRate *= max(fault.Size, 1)
		}
	}
	return nil
}

// cumulativeZipf returns the cumulative weights of n keys by Zipf's law.
func cumulativeZipf(n int, exponent float64) []float64 {
	var out []float64
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -exponent)
		out = append(out, sum)
	}
	return out
}

// rate is the rate of requests at a time, per second.
func (t *traffic) rate(w *World, at time.Duration) float64 {
	d := w.realization
	r := d.Traffic.RequestsPerSecond
	switch d.Traffic.Shape {
	case "waves":
		r *= 1 + d.Traffic.Amplitude*math.Sin(2*math.Pi*(float64(at)/float64(d.Traffic.Period)+d.Traffic.Phase))
	case "bursty":
		r *= t.levels[min(int(at/segment(d)), len(t.levels)-1)]
	}
	for i := range d.Faults {
		fault := &d.Faults[i]
		switch fault.Kind {
		case "burst":
			r *= 1 + (fault.Size-1)*ramp(at, fault.At, fault.End(), fault.Ramp)
		case "shrink": // traffic falls with the number of servers, and stays low
			r *= 1 - (1-1/fault.Size)*ramp(at, fault.At, never, fault.For)
		}
	}
	return r
}

// ramp rises from 0 to 1 after from, and falls back before to.
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

// planNext plans the next client, unless none comes before the end.
func (t *traffic) planNext(w *World) {
	if t.replay {
		if len(t.records) > 0 {
			if at := t.records[0].At / time.Microsecond * time.Microsecond; at < w.realization.Length {
				w.events.plan(max(at, w.now), priorityArrival, eventNextClient, 0, 0)
			}
		}
		return
	}
	if !(t.maxRate > 0) {
		return
	}
	// Thinning: candidates come at the greatest rate, and each is taken with the
	// share that the present rate is of it (Lewis and Shedler 1979).
	for at := w.now; ; {
		at += time.Duration(t.arrivals.ExpFloat64() / t.maxRate * float64(time.Second))
		if at >= w.realization.Length {
			return
		}
		if t.arrivals.Float64()*t.maxRate < t.rate(w, at) {
			w.events.plan(at/time.Microsecond*time.Microsecond, priorityArrival, eventNextClient, 0, 0)
			return
		}
	}
}

// clientArrives adds the client that was planned, and plans the next one.
func (t *traffic) clientArrives(w *World) {
	w.lastClientRequest++
	client := w.clientRequests.Put(w.lastClientRequest)
	t.drawRequest(w, client)
	w.counters.goodput.RequestSent(client.firstSent, client.class, client.work)
	w.sendRequest(w.lastClientRequest)
	t.planNext(w)
}

// drawRequest draws what a client wants.
func (t *traffic) drawRequest(w *World, client *clientRequest) {
	d := w.realization
	*client = clientRequest{randomKey: mix(d.Seed ^ w.lastClientRequest*0x9e3779b97f4a7c15), firstSent: w.now, costHint: math.NaN()}
	if t.replay {
		t.takeRecorded(w, client)
	} else {
		t.drawFromScenario(w, client)
	}
	client.deadline = w.now + d.Classes[client.class].Deadline
	client.patienceDraw = t.tails.Float64()
	client.maxRetries = int(d.Clients.Retries)
	if t.tails.Float64() < d.Clients.Retries-float64(client.maxRetries) {
		client.maxRetries++
	}
}

// Arrival is one request of a client, before any decision.
type Arrival struct {
	At    time.Duration // since the start
	Class int
	Zone  int
	Work  float64 // ms
	Hint  float64 // ms; NaN: none
	Key   uint64  // 0: none
	Tries int     // sendings that the client makes at most
	Seed  uint64  // of the client's other random numbers
}

// Arrivals draws all requests of a scenario ahead: the same that a World plays.
func Arrivals(realization *scenario.Realization) ([]Arrival, error) {
	w := &World{realization: realization}
	if err := w.traffic.init(w); err != nil {
		return nil, err
	}
	var out []Arrival
	for w.traffic.planNext(w); ; w.traffic.planNext(w) {
		e, ok := w.events.pop()
		if !ok {
			return out, nil
		}
		w.now = e.at
		w.lastClientRequest++
		var client clientRequest
		w.traffic.drawRequest(w, &client)
		out = append(out, Arrival{
			At: client.firstSent, Class: client.class, Zone: client.zone, Work: client.work, Hint: client.costHint, Key: client.key,
			Tries: client.maxRetries + 1, Seed: client.randomKey,
		})
	}
}

// drawFromScenario draws class, zone, work, key and cost hint.
func (t *traffic) drawFromScenario(w *World, client *clientRequest) {
	d := w.realization
	u := t.arrivals.Float64()
	for client.class = 0; client.class < len(d.Classes)-1 && u >= d.Classes[client.class].Share; client.class++ {
		u -= d.Classes[client.class].Share
	}
	client.zone = sort.SearchFloat64s(d.Traffic.Zones, t.arrivals.Float64())
	client.zone = min(client.zone, len(d.Zones)-1)
	client.work = d.Classes[client.class].Work.Rand()
	tail := t.tails.Float64()
	for i := range d.Faults {
		fault := &d.Faults[i]
		active := fault.Kind == "heavy_tail" && w.now >= fault.At && w.now < fault.End()
		hit := fault.Class < 0 || fault.Class == client.class
		if active && hit && tail < fault.Part {
			client.work *= fault.Size
		}
	}
	if n := len(t.zipf); n > 0 {
		i := sort.SearchFloat64s(t.zipf, t.keys.Float64()*t.zipf[n-1])
		client.key = mix(d.Seed^uint64(i+1)) | 1
	}
	client.costHint = t.drawHint(d, client.work)
}

// drawHint is the cost hint of a request, ms; NaN: none.
func (t *traffic) drawHint(d *scenario.Realization, work float64) float64 {
	sigma := math.Sqrt(math.Log1p(d.Traffic.HintCV * d.Traffic.HintCV))
	noise := math.Exp(sigma*t.hints.NormFloat64() - sigma*sigma/2)
	switch d.Traffic.Hints {
	case "exact":
		return work
	case "rough":
		return work * noise
	}
	return math.NaN()
}
