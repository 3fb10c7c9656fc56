package scenario

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"piernotch"
)

// Effects and scopes as files name them.
var (
	retrySafetyByName = map[string]piernotch.RetrySafety{"safe": piernotch.Idempotent, "keyed": piernotch.IdempotencyKey, "unsafe": piernotch.NonIdempotent}
	dedupScopeByName  = map[string]piernotch.DedupScope{"": piernotch.DedupEverywhere, "all": piernotch.DedupEverywhere, "zone": piernotch.DedupInZone, "cell": piernotch.DedupInCell}
)

func (d *Instance) drawClasses(s *Scenario, rng *rand.Rand) {
	total := 0.0
	works := Stream(d.Seed, "work")
	for i := range s.Classes {
		k := &s.Classes[i]
		share := k.Share.draw(rng)
		total += share
		mean, cv := k.WorkMS.draw(rng), k.CV.draw(rng)
		d.Classes = append(d.Classes, InstanceClass{
			Class: piernotch.Class{
				Name: k.Name, LatencyObjective: millis(k.AimMS.draw(rng)), Deadline: millis(k.DeadlineMS.draw(rng)), PriorityWeight: k.Worth.draw(rng),
				LateWeightShare: k.LateWorth.draw(rng), RetrySafety: retrySafetyByName[k.Effect], DedupScope: dedupScopeByName[k.Scope], DedupWindow: millis(k.WindowMS.draw(rng)),
			},
			Share: share, MeanWork: mean, AttemptCV: k.AttemptCV.draw(rng), Work: workOf(k.Dist, mean, cv, works),
		})
	}
	for i := range d.Classes {
		if total > 0 {
			d.Classes[i].Share /= total
		}
	}
}

// maxWorkFactor bounds one request's work, in means: without it the mean of a Pareto
// sample depends on a few draws.
const maxWorkFactor = 60

type fixedWork float64

func (f fixedWork) Rand() float64 { return float64(f) }

type boundedWork struct {
	distuv.Rander
	limit float64
}

func (b boundedWork) Rand() float64 { return min(b.Rander.Rand(), b.limit) }

// workOf returns a distribution with a mean and a coefficient of variation.
func workOf(dist string, mean, cv float64, src *rand.Rand) distuv.Rander {
	switch {
	case dist == "fixed" || cv == 0 && dist != "exponential":
		return fixedWork(mean)
	case dist == "exponential":
		return distuv.Exponential{Rate: 1 / mean, Src: src}
	case dist == "pareto":
		alpha := 1 + math.Sqrt(1+1/(cv*cv))
		return boundedWork{distuv.Pareto{Xm: mean * (alpha - 1) / alpha, Alpha: alpha, Src: src}, maxWorkFactor * mean}
	}
	sigma := math.Sqrt(math.Log1p(cv * cv))
	return boundedWork{distuv.LogNormal{Mu: math.Log(mean) - sigma*sigma/2, Sigma: sigma, Src: src}, maxWorkFactor * mean}
}
