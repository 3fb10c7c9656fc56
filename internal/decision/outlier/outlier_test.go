package outlier

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const basePause = 100 * time.Millisecond

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestConsecutiveFailuresEject(t *testing.T) {
	for name, c := range map[string]struct {
		failures []Failure
		want     Verdict // after the last failure; the earlier ones give Keep
	}{
		"one silent time-out":             {[]Failure{SilentTimeout}, Keep},
		"two silent time-outs":            {[]Failure{SilentTimeout, SilentTimeout}, Eject},
		"two bad responses":               {[]Failure{BadResponse, BadResponse}, Keep},
		"three bad responses":             {[]Failure{BadResponse, BadResponse, BadResponse}, Eject},
		"three failed connections":        {[]Failure{ConnectFailure, ConnectFailure, ConnectFailure}, Eject},
		"a time-out after a bad response": {[]Failure{BadResponse, SilentTimeout}, Eject},
		"a bad response after a time-out": {[]Failure{SilentTimeout, BadResponse}, Keep},
	} {
		var m Monitor
		last := len(c.failures) - 1
		for _, failure := range c.failures[:last] {
			require.Equal(t, Keep, m.RecordFailure(failure), name)
		}
		require.Equal(t, c.want, m.RecordFailure(c.failures[last]), name)
	}
}

func TestGoodResponseResetsConsecutiveFailures(t *testing.T) {
	var m Monitor
	for range 10 {
		require.Equal(t, Keep, m.RecordFailure(BadResponse))
		require.Equal(t, NotEjected, m.RecordGoodResponse())
	}
}

// The pause lies between 0.5 and 1.5 times its mean. The mean is the base pause, doubled for each ejection, four
// times at most.
func TestPauseDoublesUpToBound(t *testing.T) {
	var m Monitor
	rng := newRand()
	now := time.Second
	for i, factor := range []time.Duration{2, 4, 8, 16, 16, 16} {
		m.Eject(now, basePause, rng)
		pause := m.PauseEnd() - now
		require.GreaterOrEqual(t, pause, factor*basePause/2, "ejection %d", i+1)
		require.Less(t, pause, factor*basePause*3/2, "ejection %d", i+1)
		require.Equal(t, i+1, m.Ejections())
		now = m.PauseEnd()
	}
}

func TestOneTrialAtATimeAfterPause(t *testing.T) {
	var m Monitor
	var options Options
	require.True(t, m.AllowsAttempt(0, options), "a new server")
	m.Eject(time.Second, basePause, newRand())
	before, after := m.PauseEnd()-1, m.PauseEnd()
	require.False(t, m.Eligible(before, options))
	require.False(t, m.AllowsAttempt(before, options))
	require.True(t, m.AllowsAttempt(after, options))
	m.AttemptStarted()
	require.False(t, m.AllowsAttempt(after, options), "a second trial")
	require.True(t, m.Eligible(after, options))

	m.AttemptEnded()
	require.Equal(t, Eject, m.RecordFailure(BadResponse), "one failure of a trial ejects")
	m.Eject(after, basePause, newRand())
	m.AttemptStarted()
	m.AttemptEnded()
	require.Equal(t, Returned, m.RecordGoodResponse())
	require.False(t, m.Ejected())

	m.Eject(after, basePause, newRand())
	m.AttemptStarted()
	m.Reset()
	require.True(t, m.AllowsAttempt(after, Options{HealthChecks: true}), "a new process")
}

func TestHealthCheckPrecedesTrial(t *testing.T) {
	options := Options{HealthChecks: true}
	var m Monitor
	require.False(t, m.StartHealthCheckIfDue(time.Second, options), "not ejected")
	m.Eject(time.Second, basePause, newRand())
	end := m.PauseEnd()
	require.False(t, m.StartHealthCheckIfDue(end-1, options), "within the pause")
	require.False(t, m.StartHealthCheckIfDue(end, Options{}), "not enabled")
	require.True(t, m.StartHealthCheckIfDue(end, options))
	require.False(t, m.StartHealthCheckIfDue(end, options), "one is in flight")
	require.False(t, m.Eligible(end, options))
	require.Equal(t, TrialAllowed, m.CompleteHealthCheck(HealthCheckPassed))
	require.True(t, m.Eligible(end, options))
	require.False(t, m.StartHealthCheckIfDue(end, options), "one has passed")
	require.Equal(t, Unexpected, m.CompleteHealthCheck(HealthCheckFailed), "none is in flight")

	m.Eject(end, basePause, newRand())
	require.True(t, m.StartHealthCheckIfDue(m.PauseEnd(), options), "the earlier one no longer counts")
	require.Equal(t, StillUnusable, m.CompleteHealthCheck(HealthCheckFailed))
}

// Bad responses and silence do not suggest that the process was replaced. Two failed connections do;
// a failed connection of a health check counts as one.
func TestFailedConnectionsSuggestRestart(t *testing.T) {
	options := Options{HealthChecks: true}
	noConnection := []Failure{ConnectFailure, ConnectFailure}
	for name, c := range map[string]struct {
		failures []Failure
		check    HealthCheckResult
		want     Recovery
	}{
		"bad responses":           {[]Failure{BadResponse, BadResponse}, HealthCheckPassed, Returned},
		"silence":                 {[]Failure{SilentTimeout, SilentTimeout}, HealthCheckFailed, Returned},
		"one connection":          {noConnection[:1], HealthCheckPassed, Returned},
		"two connections":         {noConnection, HealthCheckPassed, ReturnedMaybeAfterRestart},
		"with the health check's": {noConnection[:1], HealthCheckNoConnect, ReturnedMaybeAfterRestart},
	} {
		var m Monitor
		for _, failure := range c.failures {
			m.RecordFailure(failure)
		}
		m.Eject(time.Second, basePause, newRand())
		require.True(t, m.StartHealthCheckIfDue(m.PauseEnd(), options), name)
		m.CompleteHealthCheck(c.check)
		require.Equal(t, c.want, m.RecordGoodResponse(), name)
		require.Equal(t, NotEjected, m.RecordGoodResponse(), name)
	}
}
