package slowstart

import "time"

const (
	// loadMultiple is the multiple of its share of the load that a server may get where sends are not drawn.
	// With few balancers the load is spread unevenly, and a server is overloaded only by a multiple of its
	// capacity.
	loadMultiple = 3.0
	// idleGrowth is the multiple of its reported completion rate that an idle server may get where sends are
	// not drawn: the work that an idle server does warms it up sooner than the options say.
	idleGrowth = 2.0
	// drawnIdleGrowth is that multiple where sends are drawn. It is lower, because the draws of many
	// balancers can coincide.
	drawnIdleGrowth = 1.0
	// idleInflight is the number of other balancers' requests from which a server no longer counts as idle:
	// with more than one, requests wait for each other.
	idleInflight = 1.5
)

// Load describes the load of warm servers and the last report of the server in slow start.
type Load struct {
	MeanWork           float64 // mean work of a request, ms
	PeakCompletionRate float64 // most requests per second of a warm server of size 1; 0: unknown
	// SendRate is the work per second, in ms, that this balancer sends to a warm server of size 1. It may be
	// omitted if Controller.NeedsSendRate returns false.
	SendRate float64
	Senders  float64 // balancers that send to the server; at least 1
	// Spillers is the number of balancers that may spill to the server, this one included; 0 if this one
	// does not spill to it.
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
// what a warm server completes or gets, times the capacity share. Where sends are drawn, all balancers
// together send no more than their shares: the margin up to overload leaves room for uneven zones, weights
// and hints. Where sends are not drawn, each balancer may send a multiple of its share. To an idle server it
// may send at least its share of the rate that the server reports. The completion rate is the better measure,
// since the rate of sent work falls when a part of the fleet is lost.
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
