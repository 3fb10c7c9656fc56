package downstream

import "time"

// stallReadTime is the time allowed after a stall for reading all data that arrived
// during the stall.
const stallReadTime = 50 * time.Millisecond

// stallWindow describes the last stall of the process, or a series of stalls that end
// within stallReadTime of each other. Data that is read before the time "until" may have
// arrived as early as the time "from", when the first of these stalls began.
type stallWindow struct{ from, until time.Duration }

// Stalled tells the Downstream that the event loop was stalled for the duration gap,
// which ends now. Data that arrived during the stall may still be unread.
func (d *Downstream) Stalled(gap time.Duration) {
	now := d.now()
	if d.stall.until < now {
		d.stall.from = now - gap
	}
	d.stall.until = now + stallReadTime
}

// arrivalTime returns the earliest time at which a request that is read now may have
// arrived. A client's deadline runs from the time at which it sent the request.
// Without this correction, requests that waited during a stall would count as new, and
// their responses would come too late. Overestimating a request's age is safe: the
// request may be rejected, but has not been forwarded.
func (d *Downstream) arrivalTime() time.Duration {
	now := d.now()
	if now >= d.stall.until {
		return now
	}
	return d.stall.from
}
