package watch

import "time"

// Timing is when holders and followers act. All members of a group use the same.
type Timing struct {
	HeartbeatInterval time.Duration // how often a holder with a healthy watch says so
	HeartbeatTimeout  time.Duration // a holder that has sent nothing for so long is not relied on
	TimeoutJitter     time.Duration // a follower waits longer by a random time below this; it has to be above 0
	PollTimeout       time.Duration // a holder without a successful poll for so long is not healthy
}

// DefaultTiming is what the members of every group use. Followers poll for a change that the holder received
// and could not publish within HeartbeatTimeout and TimeoutJitter. Together these stay below six seconds,
// after which the balancers are taken to know what discovery has returned.
var DefaultTiming = Timing{
	HeartbeatInterval: 500 * time.Millisecond,
	HeartbeatTimeout:  2 * time.Second,
	TimeoutJitter:     2 * time.Second,
	PollTimeout:       7 * time.Second,
}
