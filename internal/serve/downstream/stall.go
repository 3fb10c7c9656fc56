package downstream

import "time"

// stallReadTime is how long after a stall it may take until everything that
// arrived meanwhile has been read.
const stallReadTime = 50 * time.Millisecond

// stallWindow is the time after a stall of the process. What is read before until
// may have arrived as early as from.
type stallWindow struct{ from, until time.Duration }

// Stalled reports to Downstream that nothing was read for the time gap, up to
// now.
func (d *Downstream) Stalled(gap time.Duration) {
	now := d.now()
	if d.stall.until < now {
		d.stall.from = now - gap
	}
	d.stall.until = now + stallReadTime
}

// arrivalTime returns the earliest time at which the request that is read now may
// have arrived. The client's deadline runs from when it sent the request; without
// this correction a process that has stalled would take old requests for new ones,
// and respond too late. A request that is taken for older than it is may be
// rejected, which is safe: it has not been forwarded.
func (d *Downstream) arrivalTime() time.Duration {
	now := d.now()
	if now >= d.stall.until {
		return now
	}
	return d.stall.from
}
