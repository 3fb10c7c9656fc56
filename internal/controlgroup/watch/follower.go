package watch

import (
	"math/rand/v2"
	"time"

	"piernotch/internal/controlgroup/lease"
)

// Follower decides whether a balancer polls discovery itself or relies on the holder. All times are those
// of one monotonic clock.
type Follower struct {
	timing      Timing
	rng         *rand.Rand
	token       lease.Token   // the highest token received
	deadline    time.Duration // until then, the balancer relies on the holder
	independent bool
}

// NewFollower returns a follower that gives a holder the full timeout, from now on, for its first event.
func NewFollower(timing Timing, rng *rand.Rand, now time.Duration) *Follower {
	f := &Follower{timing: timing, rng: rng}
	f.extendDeadline(now)
	return f
}

func (f *Follower) extendDeadline(now time.Duration) {
	jitter := time.Duration(f.rng.Int64N(int64(f.timing.TimeoutJitter)))
	f.deadline = now + f.timing.HeartbeatTimeout + jitter
}

// EventReceived records an event that was published under token, and reports whether it is valid. An event of a
// holder that has been replaced is invalid: it must not be applied, and does not extend the timeout.
func (f *Follower) EventReceived(now time.Duration, token lease.Token) bool {
	if token < f.token {
		return false
	}
	f.token = token
	f.extendDeadline(now)
	return true
}

// Role is a balancer's part in the shared watch.
type Role uint8

// The roles. A balancer changes its role when it acquires or loses the watch's duty.
const (
	RoleFollower Role = iota // this balancer does not hold the watch's duty; another may
	RoleHolder               // this balancer holds the watch's duty
)

// ShouldPoll reports whether this balancer must poll discovery itself, because it is the holder or because it has
// received nothing from a holder in time.
func (f *Follower) ShouldPoll(now time.Duration, role Role) bool {
	f.independent = now >= f.deadline
	return role == RoleHolder || f.independent
}

// Independent reports whether the holder's timeout had passed at the last call of ShouldPoll.
func (f *Follower) Independent() bool { return f.independent }
