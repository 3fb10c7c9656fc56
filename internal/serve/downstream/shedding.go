package downstream

import (
	"cmp"
	"slices"
	"time"
)

// maxShedPerCall is the maximum number of connections that one call of Shed closes.
const maxShedPerCall = 16

// Minimum times that a connection must have been in its phase before Shed may close
// it. New connections, and those on which a response was just sent, stay open because
// their next request is probably in transit.
const (
	shedMinLingering = 100 * time.Millisecond // until then, the client's close is probably in transit
	shedMinSilent    = 50 * time.Millisecond  // since the client connected
	shedMinPartial   = 500 * time.Millisecond
	shedMinIdle      = 100 * time.Millisecond
)

// Once clients may have been waiting in the accept queue for longQueueTime, incomplete requests are shed after
// shedMinPartialQueued in place of shedMinPartial: the complete requests in the queue would be answered too late.
const (
	longQueueTime        = 100 * time.Millisecond
	shedMinPartialQueued = 100 * time.Millisecond
)

// shedClass ranks connections by what closing them costs the client, lowest cost
// first.
type shedClass int

const (
	shedUnused  shedClass = iota // lingering, or silent since the client connected
	shedPartial                  // its request has been incomplete for at least shedMinPartial or shedMinPartialQueued
	shedIdle                     // between two requests
	shedClassCount

	shedNever shedClass = -1 // in use, or in its phase for less than the minimum time
)

// Shed closes up to maxShedPerCall connections to free descriptors: the lowest
// shedClass first, and within a class those that have been in their phase longest.
// queueTime is how long clients may have been waiting in the accept queue.
func (d *Downstream) Shed(queueTime time.Duration) {
	now := d.now()
	minPartial := shedMinPartial
	if queueTime >= longQueueTime {
		minPartial = shedMinPartialQueued
	}
	var candidates [shedClassCount][]*connection
	for client := range d.connections {
		if class := client.shedClass(now, minPartial); class != shedNever {
			candidates[class] = append(candidates[class], client)
		}
	}
	remaining := maxShedPerCall
	for _, connections := range candidates {
		slices.SortFunc(connections, func(a, b *connection) int { return cmp.Compare(a.phaseStart, b.phaseStart) })
		for _, client := range connections {
			if remaining == 0 {
				return
			}
			if client.sparable() {
				client.closeNow(closeShed)
				remaining--
			}
		}
	}
}

// sparable reports whether the connection has no unread input. That of a lingering one is discarded anyway.
func (c *connection) sparable() bool { return c.writeClosed || c.socket.InputEmpty() }

// shedClass returns the connection's class, or shedNever if Shed must not close it. It does not look for unread input:
// see sparable. minPartial is how long a request must have been incomplete.
func (c *connection) shedClass(now, minPartial time.Duration) shedClass {
	age := now - c.phaseStart
	switch {
	case c.writeClosed && age >= shedMinLingering:
		return shedUnused
	case c.closing || c.exchange != 0 || c.socket.UnsentBytes() > 0:
		return shedNever
	case !c.receivedData && age >= shedMinSilent:
		return shedUnused
	case !c.parser.Idle() && age >= minPartial:
		return shedPartial
	case c.receivedData && c.parser.Idle() && age >= shedMinIdle:
		return shedIdle
	}
	return shedNever
}
