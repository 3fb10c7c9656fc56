package piernotch

import "time"

// Exclude leaves a backend out until Include, whatever the list says of it meanwhile, and
// whether or not it is listed. What it has in hand it may finish.
func (b *Balancer) Exclude(now time.Duration, id BackendID) {
	b.ensureStarted(now)
	b.excluded[id] = true
	if to := b.backends[id]; to != nil {
		to.excluded = true
		b.rebuildGroups(now)
	}
}

// Include lets a backend that was left out until since serve again. It was out to be
// restarted, and the list may not have said so yet: it counts as cold from then on, or from
// a later start that the list tells of.
func (b *Balancer) Include(now time.Duration, id BackendID, since time.Duration) {
	b.ensureStarted(now)
	delete(b.excluded, id)
	to := b.backends[id]
	if to == nil {
		return
	}
	to.excluded = false
	to.ejections, to.consecutiveFailures, to.trialInflight, to.healthCheckPassed = 0, 0, false, false
	if since = max(since, to.StartedAt); now < since+b.settings.Rules.SlowStartDuration {
		b.startSlowStart(now, to, since)
	}
	b.rebuildGroups(now)
}

// available tells whether the list and the operators allow new requests to the backend.
func (to *backend) available() bool { return to.State == Ready && !to.excluded }
