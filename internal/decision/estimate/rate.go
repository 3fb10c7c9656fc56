package estimate

import (
	"math"
	"time"
)

// minRateSpan is the shortest time, in seconds, over which a rate is computed: otherwise one heavy request
// right after the start would look like a high rate.
const minRateSpan = 0.5

// Rate is a running rate per second with exponential decay: it covers about the last second. The zero value
// counts from the origin of the clock; Start sets a later beginning.
type Rate struct {
	value float64       // sum of the amounts, decayed by a factor of e per second
	since time.Duration // when counting began
	at    time.Duration // when value was last decayed; 0: not yet
}

// Start sets the time at which counting begins. PerSecond does not average over the time before that.
func (r *Rate) Start(now time.Duration) { r.since = now }

// Add counts amount towards the rate at the time now.
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

// PerSecond returns the rate at the time now, scaled up while the time since Start is short.
func (r *Rate) PerSecond(now time.Duration) float64 {
	seen := 1 - math.Exp(-max((now-r.since).Seconds(), minRateSpan))
	return r.value * math.Exp(-(now - r.at).Seconds()) / seen
}
