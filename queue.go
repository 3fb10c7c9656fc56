package piernotch

import "time"

const (
	// queueFew requests that wait are no crowd: what few balancers send is no measure of room.
	queueFew = 16
	// queueShare of the shortest aim is the longest queue. Who has to wait for longer goes
	// elsewhere sooner if told at once, and each that waits keeps a client's connection, of which
	// there may be none left for what is worth more. A longer queue serves no more.
	queueShare = 1.0 / 4
)

// ahead is how long it will take until a request that waits for room has its turn: the work of
// those that go before it, at the rate at which work was sent of late.
func (b *Balancer) ahead(now time.Duration, r *request) time.Duration {
	work, n := 0.0, 0
	for _, other := range b.open {
		if other != r && other.out == 0 && !other.final && !other.stream && b.goesBefore(other, r) {
			work += other.work
			n++
		}
	}
	rate := b.sent.perSec(now)
	if n < queueFew || rate <= 0 {
		return 0
	}
	return time.Duration(work / rate * float64(time.Second))
}

// crowdedOut tells whether so much goes before a waiting request that it is refused at once.
func (b *Balancer) crowdedOut(now time.Duration, r *request) bool {
	return float64(b.ahead(now, r)) > queueShare*float64(b.shortAim)
}
