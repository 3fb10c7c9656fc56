package goodput

import (
	"time"

	"piernotch/internal/lab/scenario"
)

// epsilon is the weight up to which a window counts as empty: the running sums have rounding errors.
const epsilon = 1e-9

// Parts are the shares, from 0 to 1, from which service and its deduction are computed.
type Parts struct {
	WholeRun    float64 // earned share of all weight
	WorstWindow float64 // least earned share of any window; at most WholeRun
	WorstClass  float64 // least earned share of any class with requests
	LateFail    float64 // share of all weight: requests that ended unserved after their latency objective
	Classes     []ClassShare
}

// Parts returns the parts of service so far. Without requests, WholeRun, WorstWindow and WorstClass are 1.
func (c *Counter) Parts() Parts {
	parts := Parts{WholeRun: 1, WorstClass: 1}
	asked, served := 0.0, 0.0
	for i := range c.classes {
		class := &c.classes[i]
		asked += class.asked
		served += class.served
		share := ClassShare{Name: c.realization.Classes[i].Name, Requests: class.requests, Service: 1}
		if class.asked > 0 { // a class without requests cannot be the worst
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

// Service returns the sum of WholeRun, WorstWindow and WorstClass, weighted by the score, minus a deduction. The
// result is at least 0.
func (p Parts) Service(score scenario.DrawnScore, deducted float64) float64 {
	return max(score.WholeRun*p.WholeRun+score.WorstWindow*p.WorstWindow+score.WorstClass*p.WorstClass-deducted, 0)
}

// worstWindow returns the least earned share of any window of the given number of whole seconds, at most
// wholeRun. Windows without requests do not count. A run shorter than a window is one window.
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
