package piernotch

import "time"

const (
	// queueMinLength is the number of waiting requests below which the queue is never too long: what
	// few balancers send is no measure of capacity.
	queueMinLength = 16
	// queueMaxShare is the longest queue, as a share of the shortest latency objective. Clients that would
	// wait for longer go elsewhere sooner if they are rejected at once, and each that waits holds a client
	// connection that more important requests may need. A longer queue would serve no more.
	queueMaxShare = 1.0 / 4
)

// queueingDelay returns how long a waiting request will probably wait: the work of those that precede
// it, at the rate at which work was sent lately. It is 0 for a short queue.
func (b *Balancer) queueingDelay(now time.Duration, r *request) time.Duration {
	work, length := 0.0, 0
	for _, other := range b.openRequests {
		if other != r && other.waiting() && b.precedes(other, r) {
			work += other.work
			length++
		}
	}
	rate := b.sendRate.PerSecond(now)
	if length < queueMinLength || rate <= 0 {
		return 0
	}
	return time.Duration(work / rate * float64(time.Second))
}

// queueTooLong reports whether a waiting request would wait for longer than the queue may be.
func (b *Balancer) queueTooLong(now time.Duration, r *request) bool {
	return float64(b.queueingDelay(now, r)) > queueMaxShare*float64(b.shortestObjective)
}
