package piernotch

import "time"

// Exclude keeps new requests from a server until Include, whatever the list says of it meanwhile and
// whether or not it is listed. Attempts in flight there may end. To exclude it again changes nothing.
func (b *Balancer) Exclude(now time.Duration, id ServerID) {
	b.ensureStarted(now)
	if b.endpoints.exclude(id) != nil {
		b.rebuildGroups(now)
	}
}

// Include ends an exclusion at the clock time since. The server was excluded to be restarted, which the
// list may not show yet: its slow start counts from since, or from a later start in the list.
func (b *Balancer) Include(now time.Duration, id ServerID, since time.Duration) {
	b.ensureStarted(now)
	target := b.endpoints.include(id)
	if target == nil {
		return
	}
	target.outlier.Reset()
	since = max(since, target.StartedAt)
	if b.slowStart.Covers(now, since) {
		b.startSlowStart(now, target, since)
	}
	b.rebuildGroups(now)
}
