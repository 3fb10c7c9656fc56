package experiment

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Interval is a mean with its 95% interval; a single value has none.
type Interval struct {
	Mean float64  `json:"mean"`
	Low  *float64 `json:"lo95"` // nil: there is no interval
	High *float64 `json:"hi95"`
}

// String returns the mean and half of the interval.
func (i Interval) String() string {
	if i.Low == nil {
		return fmt.Sprintf("%.4g (one run, no interval)", i.Mean)
	}
	return fmt.Sprintf("%.4g ± %.2g", i.Mean, i.halfWidth())
}

// halfWidth is half of the interval; 0 if there is none.
func (i Interval) halfWidth() float64 {
	if i.Low == nil {
		return 0
	}
	return (*i.High - *i.Low) / 2
}

// Summarize returns the mean of values and its interval by Student's t.
func Summarize(values []float64) Interval {
	mean, deviation := stat.MeanStdDev(values, nil)
	interval := Interval{Mean: mean}
	if count := float64(len(values)); count > 1 {
		quantile := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: count - 1}.Quantile(0.975)
		half := quantile * deviation / math.Sqrt(count)
		low := mean - half
		high := mean + half
		interval.Low = &low
		interval.High = &high
	}
	return interval
}
