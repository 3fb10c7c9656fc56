package workload

import "math"

// Snapshot is what a Model has learned; a process passes it to its successor in a handover.
type Snapshot struct {
	MedianHint float64 // median of the cost hints, ms
	Mean       float64 // mean work of a request, ms
	LargeShare float64 // share of the work in requests above the median hint
}

// usable reports whether all figures are in range. The median of a Model without cost hints is 0, which is
// out of range.
func (s Snapshot) usable() bool {
	medianUsable := s.MedianHint > 0 && !math.IsInf(s.MedianHint, 0)
	meanUsable := s.Mean > 0 && !math.IsInf(s.Mean, 0)
	return medianUsable && meanUsable && s.LargeShare >= 0 && s.LargeShare <= 1
}

// Snapshot returns what the Model has learned so far.
func (m *Model) Snapshot() Snapshot {
	return Snapshot{MedianHint: m.medianHint, Mean: m.mean, LargeShare: m.largeShare}
}

// Restore initializes the Model from a snapshot and reports whether it did. It does nothing if the Model has
// already seen a cost hint, or if a figure of the snapshot is out of range.
func (m *Model) Restore(s Snapshot) bool {
	if m.hints > 0 || !s.usable() {
		return false
	}
	m.hints, m.samples = restoredSamples, restoredSamples
	m.medianHint, m.mean, m.largeShare = s.MedianHint, s.Mean, s.LargeShare
	return true
}
