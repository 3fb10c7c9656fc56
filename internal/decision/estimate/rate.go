package estimate

import (
	"math"
	"time"
)

// minRateSpan is the least time that a rate is taken over, in seconds: one heavy request in the first
// moments must not pass for a heavy stream of them.
const minRateSpan = 0.5

// Rate is a running rate per second over about the last second. The zero value counts from the clock's
// origin; Start sets a later beginning.
type Rate struct {
	value float64       // the amounts so far, each decayed by a factor of e per second
	since time.Duration // when counting began
	at    time.Duration // when value was last decayed; 0: not yet
}

// Start says that counting begins now. The rate of the first second is corrected for the time before that.
func (r *Rate) Start(now time.Duration) { r.since = now }

// Add counts an amount at the present time.
func (r *Rate) Add(now time.Duration, amount float64) {
	r.decay(now)
	r.value += amount
}

// decay reduces the sum by a factor of e for each second since the last addition.
func (r *Rate) decay(now time.Duration) {
	if r.at > 0 {
		r.value *= math.Exp(-(now - r.at).Seconds())
	}
	r.at = now
}

// PerSecond returns the rate.
func (r *Rate) PerSecond(now time.Duration) float64 {
	seen := 1 - math.Exp(-max((now-r.since).Seconds(), minRateSpan))
	return r.value * math.Exp(-(now - r.at).Seconds()) / seen
}
