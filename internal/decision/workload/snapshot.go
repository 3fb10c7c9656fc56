package workload

import "math"

// Snapshot is what a Model has learnt, for the process that takes over from this one.
type Snapshot struct {
	MedianHint float64 // of the cost hints, ms
	Mean       float64 // of a request's work, ms
	LargeShare float64 // of the work, in requests above the median hint
}

// usable reports whether the figures are possible, and of at least one hint.
func (s Snapshot) usable() bool {
	medianUsable := s.MedianHint > 0 && !math.IsInf(s.MedianHint, 0)
	meanUsable := s.Mean > 0 && !math.IsInf(s.Mean, 0)
	return medianUsable && meanUsable && s.LargeShare >= 0 && s.LargeShare <= 1
}

// Snapshot returns what has been learnt so far.
func (m *Model) Snapshot() Snapshot {
	return Snapshot{MedianHint: m.medianHint, Mean: m.mean, LargeShare: m.largeShare}
}

// Restore starts the Model from another's snapshot and reports whether it did. It does nothing if there was a
// cost hint already, or if a figure is impossible.
func (m *Model) Restore(s Snapshot) bool {
	if m.hints > 0 || !s.usable() {
		return false
	}
	m.hints, m.samples = restoredSamples, restoredSamples
	m.medianHint, m.mean, m.largeShare = s.MedianHint, s.Mean, s.LargeShare
	return true
}
