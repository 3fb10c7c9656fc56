package piernotch

import (
	"math"

	"piernotch/internal/decision/workload"
)

// Snapshot is what a Balancer has learnt about its traffic, for the process that takes over from it. The tags
// are the keys in handover records. They must not change, because other versions of the program read them.
type Snapshot struct {
	MedianHint         float64 `json:"Median"`     // median cost hint, ms
	MeanWork           float64 `json:"MeanWork"`   // mean work of a request, ms
	LargeWorkShare     float64 `json:"LargeShare"` // share of the work that is in requests above the median hint
	PeakCompletionRate float64 `json:"Usual"`      // peak completions per second of a warm server of size 1; 0: unknown
}

// Snapshot returns what the Balancer has learnt so far, for Restore in its successor.
func (b *Balancer) Snapshot() Snapshot {
	learnt := b.workload.Snapshot()
	return Snapshot{
		MedianHint: learnt.MedianHint, MeanWork: learnt.Mean, LargeWorkShare: learnt.LargeShare,
		PeakCompletionRate: b.peakCompletionRate.PerSecond(),
	}
}

// Restore initializes the Balancer from its predecessor's snapshot. It does nothing if the Balancer has
// already seen a cost hint, or if a figure in the snapshot is out of range.
func (b *Balancer) Restore(l Snapshot) {
	peakPossible := l.PeakCompletionRate >= 0 && !math.IsInf(l.PeakCompletionRate, 0)
	learnt := workload.Snapshot{MedianHint: l.MedianHint, Mean: l.MeanWork, LargeShare: l.LargeWorkShare}
	if peakPossible && b.workload.Restore(learnt) {
		b.peakCompletionRate.Restore(l.PeakCompletionRate)
	}
}
