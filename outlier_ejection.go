package piernotch

import (
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	maxSilentTimeouts = 2   // consecutive timeouts without any answer that eject a server
	maxFailures       = 3   // other consecutive failures that do; a healthy one has some now and then
	silenceDeviations = 4.0 // mean deviations beyond the mean from which silence counts, as in TCP
)

// recordFailure counts a failure; so many in a row eject. A failed trial ejects again at once.
func (b *Balancer) recordFailure(now time.Duration, target *server, most int) {
	target.consecutiveFailures++
	if target.ejections > 0 || target.consecutiveFailures >= most {
		b.eject(now, target)
	}
}

// ejectSilent reports whether an attempt of the request is overdue, and ejects the servers that have
// answered nothing since they got it. One that answered others is only slow with this one.
func (b *Balancer) ejectSilent(now time.Duration, r *request) (overdue bool) {
	for i := range r.attempts {
		t := &r.attempts[i]
		target := t.server
		if t.ended || now-t.sentAt < b.silenceTimeout(&b.groups[target.locality], r.work) {
			continue
		}
		overdue = true
		if target.lastAnswerAt < t.sentAt && target.ejections == 0 {
			b.eject(now, target)
		}
	}
	return overdue
}

// eject takes a server out of its group, for longer each time in a row; a single trial brings it back.
func (b *Balancer) eject(now time.Duration, target *server) {
	target.ejections++
	target.consecutiveFailures, target.healthCheckPassed = 0, false
	base := max(b.silenceTimeout(&b.groups[target.locality], b.workload.Mean()), b.shortestObjective)
	pause := base << min(target.ejections, 4)
	target.trialAt = now + pause/2 + estimate.Jitter(b.rng, pause)
	b.groupsStale = true
}

// trialDue reports whether an ejected server may get its trial: after the pause and any health check.
func (b *Balancer) trialDue(now time.Duration, target *server) bool {
	return now >= target.trialAt && (target.healthCheckPassed || !b.settings.Limits.HealthChecks)
}

// startHealthCheckIfDue starts the health check that precedes the trial of an ejected server.
func (b *Balancer) startHealthCheckIfDue(now time.Duration, target *server) {
	due := target.ejections > 0 && now >= target.trialAt && target.available()
	if due && b.settings.Limits.HealthChecks && !target.healthCheckPassed && !target.healthCheckInflight {
		target.healthCheckInflight = true
		b.host.HealthCheck(target.ID)
	}
}

// HealthCheckCompleted takes a health check's result: OK allows the trial, any other status ejects again.
func (b *Balancer) HealthCheckCompleted(now time.Duration, id ServerID, status Status) {
	b.ensureStarted(now)
	target := b.endpoints.find(id)
	if target == nil || !target.healthCheckInflight {
		return
	}
	target.healthCheckInflight = false
	target.connectFailures += estimate.Indicator(status == ConnectFailed)
	if status == OK {
		target.healthCheckPassed, b.groupsStale = true, true
		return
	}
	b.eject(now, target)
}

// endEjection follows a good answer. If connects kept failing, the process may be a new one: the server
// is in slow start until the list has had time to name a restart. Otherwise it is as warm as before.
func (b *Balancer) endEjection(now time.Duration, target *server) {
	mayHaveRestarted := target.connectFailures >= 2
	target.consecutiveFailures, target.connectFailures = 0, 0
	if target.ejections == 0 {
		return
	}
	target.ejections = 0
	if target.warm() && mayHaveRestarted {
		b.startSlowStart(now, target, now)
		target.assumedRestartUntil = now + b.settings.Rules.SlowStartDuration/4
	}
	b.groupsStale = true
}
