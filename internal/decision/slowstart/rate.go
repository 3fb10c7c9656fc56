package slowstart

import "time"

const (
	// loadMultiple is how many times its share of the load a server may get where sends are not drawn:
	// few balancers are uneven, and a server is overloaded only by a multiple of its capacity.
	loadMultiple = 3.0
	// idleGrowth is how many times the rate that it reported an idle server may get, where sends are not
	// drawn: it is warming up by its work, sooner than the options say.
	idleGrowth = 2.0
	// drawnIdleGrowth is the same where sends are drawn: what many balancers draw adds up by chance.
	drawnIdleGrowth = 1.0
	// idleInflight is the number of other balancers' requests from which a server is not idle: more than
	// one waits for another.
	idleInflight = 1.5
)

// Load is what warm servers get and complete, and what the server in slow start reports.
type Load struct {
	MeanWork           float64 // of a request, ms
	PeakCompletionRate float64 // requests per second of a warm server of size 1, at most; 0: not known
	// SendRate is the work per second, in ms, that this balancer sends to a warm server of size 1. It may
	// be left out where Controller.NeedsSendRate denies it.
	SendRate float64
	Senders  float64 // balancers that send to the server; at least 1
	// Spillers is the number of balancers that may all spill to the server; 0: this one does not spill.
	Spillers float64
	Size     float64 // of the server
	Report   Report  // its last load report
}

// Report is the last load report of a server. Its zero value is a server that has not reported.
type Report struct {
	Known          bool
	Others         float64 // requests of other balancers that it holds
	CompletionRate float64 // requests that it completes per second
}

// idle reports whether the server is known to be idle.
func (r Report) idle() bool { return r.Known && r.Others < idleInflight }

// completedWork returns this balancer's share of the work per second that a warm server completes.
func (l Load) completedWork() float64 { return l.PeakCompletionRate * l.MeanWork / l.Senders }

// NeedsSendRate reports whether AllowedRate uses load.SendRate, which takes time to estimate.
func (c *Controller) NeedsSendRate(load Load) bool { return !c.Drawn() || load.completedWork() == 0 }

// AllowedRate returns the work per second, in ms, that this balancer may send to the server: its share of
// what a warm one gets or completes, times the capacity share. Many balancers together send no more than
// that: the overload limit beyond it leaves room for uneven zones, weights and hints. A completion rate is
// the better measure, since what is sent falls along with the fleet when a part of it is lost.
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
