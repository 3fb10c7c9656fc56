package scenario

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"piernotch"
)

// retrySafetyByName and dedupScopeByName hold the values of the keys effect and scope.
var (
	retrySafetyByName = map[string]piernotch.RetrySafety{
		"safe":   piernotch.Idempotent,
		"keyed":  piernotch.IdempotencyKey,
		"unsafe": piernotch.NonIdempotent,
	}
	dedupScopeByName = map[string]piernotch.DedupScope{
		"":     piernotch.DedupEverywhere,
		"all":  piernotch.DedupEverywhere,
		"zone": piernotch.DedupInZone,
		"cell": piernotch.DedupInCell,
	}
)

// drawClasses draws the classes. The work of requests is drawn later, by whoever runs the realization,
// from a stream of its own.
func (r *Realization) drawClasses(scenario *Scenario, rng *rand.Rand) {
	total := 0.0
	workStream := Stream(r.Seed, "work")
	for i := range scenario.Classes {
		class := scenario.Classes[i].drawClass(rng, workStream)
		total += class.Share
		r.Classes = append(r.Classes, class)
	}
	if total > 0 {
		for i := range r.Classes {
			r.Classes[i].Share /= total
		}
	}
}

// drawClass draws one class; its share is not normalized.
func (c *Class) drawClass(rng, workStream *rand.Rand) DrawnClass {
	share := c.Share.draw(rng)
	mean := c.WorkMS.draw(rng)
	variation := c.CV.draw(rng)
	return DrawnClass{
		Class: piernotch.Class{
			Name:             c.Name,
			LatencyObjective: millis(c.LatencyObjectiveMS.draw(rng)),
			Deadline:         millis(c.DeadlineMS.draw(rng)),
			PriorityWeight:   c.PriorityWeight.draw(rng),
			LateWeightShare:  c.LateWeightShare.draw(rng),
			RetrySafety:      retrySafetyByName[c.RetrySafety],
			DedupScope:       dedupScopeByName[c.DedupScope],
			DedupWindow:      millis(c.DedupWindowMS.draw(rng)),
		},
		Share:     share,
		MeanWork:  mean,
		AttemptCV: c.AttemptCV.draw(rng),
		Work:      workDistribution(c.Dist, mean, variation, workStream),
	}
}

// maxWorkFactor bounds the work of one request, as a multiple of the mean: without a bound the mean of
// a Pareto sample depends on a few draws.
const maxWorkFactor = 60

// fixedWork is a distribution of one value.
type fixedWork float64

func (f fixedWork) Rand() float64 { return float64(f) }

// boundedWork cuts a distribution off at a limit.
type boundedWork struct {
	distuv.Rander
	limit float64
}

func (b boundedWork) Rand() float64 { return min(b.Rander.Rand(), b.limit) }

// workDistribution returns a distribution of a kind (Class.Dist) with a mean, in ms, and a coefficient
// of variation.
func workDistribution(dist string, mean, variation float64, src *rand.Rand) distuv.Rander {
	switch {
	case dist == "fixed", variation == 0 && dist != "exponential":
		return fixedWork(mean)
	case dist == "exponential":
		return distuv.Exponential{Rate: 1 / mean, Src: src}
	case dist == "pareto":
		alpha := 1 + math.Sqrt(1+1/(variation*variation))
		return boundedWork{distuv.Pareto{Xm: mean * (alpha - 1) / alpha, Alpha: alpha, Src: src}, maxWorkFactor * mean}
	}
	sigma := math.Sqrt(math.Log1p(variation * variation))
	return boundedWork{
		distuv.LogNormal{Mu: math.Log(mean) - sigma*sigma/2, Sigma: sigma, Src: src},
		maxWorkFactor * mean,
	}
}
