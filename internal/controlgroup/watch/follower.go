package watch

import (
	"math/rand/v2"
	"time"

	"piernotch/internal/controlgroup/lease"
)

// Follower decides whether a balancer polls discovery itself or relies on the holder. Times are those of
// one monotonic clock of the caller's choice.
type Follower struct {
	timing      Timing
	rng         *rand.Rand
	token       lease.Token   // the highest that was received
	deadline    time.Duration // the holder is relied on until then
	independent bool
}

// NewFollower returns a follower that waits for a first heartbeat from now on.
func NewFollower(timing Timing, rng *rand.Rand, now time.Duration) *Follower {
	f := &Follower{timing: timing, rng: rng}
	f.extendDeadline(now)
	return f
}

func (f *Follower) extendDeadline(now time.Duration) {
	jitter := time.Duration(f.rng.Int64N(int64(f.timing.TimeoutJitter)))
	f.deadline = now + f.timing.HeartbeatTimeout + jitter
}

// EventReceived records that an event of the holder with that token was received, and reports whether the
// event counts. An event of a holder that has been replaced does not: it must not be applied.
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

// Roles.
const (
	RoleFollower Role = iota // another balancer may hold the watch's duty
	RoleHolder               // this balancer holds it
)

// ShouldPoll reports whether this balancer polls discovery itself: because it is the holder, or because
// there is no holder to rely on.
func (f *Follower) ShouldPoll(now time.Duration, role Role) bool {
	f.independent = now >= f.deadline
	return role == RoleHolder || f.independent
}

// Independent reports whether there was no holder to rely on when ShouldPoll was called last.
func (f *Follower) Independent() bool { return f.independent }
