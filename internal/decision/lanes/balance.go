package lanes

import "piernotch/internal/decision/estimate"

// The small lane's share of the weight stays within half and twice its share of the work: its requests
// arrive in bursts that need some servers, and those of the large lane need the rest.
const (
	maxSmallLaneGain = 1.0     // what it may get beyond its share of the work, as a share of that
	maxSmallLaneLoss = 1.0 / 2 // what it may lose of it
)

// Balance moves the split between the lanes until responses are late equally often in both. It prevents that
// one lane is overloaded while the other has capacity, which happens where cost hints are wrong by a factor
// or where the heavy requests are few. The zero value leaves each lane its share of the work.
type Balance struct {
	offset float64            // added to the large lane's share of the work
	late   [laneCount]float64 // share of late responses in each lane
}

// Response is one response as Balance sees it.
type Response struct {
	Lane           Lane
	Late           bool
	MaxStep        float64 // how far it may move the split, as a share of the weight
	LargeWorkShare float64 // share of the work that is of the large lane's requests, in [0, 1]
}

// Observe counts a response and moves the split.
func (b *Balance) Observe(response Response) {
	late := estimate.Indicator(response.Late)
	b.late[response.Lane] += estimate.GroupSmoothing * (late - b.late[response.Lane])
	b.offset += response.MaxStep * (b.late[Large] - b.late[Small])
	smallWorkShare := 1 - response.LargeWorkShare
	b.offset = min(max(b.offset, -smallWorkShare*maxSmallLaneGain), smallWorkShare*maxSmallLaneLoss)
}

// LargeShare returns the large lane's share of a group's weight.
func (b *Balance) LargeShare(largeWorkShare float64) float64 { return largeWorkShare + b.offset }
