package lease

import "time"

// safetyRules are the decisions of Table and ExpiryClock that ensure that a duty never has two holders. They are
// called through the variable rules, so that fault injection can replace them.
type safetyRules struct{}

// nextToken returns the token of a new grant, which must be higher than all earlier tokens.
func (safetyRules) nextToken(last Token) Token { return last + 1 }

// inheritedDeadline returns when a new leader expires a lease that an earlier leader granted: after a full lease
// duration, because the earlier leader may have renewed the lease just before now.
func (safetyRules) inheritedDeadline(timing Timing, now time.Duration) time.Duration {
	return now + timing.Duration
}

// mayRenew reports whether a lease may be renewed: not after its expiry has been proposed, because the expiry may be
// applied at any moment.
func (safetyRules) mayRenew(d deadline) bool { return !d.expiring }

// mayConfirm reports whether a response may confirm a lease to its holder: as with mayRenew, not after the expiry has
// been proposed.
func (safetyRules) mayConfirm(d deadline) bool { return !d.expiring }
