package watch

import "time"

// Holder decides whether the balancer that polls for all may send heartbeats. All times are those of one
// monotonic clock.
type Holder struct {
	timing        Timing
	lastSuccess   time.Duration // when PollSucceeded or NewHolder was called last
	failed        bool          // the last poll failed
	lastHeartbeat time.Duration
}

// NewHolder returns a Holder that counts now as the time of a successful poll.
func NewHolder(timing Timing, now time.Duration) *Holder {
	return &Holder{timing: timing, lastSuccess: now}
}

// PollSucceeded records that discovery responded to a poll, with or without a change.
func (h *Holder) PollSucceeded(now time.Duration) {
	h.lastSuccess = now
	h.failed = false
}

// PollFailed makes the watch unhealthy until a poll succeeds.
func (h *Holder) PollFailed() { h.failed = true }

// Healthy reports whether others can rely on this balancer's watch: the last poll did not fail, and a
// poll succeeded within Timing.PollTimeout.
func (h *Holder) Healthy(now time.Duration) bool {
	return !h.failed && now < h.lastSuccess+h.timing.PollTimeout
}

// HeartbeatDue reports whether the caller must send a heartbeat now, and if so records it as sent.
func (h *Holder) HeartbeatDue(now time.Duration) bool {
	if !h.Healthy(now) || now < h.lastHeartbeat+h.timing.HeartbeatInterval {
		return false
	}
	h.lastHeartbeat = now
	return true
}
