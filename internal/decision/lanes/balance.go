package lanes

import "piernotch/internal/decision/estimate"

// Bounds on the small lane's share of the weight, which stays between half and twice its share of the work:
// its bursts of requests need some servers, and the requests of the large lane need the rest.
const (
	maxSmallLaneGain = 1.0     // most that the lane gains, as a multiple of its share of the work
	maxSmallLaneLoss = 1.0 / 2 // most that the lane loses, as a multiple of its share of the work
)

// Balance moves the split between the lanes until responses are late equally often in both. Otherwise one
// lane could be overloaded while the other has capacity, which happens where cost hints are wrong by a
// factor or where heavy requests are few. The zero value gives each lane its share of the work.
type Balance struct {
	offset float64            // added to the large lane's share of the work
	late   [laneCount]float64 // running share of late responses in each lane
}

// Response is what Balance needs to know of one response.
type Response struct {
	Lane           Lane
	Late           bool
	MaxStep        float64 // bound on the move of the split, as a share of the weight
	LargeWorkShare float64 // share of the work that is in requests of the large lane, in [0, 1]
}

// Observe updates the lateness of the response's lane and moves the split towards more weight for the lane
// that is late more often.
func (b *Balance) Observe(response Response) {
	late := estimate.Indicator(response.Late)
	b.late[response.Lane] += estimate.GroupSmoothing * (late - b.late[response.Lane])
	b.offset += response.MaxStep * (b.late[Large] - b.late[Small])
	smallWorkShare := 1 - response.LargeWorkShare
	b.offset = min(max(b.offset, -smallWorkShare*maxSmallLaneGain), smallWorkShare*maxSmallLaneLoss)
}

// LargeShare returns the large lane's share of a group's weight, given its share of the work.
func (b *Balance) LargeShare(largeWorkShare float64) float64 { return largeWorkShare + b.offset }
