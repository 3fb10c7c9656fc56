package goodput

import (
	"time"

	"piernotch/internal/lab/scenario"
)

// epsilon is the weight below which a window counts as empty: sums are not exact.
const epsilon = 1e-9

// Parts are what service is made of, as shares from 0 to 1.
type Parts struct {
	WholeRun    float64 // of all weight
	WorstWindow float64 // least of any window
	WorstClass  float64 // least of any class
	LateFail    float64 // share of the weight that ended unserved after its latency objective
	Classes     []ClassShare
}

// Parts returns the parts of what was counted so far. Where nothing was asked for, they are 1.
func (c *Counter) Parts() Parts {
	parts := Parts{WholeRun: 1, WorstClass: 1}
	asked, served := 0.0, 0.0
	for i := range c.classes {
		class := &c.classes[i]
		asked += class.asked
		served += class.served
		share := ClassShare{Name: c.realization.Classes[i].Name, Requests: class.requests, Service: 1}
		if class.asked > 0 { // a class without requests is not the worst one
			share.Service = class.served / class.asked
			parts.WorstClass = min(parts.WorstClass, share.Service)
		}
		parts.Classes = append(parts.Classes, share)
	}
	if asked > 0 {
		parts.WholeRun = served / asked
		parts.LateFail = c.LateUnserved / asked
	}
	parts.WorstWindow = c.worstWindow(int(c.realization.Score.Window/time.Second), parts.WholeRun)
	return parts
}

// Service weighs the parts and takes off a deduction; it is not below 0.
func (p Parts) Service(score scenario.DrawnScore, deducted float64) float64 {
	return max(score.WholeRun*p.WholeRun+score.WorstWindow*p.WorstWindow+score.WorstClass*p.WorstClass-deducted, 0)
}

// worstWindow is the least share served in any window of n whole seconds in which something was asked
// for, but not above wholeRun. A run shorter than that is one window.
func (c *Counter) worstWindow(seconds int, wholeRun float64) float64 {
	seconds = min(max(seconds, 1), len(c.Seconds))
	worst := wholeRun
	asked, served := 0.0, 0.0
	for i, second := range c.Seconds {
		asked += second.AskedWeight
		served += second.ServedWeight
		if i >= seconds {
			asked -= c.Seconds[i-seconds].AskedWeight
			served -= c.Seconds[i-seconds].ServedWeight
		}
		if i >= seconds-1 && asked > epsilon {
			worst = min(worst, max(served, 0)/asked)
		}
	}
	return worst
}
