package lease

import "time"

// Timing is what the leader and all holders have to agree on.
type Timing struct {
	// Duration is the lease duration: how long a lease is valid at the leader without a renewal.
	Duration time.Duration
	// MaxClockDrift bounds how far the rate of any clock may be from true time, as a share: 0.01 is one second in a
	// hundred. Crystals keep within 0.0002; the rest is for machines that are suspended for moments.
	MaxClockDrift float64
}

// HolderDuration is the renew deadline: how long a holder may act under a lease, from when it sent the request. It
// is so much shorter than Duration that the fastest leader's clock expires a lease only after the slowest
// holder's has passed the deadline.
func (t Timing) HolderDuration() time.Duration {
	return time.Duration(float64(t.Duration) * (1 - t.MaxClockDrift) / (1 + t.MaxClockDrift))
}

// retryPeriod is how long a holder waits before it renews, and before it repeats a request without a response.
func (t Timing) retryPeriod() time.Duration { return t.HolderDuration() / 3 }
