// Package subscription decides when to subscribe to the endpoint list, where discovery gives it only
// then.
//
// It prevents that all balancers subscribe at once, and again and again, to a discovery service that was
// overloaded or has just restarted: the first subscription has a random delay, and each failure doubles
// the backoff before the next, with jitter (exponential backoff with jitter, as in the AWS Architecture
// Blog of 2015 and gRPC's connection backoff). The backoff is bounded, because a change counts as notified a
// fixed time after discovery can be reached, whatever the poll interval is.
//
// A Schedule must not be used concurrently.
package subscription

import (
	"math/rand/v2"
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	// backoffsPerPollInterval sets the first backoff, as a fraction of the poll interval: some attempts fail
	// and their backoffs grow within the interval before the list is older than it.
	backoffsPerPollInterval = 8

	// NotifyLimit is how long after discovery has a change, and can be reached, a balancer counts as notified
	// of it, whatever became of its calls (protocol page, "Figures").
	NotifyLimit = 6 * time.Second

	// maxBackoff is the longest mean backoff. Discovery may come back just after a call that failed, and the
	// next call may fail, too: two waits of up to 3/2 of this, and a second to connect between them, end
	// within NotifyLimit.
	maxBackoff = NotifyLimit / 4
)

// Options is what the operators set.
type Options struct {
	Subscribe    bool          // the list comes only after a subscription; false: nothing is ever due
	PollInterval time.Duration // sets the first backoff; 0: no backoff
}

// Schedule is when the next subscription is due. The zero value never subscribes: Configure enables it.
type Schedule struct {
	options    Options
	subscribed bool          // a subscription is asked for, or there is one
	nextAt     time.Duration // nothing is due before
	backoff    time.Duration // before the next subscription after a failure, on the mean
}

// Configure sets the options and resets the backoff.
func (s *Schedule) Configure(options Options) {
	s.options = options
	s.resetBackoff()
}

// Start makes the first subscription due within the first backoff, at random.
func (s *Schedule) Start(now time.Duration, rng *rand.Rand) {
	s.nextAt = now + estimate.Jitter(rng, s.backoff)
}

// SubscribeIfDue reports whether to subscribe now. It then is not due again before a failure.
func (s *Schedule) SubscribeIfDue(now time.Duration) bool {
	if !s.options.Subscribe || s.subscribed || now < s.nextAt {
		return false
	}
	s.subscribed = true
	return true
}

// Failed records that the subscription has failed or ended. The next is due after half of the backoff up
// to one and a half of it, and the backoff doubles.
func (s *Schedule) Failed(now time.Duration, rng *rand.Rand) {
	s.subscribed = false
	s.nextAt = now + s.backoff/2 + estimate.Jitter(rng, s.backoff)
	s.backoff = min(2*s.backoff, maxBackoff)
}

// Hasten makes a subscription that waits due within the first backoff, at random. Operators who change the
// settings expect that the list is asked for soon.
func (s *Schedule) Hasten(now time.Duration, rng *rand.Rand) {
	if s.options.Subscribe && !s.subscribed {
		s.nextAt = min(s.nextAt, now+estimate.Jitter(rng, s.backoff))
	}
}

// Succeeded records that discovery has responded: the backoff starts from its first value again.
func (s *Schedule) Succeeded() { s.resetBackoff() }

func (s *Schedule) resetBackoff() {
	s.backoff = min(s.options.PollInterval/backoffsPerPollInterval, maxBackoff)
}
