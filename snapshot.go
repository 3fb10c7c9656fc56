package piernotch

import "math"

// Snapshot is what a proxy has learnt of its traffic, for the one that takes over from it.
type Snapshot struct {
	Median, MeanWork, LargeShare float64 // of the hints, ms, ms and a share
	Usual                        float64 // answers a second of a warm backend of size 1
}

// Snapshot tells what has been learnt so far.
func (b *Balancer) Snapshot() Snapshot {
	return Snapshot{b.medianHint, b.meanWork, b.largeWorkShare, b.peakCompletionRate}
}

// Restore starts a proxy from what another has learnt, unless it has learnt more by itself.
// Figures that cannot be are passed over.
func (b *Balancer) Restore(l Snapshot) {
	for _, v := range []float64{l.Median, l.MeanWork, l.Usual} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return
		}
	}
	if b.hintCount > 0 || !(l.Median > 0 && l.MeanWork > 0 && l.LargeShare >= 0 && l.LargeShare <= 1) {
		return
	}
	b.hintCount, b.workSamples = restoredHintCount, restoredHintCount
	b.medianHint, b.meanWork, b.largeWorkShare = l.Median, l.MeanWork, l.LargeShare
	b.peakCompletionRate = max(b.peakCompletionRate, l.Usual)
}

// restoredHintCount is how many hints of its own what another has learnt counts for.
const restoredHintCount = 16
