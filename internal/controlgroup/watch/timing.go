package watch

import "time"

// Timing has the intervals and timeouts of holders and followers. All members of a group use the same values.
type Timing struct {
	HeartbeatInterval time.Duration // between the heartbeats of a holder with a healthy watch
	HeartbeatTimeout  time.Duration // without events for this long, followers no longer rely on the holder
	TimeoutJitter     time.Duration // a follower adds a random time below this to the timeout; must be above 0
	PollTimeout       time.Duration // without a successful poll for this long, a holder's watch is unhealthy
}

// DefaultTiming is the Timing of every group. If the holder receives a change and cannot publish it, followers
// poll discovery themselves after at most HeartbeatTimeout + TimeoutJitter. This sum must stay below six seconds:
// six seconds after discovery listed a change, a balancer that can reach discovery counts as notified of it.
var DefaultTiming = Timing{
	HeartbeatInterval: 500 * time.Millisecond,
	HeartbeatTimeout:  2 * time.Second,
	TimeoutJitter:     2 * time.Second,
	PollTimeout:       7 * time.Second,
}
