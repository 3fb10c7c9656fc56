package lease

import "time"

// Timing holds the settings that must be equal at all voters and holders.
type Timing struct {
	// Duration is the lease duration: how long a lease is valid at the leader without a renewal.
	Duration time.Duration
	// MaxClockDrift bounds the deviation of any clock's rate from true time, as a share: 0.01 is one second in a
	// hundred. Crystal oscillators stay within 0.0002; the rest allows for machines that are briefly suspended.
	MaxClockDrift float64
}

// HolderDuration returns the renew deadline: how long a holder may act under a lease after it sent the request. It is
// shorter than Duration, so that even the fastest leader clock expires a lease only after the slowest holder clock has
// reached the deadline.
func (t Timing) HolderDuration() time.Duration {
	return time.Duration(float64(t.Duration) * (1 - t.MaxClockDrift) / (1 + t.MaxClockDrift))
}

// retryPeriod is how long a holder waits before it renews, and before it repeats a request without a response.
func (t Timing) retryPeriod() time.Duration { return t.HolderDuration() / 3 }
