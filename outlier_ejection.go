package piernotch

import "time"

const (
	maxSilentTimeouts = 2   // consecutive timeouts without any answer that eject a backend
	maxFailures       = 3   // other consecutive failures that do; a healthy one has some now and then
	silenceDeviations = 4.0 // mean deviations beyond the mean from which silence counts, as in TCP
)

// recordFailure counts a failure; so many in a row eject. A failed trial ejects again at once.
func (b *Balancer) recordFailure(now time.Duration, to *backend, most int) {
	to.consecutiveFailures++
	if to.ejections > 0 || to.consecutiveFailures >= most {
		b.eject(now, to)
	}
}

// ejectSilent reports whether an attempt of the request is overdue, and ejects the backends that have
// answered nothing since they got it. One that answered others is only slow with this one.
func (b *Balancer) ejectSilent(now time.Duration, r *request) (overdue bool) {
	for i := range r.attempts {
		t := &r.attempts[i]
		to := t.backend
		if t.ended || now-t.sentAt < b.silenceTimeout(&b.groups[to.locality], r.work) {
			continue
		}
		overdue = true
		if to.lastAnswerAt < t.sentAt && to.ejections == 0 {
			b.eject(now, to)
		}
	}
	return overdue
}

// eject takes a backend out of its group, for longer each time in a row; a single trial brings it back.
func (b *Balancer) eject(now time.Duration, to *backend) {
	to.ejections++
	to.consecutiveFailures, to.healthCheckPassed = 0, false
	base := max(b.silenceTimeout(&b.groups[to.locality], b.meanWork), b.shortestObjective)
	pause := base << min(to.ejections, 4)
	to.trialAt = now + pause/2 + jitter(b.rng, pause)
	b.groupsStale = true
}

// trialDue reports whether an ejected backend may get its trial: after the pause and any health check.
func (b *Balancer) trialDue(now time.Duration, to *backend) bool {
	return now >= to.trialAt && (to.healthCheckPassed || !b.settings.Limits.HealthChecks)
}

// startHealthCheckIfDue starts the health check that precedes the trial of an ejected backend.
func (b *Balancer) startHealthCheckIfDue(now time.Duration, to *backend) {
	due := to.ejections > 0 && now >= to.trialAt && to.available()
	if due && b.settings.Limits.HealthChecks && !to.healthCheckPassed && !to.healthCheckInflight {
		to.healthCheckInflight = true
		b.host.HealthCheck(to.ID)
	}
}

// HealthCheckCompleted takes a health check's result: OK allows the trial, any other status ejects again.
func (b *Balancer) HealthCheckCompleted(now time.Duration, id BackendID, status Status) {
	b.ensureStarted(now)
	to := b.backends[id]
	if to == nil || !to.healthCheckInflight {
		return
	}
	to.healthCheckInflight = false
	to.connectFailures += indicator(status == ConnectFailed)
	if status == OK {
		to.healthCheckPassed, b.groupsStale = true, true
		return
	}
	b.eject(now, to)
}

// endEjection follows a good answer. If connects kept failing, the process may be a new one: the backend
// is in slow start until the list has had time to name a restart. Otherwise it is as warm as before.
func (b *Balancer) endEjection(now time.Duration, to *backend) {
	mayHaveRestarted := to.connectFailures >= 2
	to.consecutiveFailures, to.connectFailures = 0, 0
	if to.ejections == 0 {
		return
	}
	to.ejections = 0
	if to.warm() && mayHaveRestarted {
		b.startSlowStart(now, to, now)
		to.assumedRestartUntil = now + b.settings.Rules.SlowStartDuration/4
	}
	b.groupsStale = true
}
