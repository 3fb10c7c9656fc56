// Package subscription decides when to subscribe to the endpoint list, where discovery sends the list only
// to subscribers.
//
// It prevents a thundering herd: all balancers subscribing at once, and repeatedly, to a discovery service
// that was overloaded or has just restarted. The first subscription has a random delay, and each failure
// doubles the backoff before the next one, with jitter (exponential backoff with jitter, as in the AWS
// Architecture Blog of 2015 and gRPC's connection backoff). The backoff is bounded, because a balancer
// counts as notified of a change a fixed time after discovery can be reached, whatever the poll interval is.
//
// A Schedule must not be used concurrently.
package subscription

import (
	"math/rand/v2"
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	// backoffsPerPollInterval sets the first backoff, as a fraction of the poll interval: several attempts
	// may fail, with growing backoffs, before the list is older than one interval.
	backoffsPerPollInterval = 8

	// NotifyLimit is the time after which a balancer counts as notified of a change, whether its calls
	// succeeded or not. It runs from when discovery has the change and can be reached (protocol page,
	// "Figures").
	NotifyLimit = 6 * time.Second

	// maxBackoff bounds the mean backoff. In the worst case discovery comes back just after a call that
	// failed, and the next call fails, too: two waits of up to 3/2 of this bound, and a second to connect
	// between them, still end within NotifyLimit.
	maxBackoff = NotifyLimit / 4
)

// Options holds the operators' settings.
type Options struct {
	Subscribe    bool          // discovery sends the list only to subscribers; false: nothing is ever due
	PollInterval time.Duration // sets the first backoff; 0: no backoff
}

// Schedule tracks when the next subscription is due. The zero value never subscribes: Configure enables it.
type Schedule struct {
	options    Options
	subscribed bool          // a subscription is requested or established
	nextAt     time.Duration // earliest time of the next subscription
	backoff    time.Duration // mean wait after the next failure
}

// Configure sets the options and resets the backoff.
func (s *Schedule) Configure(options Options) {
	s.options = options
	s.resetBackoff()
}

// Start schedules the first subscription at a random time within the first backoff.
func (s *Schedule) Start(now time.Duration, rng *rand.Rand) {
	s.nextAt = now + estimate.Jitter(rng, s.backoff)
}

// SubscribeIfDue reports whether the caller is to subscribe now. If so, the next subscription is due only
// after Failed.
func (s *Schedule) SubscribeIfDue(now time.Duration) bool {
	if !s.options.Subscribe || s.subscribed || now < s.nextAt {
		return false
	}
	s.subscribed = true
	return true
}

// Failed records that the subscription has failed or ended. The next one is due after a random wait between
// half of the backoff and one and a half of it, and the backoff doubles.
func (s *Schedule) Failed(now time.Duration, rng *rand.Rand) {
	s.subscribed = false
	s.nextAt = now + s.backoff/2 + estimate.Jitter(rng, s.backoff)
	s.backoff = min(2*s.backoff, maxBackoff)
}

// Hasten brings a waiting subscription forward to a random time within the present backoff, unless it is due
// earlier. Operators who change the settings expect the list to be requested soon.
func (s *Schedule) Hasten(now time.Duration, rng *rand.Rand) {
	if s.options.Subscribe && !s.subscribed {
		s.nextAt = min(s.nextAt, now+estimate.Jitter(rng, s.backoff))
	}
}

// Succeeded records that discovery has responded. It resets the backoff to its first value.
func (s *Schedule) Succeeded() { s.resetBackoff() }

func (s *Schedule) resetBackoff() {
	s.backoff = min(s.options.PollInterval/backoffsPerPollInterval, maxBackoff)
}
