// Package goodput counts service as the operators do: the worth answered in time over the
// worth asked for, by second and by class, whoever plays the day. A client's retries
// belong to its first try.
package goodput

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"piernotch/internal/lab/scenario"
)

// Second is one second of the day, by when requests were first made.
type Second struct {
	Asked  float64 `json:"asked"`  // worth
	Served float64 `json:"served"` // worth, in the aim
	Tries  int     `json:"tries"`
	Refuse int     `json:"refused"`
	Fail   int     `json:"failed"`
}

// Share is one class's service.
type Share struct {
	Name    string  `json:"name"`
	Service float64 `json:"service"`
	Asked   int     `json:"asked"`
}

// LatencyStep is a point of the latency distribution.
type LatencyStep struct {
	Percentile float64 `json:"percentile"`
	MS         float64 `json:"ms"`
}

// Counter counts. It is for one goroutine.
type Counter struct {
	day                    *scenario.Day
	Asked, Refused, Failed int
	InAim                  int
	AskedWork              float64 // ms
	LateUnserved           float64 // worth that ended unserved after its aim
	Seconds                []Second
	classAsked             []float64
	classServed            []float64
	classCount             []int
	hist                   *hdrhistogram.Histogram
}

// New returns a tally of a day.
func New(d *scenario.Day) *Counter {
	n := len(d.Classes)
	return &Counter{
		day: d, classAsked: make([]float64, n), classServed: make([]float64, n), classCount: make([]int, n),
		Seconds: make([]Second, int(math.Ceil(d.Length.Seconds()))), hist: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
}

func (t *Counter) second(at time.Duration) *Second {
	return &t.Seconds[min(max(int(at/time.Second), 0), len(t.Seconds)-1)]
}

// Weight is what a request of a class and a work (ms) is worth.
func Weight(d *scenario.Day, class int, work float64) float64 {
	if d.Score.ByWork {
		return d.Classes[class].PriorityWeight * work
	}
	return d.Classes[class].PriorityWeight
}

// Ask counts a client's request when it is first made.
func (t *Counter) Ask(first time.Duration, class int, work float64) {
	worth := Weight(t.day, class, work)
	t.Asked++
	t.AskedWork += work
	t.classAsked[class] += worth
	t.classCount[class]++
	t.second(first).Asked += worth
}

// Ended counts a try that brought its client nothing.
func (t *Counter) Ended(first time.Duration, refused bool) {
	s := t.second(first)
	if refused {
		t.Refused++
		s.Refuse++
		return
	}
	t.Failed++
	s.Fail++
}

// Finish counts a request that is over, and returns the worth that it earned.
func (t *Counter) Finish(first, took time.Duration, class int, work float64, tries int, served bool) float64 {
	c := &t.day.Classes[class]
	worth, earned := Weight(t.day, class, work), 0.0
	if served {
		_ = t.hist.RecordValue(max(int64(took/time.Microsecond), 1))
		earned = worth
		if took > c.LatencyObjective {
			earned *= c.LateWeightShare
		} else {
			t.InAim++
		}
	} else if took > c.LatencyObjective {
		t.LateUnserved += worth
	}
	t.classServed[class] += earned
	s := t.second(first)
	s.Served += earned
	s.Tries += tries
	return earned
}

// Parts are what service is made of; shares of 1.
type Parts struct {
	Whole, WorstWindow, WorstClass float64
	LateFail                       float64 // share of the worth that ended unserved after its aim
	Classes                        []Share
}

// Parts works them out.
func (t *Counter) Parts() Parts {
	p := Parts{Whole: 1, WorstClass: 1}
	asked, served := 0.0, 0.0
	for i, c := range t.day.Classes {
		asked += t.classAsked[i]
		served += t.classServed[i]
		share := Share{Name: c.Name, Asked: t.classCount[i], Service: 1}
		if t.classAsked[i] > 0 { // a class that nobody sends is no worst one
			share.Service = t.classServed[i] / t.classAsked[i]
			p.WorstClass = min(p.WorstClass, share.Service)
		}
		p.Classes = append(p.Classes, share)
	}
	if asked > 0 {
		p.Whole, p.LateFail = served/asked, t.LateUnserved/asked
	}
	p.WorstWindow = t.worstWindow(int(t.day.Score.Window/time.Second), p.Whole)
	return p
}

// Service blends the parts and takes off what is to be deducted.
func (p Parts) Service(g scenario.DayScore, deducted float64) float64 {
	return max(g.Whole*p.Whole+g.WorstWindow*p.WorstWindow+g.WorstClass*p.WorstClass-deducted, 0)
}

// worstWindow is the least share served in any span of so many whole seconds in which
// something was asked for. A day shorter than that is one window.
func (t *Counter) worstWindow(n int, whole float64) float64 {
	n = min(max(n, 1), len(t.Seconds))
	worst := whole
	asked, served := 0.0, 0.0
	for i, s := range t.Seconds {
		asked += s.Asked
		served += s.Served
		if i >= n {
			asked -= t.Seconds[i-n].Asked
			served -= t.Seconds[i-n].Served
		}
		if i >= n-1 && asked > 1e-9 {
			worst = min(worst, max(served, 0)/asked)
		}
	}
	return worst
}

// Latency is the distribution of served requests' latency from their first try.
func (t *Counter) Latency() []LatencyStep {
	if t.hist.TotalCount() == 0 {
		return nil
	}
	var out []LatencyStep
	for _, p := range []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5, 99.9, 99.95, 99.99, 100} {
		out = append(out, LatencyStep{p, t.Percentile(p)})
	}
	return out
}

// Percentile is one of them, ms.
func (t *Counter) Percentile(p float64) float64 { return float64(t.hist.ValueAtPercentile(p)) / 1000 }
