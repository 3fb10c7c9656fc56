package downstream

import (
	"cmp"
	"slices"
	"time"
)

// maxShedPerCall is how many connections one call of Shed closes at most.
const maxShedPerCall = 16

// How long a connection must have been in its phase before Shed may close it. One
// that was just accepted, or was just sent a response, is spared: its next
// request is on its way.
const (
	shedMinLingering = 100 * time.Millisecond // the client's close is on its way
	shedMinSilent    = 50 * time.Millisecond
	shedMinPartial   = 500 * time.Millisecond
	shedMinIdle      = 100 * time.Millisecond
)

// shedClass is what a connection costs its client when it is closed, in
// ascending order.
type shedClass int

const (
	shedUnused  shedClass = iota // lingering, or silent since it was accepted
	shedPartial                  // its request has been incomplete for long
	shedIdle                     // between two requests
	shedClassCount

	shedNever shedClass = -1 // a response is pending, or it is in use
)

// Shed closes up to maxShedPerCall connections to free descriptors: those of the
// least use first, and among equals those that have been in their phase longest.
func (d *Downstream) Shed() {
	now := d.now()
	var candidates [shedClassCount][]*connection
	for client := range d.connections {
		if class := client.shedClass(now); class != shedNever {
			candidates[class] = append(candidates[class], client)
		}
	}
	remaining := maxShedPerCall
	for _, connections := range candidates {
		slices.SortFunc(connections, func(a, b *connection) int { return cmp.Compare(a.phaseStart, b.phaseStart) })
		for _, client := range connections[:min(remaining, len(connections))] {
			client.closeNow(closeShed)
			remaining--
		}
	}
}

// shedClass classifies the connection for Shed.
func (c *connection) shedClass(now time.Duration) shedClass {
	age := now - c.phaseStart
	switch {
	case c.writeClosed && age >= shedMinLingering:
		return shedUnused
	case c.closing || c.exchange != 0 || c.socket.UnsentBytes() > 0:
		return shedNever
	case !c.receivedData && age >= shedMinSilent && c.socket.InputEmpty():
		return shedUnused
	case !c.parser.Idle() && age >= shedMinPartial:
		return shedPartial
	case c.receivedData && c.parser.Idle() && age >= shedMinIdle && c.socket.InputEmpty():
		return shedIdle
	}
	return shedNever
}
