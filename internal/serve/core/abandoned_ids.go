package core

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// abandonedIDTime is how long the ID of an abandoned request is remembered at least, unless too many are.
	abandonedIDTime = 10 * time.Second
	// maxAbandonedIDs is the number of IDs of one period of abandonedIDTime that are remembered. With more, the period
	// ends early.
	maxAbandonedIDs = 8192
)

// abandonedIDs remembers the clients' IDs of requests whose client left although a server may have executed them. Such
// a request must not be forwarded again, unless it is idempotent. It keeps hashes of the IDs of the current period and
// of the one before.
type abandonedIDs struct {
	current, previous map[uint64]struct{}
	periodStart       time.Duration
}

// add remembers an ID.
func (a *abandonedIDs) add(now time.Duration, id string) {
	a.advance(now)
	if a.current == nil || len(a.current) >= maxAbandonedIDs {
		a.startPeriod(now)
	}
	a.current[xxhash.Sum64String(id)] = struct{}{}
}

// contains reports whether an ID is remembered.
func (a *abandonedIDs) contains(now time.Duration, id string) bool {
	a.advance(now)
	hash := xxhash.Sum64String(id)
	_, current := a.current[hash]
	_, previous := a.previous[hash]
	return current || previous
}

// advance forgets the IDs of a period that began more than two periods ago.
func (a *abandonedIDs) advance(now time.Duration) {
	switch age := now - a.periodStart; {
	case age >= 2*abandonedIDTime:
		a.current, a.previous = nil, nil
	case age >= abandonedIDTime && a.current != nil:
		a.startPeriod(now)
	}
}

func (a *abandonedIDs) startPeriod(now time.Duration) {
	a.previous = a.current
	a.current = map[uint64]struct{}{}
	a.periodStart = now
}
