// Package estimate provides arithmetic that several components of the decision module share: running rates,
// means and ratios, random delays and a hash.
//
// It has no state of its own: each component owns the estimates that it makes with these types. Times are
// durations since an origin that the caller chooses.
//
// The running means are exponentially weighted moving averages (EWMA), as TCP uses for round-trip times (RFC
// 6298): each needs only one number and follows a change within a known number of samples.
package estimate

import (
	"math"
	"math/rand/v2"
	"time"
)

// Weights of one sample in a running mean: a sample moves the mean by this share of the distance between
// them.
const (
	// GroupSmoothing is the weight in a mean over a group of servers. Such a mean covers about the last 16
	// samples.
	GroupSmoothing = 1.0 / 16
	// ServerSmoothing is the weight in a mean over one server, which gives fewer samples. Such a mean covers
	// about the last 6.
	ServerSmoothing = 1.0 / 6
)

// maxRatioGain bounds the weight of one sample in a running ratio: no sample moves the ratio by more than
// half of the distance to the sample, however much work the sample stands for.
const maxRatioGain = 0.5

// Indicator returns 1 for true and 0 for false, so that a condition can be a sample of a running share.
func Indicator(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// Jitter returns a random time from 0 up to, but not including, limit. It draws one number from rng.
func Jitter(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Float64() * float64(limit))
}

// Milliseconds returns the duration of count milliseconds, which may be fractional.
func Milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}

// UpdateRatio returns the running ratio of latency to work, both in ms, after the sample latency/work. The
// ratio moves towards the sample by the distance times gain; gain counts up to maxRatioGain. A ratio of 0 is
// unknown and is replaced by the sample. The ratio stays as it is if work or latency is not positive, or if
// gain is not a finite number.
func UpdateRatio(ratio, latency, work, gain float64) float64 {
	if !(work > 0) || !(latency > 0) || math.IsInf(gain, 0) || math.IsNaN(gain) {
		return ratio
	}
	if ratio == 0 {
		return latency / work
	}
	return ratio + min(gain, maxRatioGain)*(latency/work-ratio)
}

// MixBits is a bijective hash of x: the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func MixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
