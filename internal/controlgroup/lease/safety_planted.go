//go:build planted

package lease

import (
	"time"

	"piernotch/internal/controlgroup/failpoint"
)

// faultyRules are the safetyRules, except for the rule that the enabled fault breaks.
type faultyRules struct{ safetyRules }

// rules are the safety rules that Table and ExpiryClock call.
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
