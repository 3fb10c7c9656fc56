// Package outlier decides when a failing server is ejected from its group, and when it may return.
//
// A Monitor watches one server. It decides from the server's attempts and health checks alone:
//
//   - A few consecutive failures eject the server. A server that fails at once, or rejects everything, is
//     idle and looks fast: without ejection it would attract more and more requests. A good response
//     resets the count, since a healthy server fails now and then, too.
//   - An ejection lasts for a pause that doubles with each consecutive ejection and has jitter, so that the
//     balancers do not all return to the server at the same moment.
//   - While all servers are ejected, the caller limits the pauses (LimitMeanPause): all servers failing at
//     once is more likely a failure of the network, and no better server is left for the requests.
//   - After the pause, and after a passed health check where checks are enabled, one request is sent as a
//     trial. Its failure ejects the server again at once; a good response ends the ejection. Only one trial
//     is in flight, so that a server that still hangs costs one request and not a burst of them.
//   - If connections to an ejected server failed, its process may have been replaced. RecordGoodResponse
//     reports this to the caller, which then starts a slow start.
//
// The model is Envoy's outlier detection (consecutive errors, ejection time that grows with the number of
// ejections), with the trial of a half-open circuit breaker. A Monitor corresponds to Envoy's host monitor.
//
// The caller decides what counts as a failure, and whether the endpoint list allows requests to the server
// at all. It also detects overdue attempts, for which it calls Eject directly. Times are durations since the
// origin of the caller's clock.
package outlier

import (
	"math/rand/v2"
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	// maxSilentTimeouts is the number of consecutive failures at which a time-out ejects a server that has
	// not responded to anything since the attempt was sent. A hung server costs each request its whole
	// time-out, so the limit is lower than for other failures.
	maxSilentTimeouts = 2
	// maxFailures is the number of consecutive failures at which any other failure ejects: a healthy server
	// has some failures now and then.
	maxFailures = 3
	// minConnectFailures is the number of failed connections since the last good response from which the
	// process may have been replaced. A single connection can also fail because the accept queue is full.
	minConnectFailures = 2
	// maxPauseDoublings bounds the mean pause to 16 times the base pause: a server that has recovered must
	// not stay unused for minutes.
	maxPauseDoublings = 4
)

// Options holds the settings of the deployment. Its zero value uses no health checks.
type Options struct {
	HealthChecks bool // a health check has to pass before the trial
}

// Failure is the way in which an attempt failed.
type Failure uint8

// Kinds of failure that the caller passes to RecordFailure.
const (
	BadResponse    Failure = iota // an error, a rejection by the server or a broken connection
	ConnectFailure                // no connection was established
	SilentTimeout                 // a time-out of a server that has not responded since the attempt was sent
)

// consecutiveLimit returns the number of consecutive failures at which a failure of this kind ejects the
// server.
func (f Failure) consecutiveLimit() int {
	if f == SilentTimeout {
		return maxSilentTimeouts
	}
	return maxFailures
}

// Verdict is what the caller has to do after a failure.
type Verdict uint8

// Results of RecordFailure.
const (
	Keep  Verdict = iota // do nothing
	Eject                // call Monitor.Eject
)

// Recovery is the effect of a good response on an ejection.
type Recovery uint8

// Results of RecordGoodResponse.
const (
	NotEjected                Recovery = iota // the server was not ejected
	Returned                                  // its ejection has ended
	ReturnedMaybeAfterRestart                 // its ejection has ended, and its process may be a new one
)

// HealthCheckResult is the outcome of a health check.
type HealthCheckResult uint8

// Outcomes that the caller passes to CompleteHealthCheck.
const (
	HealthCheckFailed    HealthCheckResult = iota // a bad response, or none in time
	HealthCheckNoConnect                          // no connection was established
	HealthCheckPassed                             // a good response
)

// HealthCheckEffect is what the caller has to do after a health check.
type HealthCheckEffect uint8

// Results of CompleteHealthCheck.
const (
	Unexpected    HealthCheckEffect = iota // do nothing: no health check was in flight
	TrialAllowed                           // the server may be a member of its group again
	StillUnusable                          // call Monitor.Eject
)

// Monitor holds the failures and ejections of one server. Its zero value is a server that has not failed.
type Monitor struct {
	consecutiveFailures int           // since the last good response or ejection
	connectFailures     int           // since the last good response
	ejections           int           // consecutive ejections; 0: the server is not ejected
	ejectedAt           time.Duration // when the last ejection began
	trialAt             time.Duration // end of the pause of the last ejection
	trialInflight       bool
	healthCheckInflight bool
	healthCheckPassed   bool // since the last ejection
}

// Ejected reports whether the server is ejected. It remains ejected during its trial.
func (m *Monitor) Ejected() bool { return m.ejections > 0 }

// Ejections returns the number of consecutive ejections; 0 for a server that is not ejected.
func (m *Monitor) Ejections() int { return m.ejections }

// PauseEnd returns when the pause of the last ejection ends.
func (m *Monitor) PauseEnd() time.Duration { return m.trialAt }

// RecordFailure counts a failed attempt and returns whether to eject the server. If the server is ejected
// already, it is to be ejected again, whether the attempt was its trial or was sent before the ejection.
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

// RecordGoodResponse resets the counts of consecutive and of connection failures, and ends an ejection.
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

// Eject ejects the server, or extends its ejection. The mean pause is the base pause, doubled for each
// consecutive ejection up to a bound. Jitter spreads the pause from 0.5 to 1.5 times the mean. Eject
// takes one draw from rng, resets the count of consecutive failures and discards a passed health check.
func (m *Monitor) Eject(now, basePause time.Duration, rng *rand.Rand) {
	m.ejections++
	m.consecutiveFailures = 0
	m.healthCheckPassed = false
	m.ejectedAt = now
	m.setPause(basePause<<min(m.ejections, maxPauseDoublings), rng)
}

// LimitMeanPause shortens the pause of the last ejection if it is longer than a pause with this mean can be.
// It then takes one draw from rng.
func (m *Monitor) LimitMeanPause(mean time.Duration, rng *rand.Rand) {
	longest := mean + mean/2
	if m.ejections > 0 && m.trialAt-m.ejectedAt > longest {
		m.setPause(mean, rng)
	}
}

// setPause draws the pause of the last ejection, which lasts from 0.5 to 1.5 times the mean.
func (m *Monitor) setPause(mean time.Duration, rng *rand.Rand) {
	m.trialAt = m.ejectedAt + mean/2 + estimate.Jitter(rng, mean)
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

// trialDue reports whether the pause is over and the health check, where enabled, has passed.
func (m *Monitor) trialDue(now time.Duration, options Options) bool {
	return now >= m.trialAt && (m.healthCheckPassed || !options.HealthChecks)
}

// AttemptStarted records that a request is sent to the server. If the server is ejected, the request is its
// trial.
func (m *Monitor) AttemptStarted() {
	if m.ejections > 0 {
		m.trialInflight = true
	}
}

// AttemptEnded records the end of any attempt at the server; call it before recording the outcome. It clears
// the trial in flight even if the attempt was started before the ejection.
func (m *Monitor) AttemptEnded() { m.trialInflight = false }

// StartHealthCheckIfDue reports whether the caller is to start a health check now, and if so records it as
// in flight. A check is due after the pause of an ejection, if none is in flight and none has passed since
// the ejection.
func (m *Monitor) StartHealthCheckIfDue(now time.Duration, options Options) bool {
	pauseOver := m.ejections > 0 && now >= m.trialAt
	if !pauseOver || !options.HealthChecks || m.healthCheckPassed || m.healthCheckInflight {
		return false
	}
	m.healthCheckInflight = true
	return true
}

// CompleteHealthCheck records the end of the health check in flight. A passed check allows the trial.
// A check without a connection counts as a failed connection.
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

// Reset ends an ejection because the server's process has been replaced: the new process has not failed yet.
// A health check in flight remains in flight until it completes.
func (m *Monitor) Reset() {
	m.ejections, m.consecutiveFailures = 0, 0
	m.trialInflight, m.healthCheckPassed = false, false
}
