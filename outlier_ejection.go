package piernotch

import "time"

// recordFailure counts a failure; so many in a row eject.
func (b *Balancer) recordFailure(now time.Duration, to *backend, most int) {
	to.consecutiveFailures++
	if to.ejections > 0 || to.consecutiveFailures >= most {
		b.eject(now, to)
	}
}

// eject takes a backend out of its group; a single trial brings it back.
func (b *Balancer) eject(now time.Duration, to *backend) {
	to.ejections++
	to.consecutiveFailures, to.healthCheckPassed = 0, false
	base := max(b.silenceTimeout(&b.groups[to.locality], b.meanWork), b.shortestObjective)
	pause := base << min(to.ejections, 4)
	to.trialAt = now + pause/2 + jitter(b.rng, pause)
	b.groupsStale = true
}

// trialDue tells whether an ejected backend may have its trial: paused and, if allowed, probed.
func (b *Balancer) trialDue(now time.Duration, to *backend) bool {
	return now >= to.trialAt && (to.healthCheckPassed || !b.settings.Limits.HealthChecks)
}

// HealthCheckCompleted takes the result of a probe of an ejected backend.
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

// endEjection ends an ejection. If connects kept failing, the process may be a new one: the
// backend comes back as if cold until the list has had time to name a restart.
// One that was only silent, slow or wrong kept its process and is as warm as before.
func (b *Balancer) endEjection(now time.Duration, to *backend) {
	down := to.connectFailures
	to.consecutiveFailures, to.connectFailures = 0, 0
	if to.ejections == 0 {
		return
	}
	to.ejections = 0
	if to.slowStartSince < 0 && down >= 2 {
		b.startSlowStart(now, to, now)
		to.assumedRestartUntil = now + b.settings.Rules.SlowStartDuration/4
	}
	b.groupsStale = true
}
