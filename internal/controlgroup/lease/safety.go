package lease

import "time"

// safetyRules are the decisions of Table and ExpiryClock on which it depends that a duty never has two holders.
// They are called through the variable rules.
type safetyRules struct{}

// nextToken returns the token of a new grant, which is above all tokens before it.
func (safetyRules) nextToken(last Token) Token { return last + 1 }

// inheritedDeadline returns when a new leader expires a lease that an earlier leader granted: that leader may
// have renewed it just before now.
func (safetyRules) inheritedDeadline(timing Timing, now time.Duration) time.Duration {
	return now + timing.Duration
}

// mayRenew reports whether a lease may be renewed: not once its expiry has been proposed, which may be applied at
// any moment.
func (safetyRules) mayRenew(d deadline) bool { return !d.expiring }

// mayConfirm reports whether a response may confirm a lease to its holder: not once its expiry has been proposed
// either.
func (safetyRules) mayConfirm(d deadline) bool { return !d.expiring }
