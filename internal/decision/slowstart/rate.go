package slowstart

import "time"

const (
	// loadMultiple is the multiple of its share of a warm server's load that a balancer may send where sends
	// are not drawn. Where there are few balancers, they spread the load unevenly, and a server is overloaded
	// only by a multiple of its capacity.
	loadMultiple = 3.0
	// idleGrowth is the multiple of its reported completion rate that an idle server may get where sends are
	// not drawn: the work that an idle server does warms it up sooner than the options say.
	idleGrowth = 2.0
	// drawnIdleGrowth is the same multiple where sends are drawn. It is lower, because the draws of many
	// balancers can coincide.
	drawnIdleGrowth = 1.0
	// idleInflight is the number of other balancers' requests from which a server no longer counts as idle:
	// with more than one, requests wait for each other.
	idleInflight = 1.5
)

// Load describes the load of warm servers and the last report of the server in slow start.
type Load struct {
	MeanWork           float64 // mean work of a request, ms
	PeakCompletionRate float64 // recent peak of completions per second by a warm server of size 1; 0: unknown
	// SendRate is the work per second, in ms, that this balancer sends to a warm server of size 1. It may be
	// omitted if Controller.NeedsSendRate returns false.
	SendRate float64
	Senders  float64 // balancers that send to the server; at least 1
	// Spillers is the number of balancers that may spill to the server, this one included; 0 if this
	// balancer does not spill to the server.
	Spillers float64
	Size     float64 // size of the server
	Report   Report  // last load report of the server
}

// Report is the last load report of a server. Its zero value is a server that has not reported.
type Report struct {
	Known          bool
	Others         float64 // requests of other balancers at the server
	CompletionRate float64 // requests that the server completes per second
}

// idle reports whether the server has reported, with fewer than idleInflight requests of other balancers.
func (r Report) idle() bool { return r.Known && r.Others < idleInflight }

// completedWork returns this balancer's share of the work per second, in ms, that a warm server of size 1
// completes.
func (l Load) completedWork() float64 { return l.PeakCompletionRate * l.MeanWork / l.Senders }

// NeedsSendRate reports whether AllowedRate uses load.SendRate, which is expensive to estimate.
func (c *Controller) NeedsSendRate(load Load) bool { return !c.Drawn() || load.completedWork() == 0 }

// AllowedRate returns the work per second, in ms, that this balancer may send to the server: its share of
// what a warm server of the same size completes, times the capacity share. What this balancer sends to a
// warm server is a less reliable measure, since it falls when a part of the fleet is lost. It is used while
// no completion rate is known, and also, where sends are not drawn, if it is higher.
//
// Where sends are drawn, all balancers together send no more than the server's present capacity. The margin
// between that and overload is left for uneven zones, weights and hints. Where sends are not drawn, each
// balancer may send loadMultiple times its share, divided by the number of spillers. To an idle server it may
// send at least its share of the rate that the server reports, times idleGrowth or drawnIdleGrowth.
func (c *Controller) AllowedRate(now time.Duration, p *Progress, load Load) float64 {
	rate, growth := load.completedWork(), drawnIdleGrowth
	switch {
	case !c.Drawn():
		growth = idleGrowth
		rate = loadMultiple * max(load.SendRate, rate)
		if load.Spillers > 0 {
			rate /= load.Spillers
		}
	case rate == 0: // no server has reported a completion rate
		rate = load.SendRate
	}
	rate *= c.CapacityShare(now, p) * load.Size
	if load.Report.idle() {
		rate = max(rate, growth*load.Report.CompletionRate*load.MeanWork/load.Senders)
	}
	return rate
}
