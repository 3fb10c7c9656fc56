package admission

import "time"

const (
	// queueMinLength is the number of waiting requests below which the queue is never too long: what few
	// balancers send is no measure of capacity.
	queueMinLength = 16
	// queueMaxShare is the longest queueing delay, as a share of the shortest latency objective. Clients that
	// would wait for longer go elsewhere sooner if they are rejected at once, and each that waits holds a
	// client connection that more important requests may need. A longer queue would serve no more.
	queueMaxShare = 1.0 / 4
)

// Queue sums up the waiting requests that precede one. The zero value is empty.
type Queue struct {
	work   float64 // ms
	length int
}

// Add adds a waiting request with its work in ms.
func (q *Queue) Add(work float64) {
	q.work += work
	q.length++
}

// Delay returns how long a request behind the queue will probably wait, if work is sent at that rate, in ms
// per second. It is 0 for a short queue and while the rate is not known.
func (q *Queue) Delay(sendRate float64) time.Duration {
	if q.length < queueMinLength || sendRate <= 0 {
		return 0
	}
	return time.Duration(q.work / sendRate * float64(time.Second))
}

// QueueTooLong reports whether a request behind the queue would wait for longer than the queue may be.
func (c *Controller) QueueTooLong(ahead Queue, sendRate float64) bool {
	return float64(ahead.Delay(sendRate)) > queueMaxShare*float64(c.options.ShortestObjective)
}
