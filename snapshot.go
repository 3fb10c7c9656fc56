package piernotch

import (
	"math"

	"piernotch/internal/decision/workload"
)

// Snapshot is what a balancer has learnt of its traffic, for the process that takes over from it. The tags
// are the keys in handover records, which other versions of the program read.
type Snapshot struct {
	MedianHint         float64 `json:"Median"`     // of the cost hints, ms
	MeanWork           float64 `json:"MeanWork"`   // of a request, ms
	LargeWorkShare     float64 `json:"LargeShare"` // of the work, in requests above the median
	PeakCompletionRate float64 `json:"Usual"`      // of a warm server of size 1, peak per second; 0: not known
}

// Snapshot returns what has been learnt so far.
func (b *Balancer) Snapshot() Snapshot {
	learnt := b.workload.Snapshot()
	return Snapshot{
		MedianHint: learnt.MedianHint, MeanWork: learnt.Mean, LargeWorkShare: learnt.LargeShare,
		PeakCompletionRate: b.peakCompletionRate.PerSecond(),
	}
}

// Restore starts a balancer from another's snapshot. It does nothing if the balancer has seen a cost hint
// of its own already, or if a figure is impossible.
func (b *Balancer) Restore(l Snapshot) {
	peakPossible := l.PeakCompletionRate >= 0 && !math.IsInf(l.PeakCompletionRate, 0)
	learnt := workload.Snapshot{MedianHint: l.MedianHint, Mean: l.MeanWork, LargeShare: l.LargeWorkShare}
	if peakPossible && b.workload.Restore(learnt) {
		b.peakCompletionRate.Restore(l.PeakCompletionRate)
	}
}
