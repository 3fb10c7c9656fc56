package piernotch

import (
	"time"

	"piernotch/internal/decision/outlier"
)

// trialInterval is the mean time between two trials of a server while all servers are ejected.
const trialInterval = 100 * time.Millisecond

// recordFailure counts a failed attempt, and ejects the server after too many failures in a row or a failed
// trial.
func (b *Balancer) recordFailure(now time.Duration, target *server, failure outlier.Failure) {
	if target.outlier.RecordFailure(failure) == outlier.Eject {
		b.eject(now, target)
	}
}

// ejectSilent reports whether an attempt of the request is overdue, and ejects each server that has responded
// to nothing since it got an overdue attempt. A server that has responded to other requests meanwhile is only
// slow with this request.
func (b *Balancer) ejectSilent(now time.Duration, request *openRequest) (overdue bool) {
	for i := range request.attempts {
		sent := &request.attempts[i]
		target := sent.server
		if sent.ended || now-sent.sentAt < b.silenceTimeout(&b.groups[target.locality], request.work) {
			continue
		}
		overdue = true
		if target.lastResponseAt < sent.sentAt && !target.outlier.Ejected() {
			b.eject(now, target)
		}
	}
	return overdue
}

// eject removes a server from its group for a pause. The pause is a multiple of the silence timeout, or of
// the shortest latency objective if that is longer. It doubles with each ejection in a row up to a limit, and
// has jitter.
func (b *Balancer) eject(now time.Duration, target *server) {
	basePause := max(b.silenceTimeout(&b.groups[target.locality], b.workload.Mean()), b.shortestObjective)
	target.outlier.Eject(now, basePause, b.rng)
	b.groupsStale = true
}

// allEjected reports whether there are servers that may get requests by the endpoint list, and all of them
// are ejected.
func (b *Balancer) allEjected() bool {
	ejected := false
	for _, target := range b.endpoints.sorted {
		if !target.available() {
			continue
		}
		if !target.outlier.Ejected() {
			return false
		}
		ejected = true
	}
	return ejected
}

// limitPauses shortens the pauses of all ejected servers, so that all balancers together send a server one
// trial in each trialInterval. Otherwise every request would be rejected for seconds after all servers have
// failed at once, as in a short failure of the network.
func (b *Balancer) limitPauses() {
	mean := trialInterval * time.Duration(max(b.settings.BalancerCount, 1))
	for _, target := range b.endpoints.sorted {
		target.outlier.LimitMeanPause(mean, b.rng)
	}
}

func (b *Balancer) outlierOptions() outlier.Options {
	return outlier.Options{HealthChecks: b.settings.Limits.HealthChecks}
}

// startHealthCheckIfDue starts the health check that an ejected server must pass after its pause and before
// its trial, if Limits.HealthChecks is set.
func (b *Balancer) startHealthCheckIfDue(now time.Duration, target *server) {
	mayBeDue := target.outlier.Ejected() && target.available()
	if mayBeDue && target.outlier.StartHealthCheckIfDue(now, b.outlierOptions()) {
		b.host.HealthCheck(target.ID)
	}
}

// HealthCheckCompleted handles the result of a health check. OK allows the trial; any other status ejects the
// server again. A result is ignored if no health check of the server was in flight.
func (b *Balancer) HealthCheckCompleted(now time.Duration, id ServerID, status Status) {
	b.ensureStarted(now)
	target := b.endpoints.find(id)
	if target == nil {
		return
	}
	switch target.outlier.CompleteHealthCheck(healthCheckResult(status)) {
	case outlier.TrialAllowed:
		b.groupsStale = true
	case outlier.StillUnusable:
		b.eject(now, target)
	}
}

func healthCheckResult(status Status) outlier.HealthCheckResult {
	switch status {
	case OK:
		return outlier.HealthCheckPassed
	case ConnectFailed:
		return outlier.HealthCheckNoConnect
	}
	return outlier.HealthCheckFailed
}

// recordGoodResponse ends a row of failures and an ejection. If failed connections suggest a new process, the
// server is in slow start until the endpoint list has had time to show a restart. Otherwise the server's slow
// start does not change.
func (b *Balancer) recordGoodResponse(now time.Duration, target *server) {
	recovery := target.outlier.RecordGoodResponse()
	if recovery == outlier.NotEjected {
		return
	}
	if recovery == outlier.ReturnedMaybeAfterRestart && target.warm() {
		b.assumeRestart(now, target)
	}
	b.groupsStale = true
}
