// Package outlier decides when a server that fails is taken out of its group, and when it may return.
//
// A Monitor watches one server. It decides from the server's attempts and health checks alone:
//
//   - A few failures in a row eject the server. A server that fails at once, or rejects everything, is
//     idle and looks fast, so that without ejection it would attract more and more requests. A good
//     response ends the row, since a healthy server has a failure now and then, too.
//   - An ejection lasts for a pause that doubles with each ejection in a row and is jittered, so that the
//     balancers do not all return to the server at the same moment.
//   - After the pause, and after a passed health check where these are enabled, one request is sent as a
//     trial. Its failure ejects the server again at once, a good response ends the ejection. Only one
//     trial is in flight, so that a server that still hangs costs one request and not a burst of them.
//   - If connections to an ejected server failed, its process may have been replaced. The result of its
//     first good response tells the caller so, who then starts a slow start.
//
// The model is Envoy's outlier detection (consecutive errors, ejection time that grows with the number of
// ejections), with the trial of a half-open circuit breaker. A Monitor corresponds to Envoy's host
// monitor.
//
// The caller decides what counts as a failure and notices overdue attempts itself: Eject serves these. It
// also decides whether the endpoint list allows requests to the server at all. Times are durations since
// the origin of the caller's clock.
package outlier

import (
	"math/rand/v2"
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	// maxSilentTimeouts is the number of consecutive failures at which a time-out ejects a server that
	// has responded to nothing since. A hung server costs each request its whole time-out: two show enough.
	maxSilentTimeouts = 2
	// maxFailures is the same for all other failures, of which a healthy server has some now and then.
	maxFailures = 3
	// minConnectFailures is the number of failed connections, since the last good response, from which
	// the process may have been replaced. A single one is also lost to a full accept queue.
	minConnectFailures = 2
	// maxPauseDoublings bounds the growth of the pause to 16 times the base pause: a server that has
	// recovered must not be left unused for minutes.
	maxPauseDoublings = 4
)

// Options is what the deployment permits. Its zero value uses no health checks.
type Options struct {
	HealthChecks bool // a health check has to pass before the trial
}

// Failure is the kind of a failed attempt.
type Failure uint8

// The values of Failure.
const (
	BadResponse    Failure = iota // an error, a rejection by the server or a broken connection
	ConnectFailure                // no connection
	SilentTimeout                 // a time-out, while the server responded to nothing else either
)

// consecutiveLimit returns the number of failures in a row at which one of this kind ejects.
func (f Failure) consecutiveLimit() int {
	if f == SilentTimeout {
		return maxSilentTimeouts
	}
	return maxFailures
}

// Verdict is what the caller has to do after a failure.
type Verdict uint8

// The values of Verdict.
const (
	Keep  Verdict = iota // nothing
	Eject                // call Monitor.Eject
)

// Recovery is the effect of a good response.
type Recovery uint8

// The values of Recovery.
const (
	NotEjected                Recovery = iota // the server was not ejected
	Returned                                  // its ejection has ended
	ReturnedMaybeAfterRestart                 // its ejection has ended, and its process may be a new one
)

// HealthCheckResult is how a health check ended.
type HealthCheckResult uint8

// The values of HealthCheckResult.
const (
	HealthCheckFailed    HealthCheckResult = iota // a bad response, or none in time
	HealthCheckNoConnect                          // no connection
	HealthCheckPassed                             // a good response
)

// HealthCheckEffect is what the caller has to do after a health check.
type HealthCheckEffect uint8

// The values of HealthCheckEffect.
const (
	Unexpected    HealthCheckEffect = iota // nothing: no health check was in flight
	TrialAllowed                           // the server may be a member of its group again
	StillUnusable                          // call Monitor.Eject
)

// Monitor watches one server. Its zero value is a server that has not failed.
type Monitor struct {
	consecutiveFailures int           // without a good response between them; 0 after an ejection
	connectFailures     int           // since the last good response
	ejections           int           // in a row; 0: the server is not ejected
	trialAt             time.Duration // end of the pause of the last ejection
	trialInflight       bool
	healthCheckInflight bool
	healthCheckPassed   bool // since the last ejection
}

// Ejected reports whether the server is ejected.
func (m *Monitor) Ejected() bool { return m.ejections > 0 }

// Ejections returns the number of ejections in a row. It is 0 for a server that is not ejected.
func (m *Monitor) Ejections() int { return m.ejections }

// PauseEnd returns when the pause of the last ejection ends.
func (m *Monitor) PauseEnd() time.Duration { return m.trialAt }

// RecordFailure counts a failed attempt. An ejected server has failed its trial and is to be ejected again.
func (m *Monitor) RecordFailure(failure Failure) Verdict {
	if failure == ConnectFailure {
		m.connectFailures++
	}
	m.consecutiveFailures++
	trialFailed := m.ejections > 0
	if trialFailed || m.consecutiveFailures >= failure.consecutiveLimit() {
		return Eject
	}
	return Keep
}

// RecordGoodResponse ends a row of failures and an ejection.
func (m *Monitor) RecordGoodResponse() Recovery {
	mayHaveRestarted := m.connectFailures >= minConnectFailures
	wasEjected := m.ejections > 0
	m.consecutiveFailures, m.connectFailures, m.ejections = 0, 0, 0
	switch {
	case !wasEjected:
		return NotEjected
	case mayHaveRestarted:
		return ReturnedMaybeAfterRestart
	}
	return Returned
}

// Eject ejects the server, or prolongs its ejection. The pause is the base pause, doubled for each ejection
// in a row up to a bound, and jittered from half of it to one and a half. It takes one draw from rng.
func (m *Monitor) Eject(now, basePause time.Duration, rng *rand.Rand) {
	m.ejections++
	m.consecutiveFailures = 0
	m.healthCheckPassed = false
	pause := basePause << min(m.ejections, maxPauseDoublings)
	m.trialAt = now + pause/2 + estimate.Jitter(rng, pause)
}

// Eligible reports whether the server may be a member of its group: it is not ejected, or its trial is due.
func (m *Monitor) Eligible(now time.Duration, options Options) bool {
	return m.ejections == 0 || m.trialDue(now, options)
}

// AllowsAttempt reports whether a request may be sent to the server: it is not ejected, or its trial is due
// and no other trial is in flight.
func (m *Monitor) AllowsAttempt(now time.Duration, options Options) bool {
	return m.ejections == 0 || !m.trialInflight && m.trialDue(now, options)
}

// trialDue reports whether the pause is over and the health check, if one is required, has passed.
func (m *Monitor) trialDue(now time.Duration, options Options) bool {
	return now >= m.trialAt && (m.healthCheckPassed || !options.HealthChecks)
}

// AttemptStarted records that a request is sent to the server: to an ejected one, as its trial.
func (m *Monitor) AttemptStarted() {
	if m.ejections > 0 {
		m.trialInflight = true
	}
}

// AttemptEnded records the end of any attempt at the server. It is called before the outcome is recorded.
// It clears the trial in flight even if the attempt was started before the ejection.
func (m *Monitor) AttemptEnded() { m.trialInflight = false }

// StartHealthCheckIfDue reports whether the caller is to start a health check now, and records it as in
// flight. One is due after the pause of an ejection, if none is in flight or has passed since.
func (m *Monitor) StartHealthCheckIfDue(now time.Duration, options Options) bool {
	pauseOver := m.ejections > 0 && now >= m.trialAt
	if !pauseOver || !options.HealthChecks || m.healthCheckPassed || m.healthCheckInflight {
		return false
	}
	m.healthCheckInflight = true
	return true
}

// CompleteHealthCheck records the end of the health check in flight. A passed one allows the trial.
func (m *Monitor) CompleteHealthCheck(result HealthCheckResult) HealthCheckEffect {
	if !m.healthCheckInflight {
		return Unexpected
	}
	m.healthCheckInflight = false
	switch result {
	case HealthCheckPassed:
		m.healthCheckPassed = true
		return TrialAllowed
	case HealthCheckNoConnect:
		m.connectFailures++
	}
	return StillUnusable
}

// Reset ends an ejection because the server's process has been replaced: the new one has not failed yet. A
// health check in flight stays so until it completes.
func (m *Monitor) Reset() {
	m.ejections, m.consecutiveFailures = 0, 0
	m.trialInflight, m.healthCheckPassed = false, false
}
