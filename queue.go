package piernotch

import "time"

const (
	// queueMinLength requests that wait are no crowd: what few balancers send is no measure of room.
	queueMinLength = 16
	// queueMaxShare of the shortest aim is the longest queue. Who has to wait for longer goes
	// elsewhere sooner if told at once, and each that waits keeps a client's connection, of which
	// there may be none left for what is worth more. A longer queue serves no more.
	queueMaxShare = 1.0 / 4
)

// queueingDelay is how long it will take until a request that waits for room has its turn: the work of
// those that go before it, at the rate at which work was sent of late.
func (b *Balancer) queueingDelay(now time.Duration, r *request) time.Duration {
	work, n := 0.0, 0
	for _, other := range b.openRequests {
		if other != r && other.inflight == 0 && !other.done && !other.streaming && b.precedes(other, r) {
			work += other.work
			n++
		}
	}
	rate := b.sendRate.perSec(now)
	if n < queueMinLength || rate <= 0 {
		return 0
	}
	return time.Duration(work / rate * float64(time.Second))
}

// queueTooLong tells whether so much goes before a waiting request that it is refused at once.
func (b *Balancer) queueTooLong(now time.Duration, r *request) bool {
	return float64(b.queueingDelay(now, r)) > queueMaxShare*float64(b.shortestObjective)
}
