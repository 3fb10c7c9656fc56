package admission

import "time"

const (
	// queueMinLength is the number of waiting requests below which the queue never counts as too long.
	// Delay divides the waiting work by the rate at which this balancer sends work. With few balancers, that
	// rate is no measure of the servers' capacity, and must not get a few waiting requests rejected.
	queueMinLength = 16
	// queueMaxShare bounds the queueing delay, as a share of the shortest latency objective. A longer queue
	// would serve no more requests. Clients that would wait for longer go elsewhere sooner if they are
	// rejected at once, and each waiting request holds a client connection that more important requests may
	// need.
	queueMaxShare = 1.0 / 4
)

// Queue sums up the requests that wait ahead of a given request. The zero value is empty.
type Queue struct {
	work   float64 // ms
	length int
}

// Add adds a waiting request with its work in ms.
func (q *Queue) Add(work float64) {
	q.work += work
	q.length++
}

// Delay estimates how long a request behind the queue will wait; sendRate is the work that this balancer
// sends, in ms per second. Delay returns 0 for fewer than queueMinLength requests, and if sendRate is 0
// (unknown).
func (q *Queue) Delay(sendRate float64) time.Duration {
	if q.length < queueMinLength || sendRate <= 0 {
		return 0
	}
	return time.Duration(q.work / sendRate * float64(time.Second))
}

// QueueTooLong reports whether a request behind the queue would wait for longer than queueMaxShare allows.
func (c *Controller) QueueTooLong(ahead Queue, sendRate float64) bool {
	return float64(ahead.Delay(sendRate)) > queueMaxShare*float64(c.options.ShortestObjective)
}
