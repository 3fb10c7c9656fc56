// Package estimate holds the arithmetic that several components of the decision module share: running
// estimates of rates, means and ratios, random delays and a hash.
//
// It decides nothing and keeps no state of its own: each component owns the estimates that it makes with
// these types. Times are on the caller's clock, as durations since an origin that the caller chooses.
//
// The running means are exponentially weighted moving averages, as TCP keeps of round trip times (RFC 6298):
// they need one number each, and follow a change within a known number of samples.
package estimate

import (
	"math"
	"math/rand/v2"
	"time"
)

// Weights of one sample in a running mean: a mean moves by this share of its distance to the sample.
const (
	// GroupSmoothing is for a mean over a group of servers, which has many samples: a mean over about the
	// last 16 of them.
	GroupSmoothing = 1.0 / 16
	// ServerSmoothing is for a mean over one server, which has fewer samples: about the last 6.
	ServerSmoothing = 1.0 / 6
)

// maxRatioGain bounds the weight of one sample in a running ratio: no single one may move it by more than
// half of the distance, however much work it stands for.
const maxRatioGain = 0.5

// Indicator returns 1 for true and 0 for false, as a sample of a running share.
func Indicator(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// Jitter returns a random time from 0 up to, but not including, limit. It draws one number.
func Jitter(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Float64() * float64(limit))
}

// Milliseconds returns the time of so many milliseconds.
func Milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}

// UpdateRatio moves the running ratio of a latency to its work, both in ms, towards the sample
// latency/work by the gain, and returns the result. A ratio of 0 is not known yet: it becomes the sample.
// A sample without work or latency, or with a gain that is no finite number, changes nothing.
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
