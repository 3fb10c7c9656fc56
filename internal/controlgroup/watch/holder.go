package watch

import "time"

// Holder decides whether the balancer that polls for all may send heartbeats. Times are those of one
// monotonic clock of the caller's choice.
type Holder struct {
	timing        Timing
	lastSuccess   time.Duration // of a poll
	failed        bool          // the last poll
	lastHeartbeat time.Duration
}

// NewHolder returns the state of a watch that counts as healthy at now.
func NewHolder(timing Timing, now time.Duration) *Holder {
	return &Holder{timing: timing, lastSuccess: now}
}

// PollSucceeded records a response of discovery, even one without a change.
func (h *Holder) PollSucceeded(now time.Duration) {
	h.lastSuccess = now
	h.failed = false
}

// PollFailed records that a poll failed.
func (h *Holder) PollFailed() { h.failed = true }

// Healthy reports whether others can rely on this balancer's watch.
func (h *Holder) Healthy(now time.Duration) bool {
	return !h.failed && now < h.lastSuccess+h.timing.PollTimeout
}

// HeartbeatDue reports whether to send a heartbeat now, and if so counts it as sent.
func (h *Holder) HeartbeatDue(now time.Duration) bool {
	if !h.Healthy(now) || now < h.lastHeartbeat+h.timing.HeartbeatInterval {
		return false
	}
	h.lastHeartbeat = now
	return true
}
