package piernotch

import "math"

// restoredHintCount is the weight of a restored snapshot, in cost hints of the balancer's own.
const restoredHintCount = 16

// Snapshot is what a balancer has learnt of its traffic, for the process that takes over from it. The tags
// are the keys in handover records, which other versions of the program read.
type Snapshot struct {
	MedianHint         float64 `json:"Median"`     // of the cost hints, ms
	MeanWork           float64 `json:"MeanWork"`   // of a request, ms
	LargeWorkShare     float64 `json:"LargeShare"` // of the work, in requests above the median
	PeakCompletionRate float64 `json:"Usual"`      // peak completions per second of a warm server of size 1; 0: not known
}

// usable reports whether the figures are possible, and of at least one hint.
func (l Snapshot) usable() bool {
	for _, v := range []float64{l.MedianHint, l.MeanWork, l.PeakCompletionRate} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	return l.MedianHint > 0 && l.MeanWork > 0 && l.LargeWorkShare >= 0 && l.LargeWorkShare <= 1
}

// Snapshot returns what has been learnt so far.
func (b *Balancer) Snapshot() Snapshot {
	return Snapshot{b.medianHint, b.meanWork, b.largeWorkShare, b.peakCompletionRate}
}

// Restore starts a balancer from another's snapshot. It does nothing if the balancer has seen a cost hint
// of its own already, or if a figure is impossible.
func (b *Balancer) Restore(l Snapshot) {
	if b.hintCount > 0 || !l.usable() {
		return
	}
	b.hintCount, b.workSamples = restoredHintCount, restoredHintCount
	b.medianHint, b.meanWork, b.largeWorkShare = l.MedianHint, l.MeanWork, l.LargeWorkShare
	b.peakCompletionRate = max(b.peakCompletionRate, l.PeakCompletionRate)
}
