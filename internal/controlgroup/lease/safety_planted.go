//go:build planted

package lease

import (
	"time"

	"piernotch/internal/controlgroup/failpoint"
)

// faultyRules are the safetyRules but for the fault that is enabled.
type faultyRules struct{ safetyRules }

// rules are those that Table and ExpiryClock follow.
var rules faultyRules

func (r faultyRules) nextToken(last Token) Token {
	if failpoint.Enabled(failpoint.TokenReused) {
		return 1
	}
	return r.safetyRules.nextToken(last)
}

func (r faultyRules) inheritedDeadline(timing Timing, now time.Duration) time.Duration {
	if failpoint.Enabled(failpoint.TimersForgotten) {
		return now
	}
	return r.safetyRules.inheritedDeadline(timing, now)
}

func (r faultyRules) mayRenew(d deadline) bool {
	return failpoint.Enabled(failpoint.RenewedAfterExpiry) || r.safetyRules.mayRenew(d)
}

func (r faultyRules) mayConfirm(d deadline) bool {
	return failpoint.Enabled(failpoint.GrantedWhileExpiring) || r.safetyRules.mayConfirm(d)
}
