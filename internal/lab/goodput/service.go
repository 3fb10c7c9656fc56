package goodput

import (
	"time"

	"piernotch/internal/lab/scenario"
)

// epsilon is the weight below which a window counts as empty: sums are not exact.
const epsilon = 1e-9

// Parts are what service is made of, as shares from 0 to 1.
type Parts struct {
	Whole       float64 // of all weight
	WorstWindow float64 // least of any window
	WorstClass  float64 // least of any class
	LateFail    float64 // share of the weight that ended unserved after its latency objective
	Classes     []ClassShare
}

// Parts returns the parts of what was counted so far. Where nothing was asked for, they are 1.
func (c *Counter) Parts() Parts {
	p := Parts{Whole: 1, WorstClass: 1}
	asked, served := 0.0, 0.0
	for i := range c.classes {
		class := &c.classes[i]
		asked += class.asked
		served += class.served
		share := ClassShare{Name: c.realization.Classes[i].Name, Requests: class.requests, Service: 1}
		if class.asked > 0 { // a class without requests is not the worst one
			share.Service = class.served / class.asked
			p.WorstClass = min(p.WorstClass, share.Service)
		}
		p.Classes = append(p.Classes, share)
	}
	if asked > 0 {
		p.Whole = served / asked
		p.LateFail = c.LateUnserved / asked
	}
	p.WorstWindow = c.worstWindow(int(c.realization.Score.Window/time.Second), p.Whole)
	return p
}

// Service weighs the parts and takes off a deduction; it is not below 0.
func (p Parts) Service(score scenario.DrawnScore, deducted float64) float64 {
	return max(score.Whole*p.Whole+score.WorstWindow*p.WorstWindow+score.WorstClass*p.WorstClass-deducted, 0)
}

// worstWindow is the least share served in any window of n whole seconds in which something was asked
// for, but not above whole. A run shorter than that is one window.
func (c *Counter) worstWindow(n int, whole float64) float64 {
	n = min(max(n, 1), len(c.Seconds))
	worst := whole
	asked, served := 0.0, 0.0
	for i, s := range c.Seconds {
		asked += s.AskedWeight
		served += s.ServedWeight
		if i >= n {
			asked -= c.Seconds[i-n].AskedWeight
			served -= c.Seconds[i-n].ServedWeight
		}
		if i >= n-1 && asked > epsilon {
			worst = min(worst, max(served, 0)/asked)
		}
	}
	return worst
}
