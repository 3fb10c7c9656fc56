package simulation

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"piernotch/internal/lab/scenario"
	"piernotch/internal/trace"
)

// traffic brings clients: drawn ones, or those of a recording. Nothing in it depends
// on what balancers decide.
type traffic struct {
	arrivals, keys, hints, tails *rand.Rand
	levels                       []float64 // bursty: factor by segment
	zipf                         []float64 // cumulative
	maxRate                      float64   // greatest rate, a second
	replay                       bool
	head                         trace.Header
	records                      []trace.Record // of a recording, by arrival; those to come
	classOf                      map[string]int
}

// segment is the length over which bursty traffic keeps a level.
func segment(d *scenario.Day) time.Duration { return max(d.Traffic.Period/4, 10*time.Millisecond) }

func (t *traffic) init(w *World) error {
	d := w.day
	t.arrivals, t.keys = scenario.Stream(d.Seed, "arrivals"), scenario.Stream(d.Seed, "keys")
	t.hints, t.tails = scenario.Stream(d.Seed, "hints"), scenario.Stream(d.Seed, "heavy")
	if d.Traffic.Trace != "" {
		return t.loadTrace(d)
	}
	shape := scenario.Stream(d.Seed, "shape")
	for at := time.Duration(0); at <= d.Length; at += segment(d) {
		t.levels = append(t.levels, 1+d.Traffic.Swing*(2*shape.Float64()-1))
	}
	sum := 0.0
	for i := range d.Traffic.Keys {
		sum += math.Pow(float64(i+1), -d.Traffic.KeyZipf)
		t.zipf = append(t.zipf, sum)
	}
	t.maxRate = d.Traffic.PerSec * (1 + d.Traffic.Swing)
	for i := range d.Troubles {
		if in := &d.Troubles[i]; in.Kind == "burst" {
			t.maxRate *= max(in.Size, 1)
		}
	}
	return nil
}

// loadTrace reads a recording. Its records stand in the order in which they ended.
func (t *traffic) loadTrace(d *scenario.Day) error {
	r, err := trace.Open(d.Traffic.Trace)
	if err != nil {
		return err
	}
	defer r.Close()
	t.replay, t.head, t.classOf = true, *r.Header(), map[string]int{}
	for i, c := range d.Classes {
		t.classOf[c.Name] = i
	}
	for _, name := range t.head.Classes {
		if _, ok := t.classOf[name]; !ok {
			return fmt.Errorf("%s: its class %q is none of the scenario's", d.Traffic.Trace, name)
		}
	}
	for {
		var rec trace.Record
		switch err := r.Next(&rec); {
		case errors.Is(err, io.EOF):
			slices.SortStableFunc(t.records, func(a, b trace.Record) int { return cmp.Compare(a.At, b.At) })
			return nil
		case err != nil:
			return err
		}
		t.records = append(t.records, rec)
	}
}

// rate is how many requests come a second at a time.
func (t *traffic) rate(w *World, at time.Duration) float64 {
	d := w.day
	r := d.Traffic.PerSec
	switch d.Traffic.Shape {
	case "waves":
		r *= 1 + d.Traffic.Swing*math.Sin(2*math.Pi*(float64(at)/float64(d.Traffic.Period)+d.Traffic.Phase))
	case "bursty":
		r *= t.levels[min(int(at/segment(d)), len(t.levels)-1)]
	}
	for i := range d.Troubles {
		in := &d.Troubles[i]
		switch in.Kind {
		case "burst":
			r *= 1 + (in.Size-1)*ramp(at, in.At, in.End(), in.Ramp)
		case "shrink": // traffic falls with the fleet, and stays low
			r *= 1 - (1-1/in.Size)*ramp(at, in.At, never, in.For)
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

// planNext plans the next client.
func (t *traffic) planNext(w *World) {
	if t.replay {
		if len(t.records) > 0 {
			if at := t.records[0].At / time.Microsecond * time.Microsecond; at < w.day.Length {
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
		if at >= w.day.Length {
			return
		}
		if t.arrivals.Float64()*t.maxRate < t.rate(w, at) {
			w.events.plan(at/time.Microsecond*time.Microsecond, priorityArrival, eventNextClient, 0, 0)
			return
		}
	}
}

// clientArrives is a client that wants something.
func (t *traffic) clientArrives(w *World) {
	w.lastClientRequest++
	a := w.clientRequests.Put(w.lastClientRequest)
	t.drawRequest(w, a)
	w.counters.goodput.Ask(a.firstSent, a.class, a.work)
	w.sendRequest(w.lastClientRequest)
	t.planNext(w)
}

// drawRequest draws what the client wants.
func (t *traffic) drawRequest(w *World, a *clientRequest) {
	d := w.day
	*a = clientRequest{randomKey: mix(d.Seed ^ w.lastClientRequest*0x9e3779b97f4a7c15), firstSent: w.now, costHint: math.NaN()}
	if t.replay {
		t.takeRecorded(w, a)
	} else {
		t.drawFromScenario(w, a)
	}
	a.deadline = w.now + d.Classes[a.class].Deadline
	a.patienceDraw = t.tails.Float64()
	a.maxSends = int(d.Clients.Retries)
	if t.tails.Float64() < d.Clients.Retries-float64(a.maxSends) {
		a.maxSends++
	}
}

// Arrival is a client's request as it is due.
type Arrival struct {
	At    time.Duration
	Class int
	Zone  int
	Work  float64 // ms
	Hint  float64 // ms; NaN: none
	Key   uint64  // 0: none
	Tries int     // that the client makes at the most
	Seed  uint64  // of what else it draws
}

// Arrivals draws all of a day's requests ahead: the same that a World of it plays.
func Arrivals(day *scenario.Day) ([]Arrival, error) {
	w := &World{day: day}
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
		var a clientRequest
		w.traffic.drawRequest(w, &a)
		out = append(out, Arrival{At: a.firstSent, Class: a.class, Zone: a.zone, Work: a.work, Hint: a.costHint, Key: a.key, Tries: a.maxSends + 1, Seed: a.randomKey})
	}
}

func (t *traffic) drawFromScenario(w *World, a *clientRequest) {
	d := w.day
	u := t.arrivals.Float64()
	for a.class = 0; a.class < len(d.Classes)-1 && u >= d.Classes[a.class].Share; a.class++ {
		u -= d.Classes[a.class].Share
	}
	a.zone = sort.SearchFloat64s(d.Traffic.Zones, t.arrivals.Float64())
	a.zone = min(a.zone, len(d.Zones)-1)
	a.work = d.Classes[a.class].Work.Rand()
	heavy := t.tails.Float64()
	for i := range d.Troubles {
		in := &d.Troubles[i]
		if in.Kind == "heavy_tail" && w.now >= in.At && w.now < in.End() && (in.Class < 0 || in.Class == a.class) && heavy < in.Part {
			a.work *= in.Size
		}
	}
	if n := len(t.zipf); n > 0 {
		i := sort.SearchFloat64s(t.zipf, t.keys.Float64()*t.zipf[n-1])
		a.key = mix(d.Seed^uint64(i+1)) | 1
	}
	a.costHint = t.drawHint(d, a.work)
}

// drawHint is what a client says of its request's work, ms.
func (t *traffic) drawHint(d *scenario.Day, work float64) float64 {
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

// takeRecorded takes a request of a recording. A recording knows no work: the hint stands
// for it, or else the class's mean with its spread.
func (t *traffic) takeRecorded(w *World, a *clientRequest) {
	r := t.records[0]
	t.records = t.records[1:]
	a.class = t.classOf[t.head.Classes[r.Class]]
	a.zone = int(a.randomKey>>8) % len(w.day.Zones)
	if z := t.head.Zone; z != "" {
		for i, name := range w.day.Zones {
			if name == z {
				a.zone = i
			}
		}
	}
	a.key = r.Key
	a.work = w.day.Classes[a.class].Work.Rand()
	if r.CostHint > 0 {
		a.work, a.costHint = r.CostHint, r.CostHint
	}
}
