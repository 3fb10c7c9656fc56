package piernotch

import (
	"time"

	"piernotch/internal/decision/outlier"
)

// recordFailure counts a failed attempt, and ejects the server if that is due.
func (b *Balancer) recordFailure(now time.Duration, target *server, failure outlier.Failure) {
	if target.outlier.RecordFailure(failure) == outlier.Eject {
		b.eject(now, target)
	}
}

// ejectSilent reports whether an attempt of the request is overdue, and ejects the servers that have
// responded to nothing since they got it. One that responded to others is only slow with this one.
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

// eject takes a server out of its group. The pause grows from the time after which silence counts.
func (b *Balancer) eject(now time.Duration, target *server) {
	basePause := max(b.silenceTimeout(&b.groups[target.locality], b.workload.Mean()), b.shortestObjective)
	target.outlier.Eject(now, basePause, b.rng)
	b.groupsStale = true
}

// outlierOptions returns what the settings permit the outlier detection.
func (b *Balancer) outlierOptions() outlier.Options {
	return outlier.Options{HealthChecks: b.settings.Limits.HealthChecks}
}

// startHealthCheckIfDue starts the health check that precedes the trial of an ejected server.
func (b *Balancer) startHealthCheckIfDue(now time.Duration, target *server) {
	mayBeDue := target.outlier.Ejected() && target.available()
	if mayBeDue && target.outlier.StartHealthCheckIfDue(now, b.outlierOptions()) {
		b.host.HealthCheck(target.ID)
	}
}

// HealthCheckCompleted takes a health check's result: OK allows the trial, any other status ejects again.
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

// healthCheckResult returns what the status of a health check shows of the server.
func healthCheckResult(status Status) outlier.HealthCheckResult {
	switch status {
	case OK:
		return outlier.HealthCheckPassed
	case ConnectFailed:
		return outlier.HealthCheckNoConnect
	}
	return outlier.HealthCheckFailed
}

// recordGoodResponse ends an ejection. If the process may be a new one, the server is in slow start until
// the list has had time to name a restart. Otherwise it is as warm as before.
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
