package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	objective = 400 * time.Millisecond
	tick      = 25 * time.Millisecond
)

// newController returns a Controller with one class for each of the weights. change, if not nil, adjusts the
// options.
func newController(change func(*Options), weights ...float64) *Controller {
	options := Options{
		ShortestObjective: objective, TickInterval: tick, ClassWeights: weights, OverQuotaWeight: 0.5,
		PreventStarvation: true,
	}
	if change != nil {
		change(&options)
	}
	c := &Controller{}
	c.Configure(options)
	return c
}

// observe feeds count responses to the Controller, one per objective, and returns the shed share.
func observe(c *Controller, response Response, count int) float64 {
	for range count {
		c.ObserveResponse(c.Step(c.adjustedAt+objective), response)
	}
	return c.ShedShare()
}

func TestShedShareFollowsLateResponses(t *testing.T) {
	own, elsewhere := Response{Late: true}, Response{Locality: 1, Late: true}
	c := newController(nil, 1)
	require.Zero(t, observe(c, own, 50), "the other locality is in time: spilling costs less")
	require.Equal(t, 2*maxStep, observe(c, elsewhere, 2), "the first is late, too")
	require.Equal(t, 1.5*maxStep, observe(c, own, 1), "two late responses do not make the second late")
	require.Equal(t, 2.5*maxStep, observe(c, elsewhere, 1))
	require.Equal(t, 3.5*maxStep, observe(c, own, 1), "three do")
}

func TestLoneLocalityShedsAndRecovers(t *testing.T) {
	c := newController(nil, 1)
	late, inTime := Response{Late: true, OnlyLocality: true}, Response{OnlyLocality: true}
	require.Equal(t, 4*maxStep, observe(c, late, 4))
	require.Equal(t, 3*maxStep, observe(c, inTime, 2), "half as fast down")
	require.Equal(t, 1.0, observe(c, late, 100), "no more than all")
	require.Zero(t, observe(c, inTime, 100), "no less than nothing")
	require.False(t, c.Shedding())
	now := c.adjustedAt
	require.InDelta(t, shedGain/40, c.Step(now+objective/40), 1e-12, "by the time since the last response")
	require.Zero(t, c.Step(now+objective/40))
}

func TestSilenceAndAgeOfLateness(t *testing.T) {
	c := newController(nil, 1)
	for range 3 {
		c.ObserveSilence(1)
	}
	require.Zero(t, c.ShedShare(), "silence is no reason to shed")
	require.Positive(t, observe(c, Response{Late: true}, 1), "it makes its locality late")
	before := c.LateShare(1)
	c.ReviewLateness(latenessHolds * objective)
	require.Equal(t, before, c.LateShare(1))
	c.ReviewLateness(latenessHolds*objective + 1)
	require.InDelta(t, before*(1-1.0/decayTicks), c.LateShare(1), 1e-12)
}

func TestTickRejectsLowestPrecedenceFirst(t *testing.T) {
	for name, c := range map[string]struct {
		shed    float64
		weights []float64
		want    []float64 // share rejected in each class's band within the quota; bands over it have no work
	}{
		"nothing":           {shed: 0, weights: []float64{1, 2}, want: []float64{0, 0}},
		"part of the first": {shed: 0.25, weights: []float64{1, 2}, want: []float64{0.5, 0}},
		"some of both":      {shed: 0.75, weights: []float64{1, 2}, want: []float64{1, 0.5}},
		"equal weights":     {shed: 0.5, weights: []float64{2, 2}, want: []float64{0.5, 0.5}},
		"everything":        {shed: 1, weights: []float64{2, 1}, want: []float64{1, 1}},
	} {
		controller := newController(nil, c.weights...)
		for class := range c.weights {
			controller.RequestArrived(BandOf(class, WithinQuota), 100)
		}
		controller.shedShare = c.shed * decayTicks / (decayTicks - 1) // offsets the decay of the tick
		controller.Tick()
		for class, want := range c.want {
			band := BandOf(class, WithinQuota)
			require.InDelta(t, want, controller.bands[band].rejectShare, 1e-9, name)
			require.Equal(t, want > 0.9, controller.ShedsArrival(band, 0.9), name)
			require.Equal(t, want > 0.1, controller.ShedsArrival(band, 0.1), name)
		}
	}
}

// Of two classes of equal weight, the one whose clients wait longer must not take the other's part of the
// capacity: the starved class goes first, and the same share of both is rejected.
func TestStarvedBandGoesFirst(t *testing.T) {
	x, y := BandOf(0, WithinQuota), BandOf(1, WithinQuota)
	first, second := Place{Band: y, Arrival: 1}, Place{Band: x, Arrival: 2}
	for _, prevent := range []bool{true, false} {
		c := newController(func(o *Options) { o.PreventStarvation = prevent }, 1, 1)
		c.RequestArrived(x, 100)
		c.RequestForwarded(x, 20)
		c.RequestArrived(y, 100)
		c.RequestForwarded(y, 80)
		c.shedShare = 0.5
		require.True(t, c.Precedes(first, second), "by arrival, until a tick has found the band starved")
		require.False(t, c.Precedes(second, first))
		c.Tick()
		require.Equal(t, c.bands[x].rejectShare, c.bands[y].rejectShare)
		require.InDelta(t, 0.5, c.bands[x].rejectShare, 0.1)
		require.Equal(t, prevent, c.Precedes(second, first))
		require.Equal(t, !prevent, c.Precedes(first, second))
	}
}

// If the weight is per request, light requests precede a heavy one of somewhat more weight, and a smaller
// share of them is rejected. If it is per work, the heavy one has precedence.
func TestWeightPerRequestAndPerWork(t *testing.T) {
	lightBand, heavyBand := BandOf(0, WithinQuota), BandOf(1, WithinQuota)
	light, heavy := Place{Band: lightBand, Arrival: 2}, Place{Band: heavyBand, Arrival: 1}
	for _, perRequest := range []bool{false, true} {
		c := newController(func(o *Options) { o.WeightPerRequest = perRequest }, 2, 3)
		c.SetExpectedWork(0, 20)
		c.SetExpectedWork(1, 80)
		c.RequestArrived(lightBand, 100)
		c.RequestArrived(heavyBand, 100)
		c.shedShare = 0.5
		c.Tick()
		require.Equal(t, perRequest, c.Precedes(light, heavy))
		require.Equal(t, perRequest, c.bands[heavyBand].rejectShare > c.bands[lightBand].rejectShare)
		require.False(t, c.Precedes(Place{Band: BandOf(0, OverQuota)}, light), "over the quota: half the weight")
	}
}

func TestQueueTooLong(t *testing.T) {
	for name, c := range map[string]struct {
		length   int
		sendRate float64 // ms of work per second; each request has 10 ms
		want     bool
	}{
		"short":         {length: queueMinLength - 1, sendRate: 1, want: false},
		"100 ms":        {length: 20, sendRate: 2000, want: false}, // a quarter of the objective
		"over 100 ms":   {length: 21, sendRate: 2000, want: true},
		"no rate known": {length: 1000, sendRate: 0, want: false},
	} {
		var ahead Queue
		for range c.length {
			ahead.Add(10)
		}
		require.Equal(t, c.want, newController(nil, 1).QueueTooLong(ahead, c.sendRate), name)
	}
}

func TestRetryAfterIsAdvisedWhileShedding(t *testing.T) {
	c := newController(func(o *Options) { o.AdviseRetryAfter, o.MaxRetryAfter = true, time.Second }, 1)
	require.Zero(t, c.RetryAfter())
	observe(c, Response{Late: true, OnlyLocality: true}, 1)
	require.Equal(t, objective, c.RetryAfter())
	c.options.MaxRetryAfter = time.Millisecond
	require.Equal(t, time.Millisecond, c.RetryAfter())
	c.options.AdviseRetryAfter = false
	require.Zero(t, c.RetryAfter())
}
