package servermodel

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// runQueue sends a server jobs with Poisson arrivals. It returns each job's time at the server, in seconds,
// and the time average of the number of jobs there.
func runQueue(
	t *testing.T,
	kind Kind,
	perSec float64,
	work func() float64,
	jobs int,
	seed uint64,
) (sojourn []float64, held float64) {
	t.Helper()
	s, err := New(kind, seed, 0)
	require.NoError(t, err)
	rng := rand.New(rand.NewPCG(seed, 9))
	arrivedAt := make([]time.Duration, jobs)
	sojourn = make([]float64, jobs)
	var now, last time.Duration
	area := 0.0
	complete := func(done []Completion) {
		for _, d := range done {
			sojourn[d.ID] = (now - arrivedAt[d.ID]).Seconds()
		}
	}
	next := time.Duration(0)
	advanceTo := func(to time.Duration) {
		area += float64(s.Inflight()) * (to - last).Seconds()
		last, now = to, to
	}
	for i := 0; i < jobs || s.Inflight() > 0; {
		if due := s.Next(); i >= jobs || due <= next {
			advanceTo(due)
			complete(s.Advance(now))
			continue
		}
		advanceTo(next)
		arrivedAt[i] = now
		admission, _ := s.Arrive(now, Job{ID: uint64(i), Work: work(), ErrorDraw: 1})
		require.Equal(t, Accepted, admission)
		i++
		next += time.Duration(rng.ExpFloat64() / perSec * 1e9)
	}
	return sojourn, area / now.Seconds()
}

// meanOverRuns returns the mean of a figure over independent runs, and half the width of its 99.9% confidence
// interval. A single run would not do: successive waits depend on each other.
func meanOverRuns(
	t *testing.T,
	kind Kind,
	perSec float64,
	work func(*rand.Rand) float64,
	figure func([]float64) float64,
) (mean, half float64) {
	t.Helper()
	const runs, jobs = 12, 12000
	var values []float64
	for seed := range uint64(runs) {
		rng := rand.New(rand.NewPCG(seed, 3))
		sojourn, held := runQueue(t, kind, perSec, func() float64 { return work(rng) }, jobs, seed)
		values = append(values, figure(sojourn[1000:]))
		all := stat.Mean(sojourn, nil)
		require.InEpsilon(t, held, perSec*all, 0.05, "Little's law, the rate being a sample")
	}
	mean, sd := stat.MeanStdDev(values, nil)
	return mean, distuv.StudentsT{Sigma: 1, Nu: runs - 1}.Quantile(0.9995) * sd / math.Sqrt(runs)
}

func percentile(p float64) func([]float64) float64 {
	return func(v []float64) float64 {
		sorted := append([]float64(nil), v...)
		stat.SortWeighted(sorted, nil)
		return stat.Quantile(p, stat.Empirical, sorted, nil)
	}
}

func mean(v []float64) float64 { return stat.Mean(v, nil) }

func exponential(ms float64) func(*rand.Rand) float64 {
	return func(r *rand.Rand) float64 { return r.ExpFloat64() * ms }
}

// M/M/1 queue: the time at the server is exponentially distributed with rate mu-lambda.
func TestOneSlotMatchesMM1Queue(t *testing.T) {
	kind := Kind{Name: "mm1", Cores: 1, Slots: 1, Speed: 1, Queue: 1 << 20}
	const lambda, mu = 70.0, 100.0
	got, half := meanOverRuns(t, kind, lambda, exponential(1000/mu), mean)
	require.InDelta(t, 1/(mu-lambda), got, half)
	got, half = meanOverRuns(t, kind, lambda, exponential(1000/mu), percentile(0.95))
	require.InDelta(t, math.Log(20)/(mu-lambda), got, half)
}

// M/M/c queue: Erlang's C formula gives the mean wait.
func TestSlotsMatchMMcQueue(t *testing.T) {
	const lambda, mu, c = 320.0, 100.0, 4
	kind := Kind{Name: "mmc", Cores: c, Slots: c, Speed: 1, Queue: 1 << 20}
	a := lambda / mu
	sum, term := 0.0, 1.0
	for k := range c {
		if k > 0 {
			term *= a / float64(k)
		}
		sum += term
	}
	top := term * a / c * c / (c - a)
	wait := top / (sum + top) / (c*mu - lambda)
	got, half := meanOverRuns(t, kind, lambda, exponential(1000/mu), mean)
	require.InDelta(t, wait+1/mu, got, half)
}

// M/G/1 queue: the Pollaczek-Khinchine formula gives the mean wait, here for constant and for variable work.
func TestAnyWorkMatchesMG1Queue(t *testing.T) {
	kind := Kind{Name: "mg1", Cores: 1, Slots: 1, Speed: 2, Queue: 1 << 20}
	const lambda = 60.0
	sigma := math.Sqrt(math.Log1p(1.5 * 1.5))
	for name, c := range map[string]struct {
		work func(*rand.Rand) float64
		cv   float64
	}{
		"fixed":     {func(*rand.Rand) float64 { return 20 }, 0},
		"lognormal": {func(r *rand.Rand) float64 { return 20 * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2) }, 1.5},
	} {
		service := 0.020 / 2 // seconds for 20 ms of work at speed 2
		rho := lambda * service
		wait := rho * service * (1 + c.cv*c.cv) / (2 * (1 - rho))
		got, half := meanOverRuns(t, kind, lambda, c.work, mean)
		require.InDelta(t, wait+service, got, half, name)
	}
}
