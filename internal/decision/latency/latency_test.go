package latency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

type fixture struct {
	overall Overall
	group   Group
	server  Server
	path    Path
}

func (f *fixture) record(latency time.Duration, work float64) float64 {
	return Estimates{&f.overall, &f.group, &f.server, &f.path}.Record(Response{
		Latency: latency, Objective: 500 * ms, Work: work, MeanWork: 20,
	})
}

func TestQueueingIsLatencyBeyondWork(t *testing.T) {
	for _, c := range []struct {
		latency  time.Duration
		work     float64
		queueing float64
		mean     float64 // latency of a request of mean work, ms
	}{
		{50 * ms, 20, 30, 50},
		{50 * ms, 10, 40, 60},    // a light request
		{80 * ms, 100, 0, 10},    // too high a hint: the mean is bounded below by half of the mean work
		{900 * ms, 20, 500, 900}, // queueing is bounded by the objective
	} {
		var f fixture
		require.InDelta(t, c.queueing, f.record(c.latency, c.work), 1e-9, "%+v", c)
		require.InDelta(t, c.mean, f.group.Mean(), 1e-9, "%+v", c)
		require.InDelta(t, c.queueing, f.group.QueueingMean(), 1e-9, "%+v", c)
		require.InDelta(t, float64(c.latency/ms)/c.work, f.overall.PerWork(), 1e-9, "%+v", c)
	}
}

func TestEstimatesFollowResponses(t *testing.T) {
	var f fixture
	f.record(40*ms, 20)
	f.record(200*ms, 20)
	require.InDelta(t, 40+160.0/16, f.group.Mean(), 1e-9)
	require.InDelta(t, 20+160.0/16, f.group.QueueingMean(), 1e-9)
	require.InDelta(t, 40+160.0/6, f.server.mean, 1e-9)
	require.InDelta(t, 2+8.0/6, f.server.perWork, 1e-9)
	require.InDelta(t, 2+8.0/16, f.overall.PerWork(), 1e-9)
	require.Equal(t, 20*ms, f.path.Transit(), "the fastest counts")
	f.server.ForgetMean()
	f.record(50*ms, 20)
	require.InDelta(t, 50, f.server.mean, 1e-9, "it starts from the group's mean, which was 50")
}

// As in RFC 6298, the time-out includes the mean queueing and four mean deviations. The first deviation is
// half of the queueing, 10 ms. The first response then reduces the deviation to 15/16 of that, as its queueing
// equals the mean.
func TestSilenceTimeout(t *testing.T) {
	var f fixture
	require.Equal(t, 540*ms, f.group.SilenceTimeout(20, 500*ms), "nothing is known but the objective")
	f.record(40*ms, 20)
	require.InDelta(t, 40+20+4*10*15.0/16, f.group.SilenceTimeout(20, 500*ms).Seconds()*1000, 1e-6)
	for range 300 {
		f.record(40*ms, 20)
	}
	require.InDelta(t, 40+20, f.group.SilenceTimeout(20, 500*ms).Seconds()*1000, 1e-3, "no deviation")
}

func TestExpectedLatency(t *testing.T) {
	var f, other fixture
	require.Zero(t, f.server.Expected(60, &f.overall), "nothing is known")
	f.record(60*ms, 20)
	require.InDelta(t, 180, f.server.Expected(60, &f.overall), 1e-9)
	require.InDelta(t, 180, other.server.Expected(60, &f.overall), 1e-9, "the mean over all servers")
	require.Equal(t, 60*ms, f.overall.Needed(20))
	require.Equal(t, 250.0, ByLittlesLaw(5, 20))
}

func TestWeightFollowsLatencyWithinBounds(t *testing.T) {
	group := Group{mean: 100}
	for _, c := range []struct {
		mean, factor float64
		slow         bool
	}{
		{0, 1, false}, {100, 1, false}, {80, 1.25, false}, {10, 2, false},
		{200, 0.5, false}, {201, 100.0 / 201, true}, {5000, 1.0 / 8, true},
	} {
		server := Server{mean: c.mean}
		require.Equal(t, c.factor, server.WeightFactor(&group), "%+v", c)
		require.Equal(t, c.slow, server.Slow(&group), "%+v", c)
	}
	require.Equal(t, 1.0, (&Server{mean: 5}).WeightFactor(&Group{}))
}

func TestEffectiveLoadLeavesOutTransit(t *testing.T) {
	for name, c := range map[string]struct {
		server Server
		path   Path
		want   float64
	}{
		"path not known":   {Server{mean: 60}, Path{fastest: 50, responses: 63}, 4},
		"short path":       {Server{mean: 60}, Path{fastest: 10, responses: 64}, 4},
		"server not known": {Server{}, Path{fastest: 50, responses: 64}, 4},
		"half in transit":  {Server{mean: 90}, Path{fastest: 50, responses: 64}, 4*0.5 + 0.25},
		"at most":          {Server{mean: 46}, Path{fastest: 50, responses: 64}, 4*0.25 + 0.25},
		"queued":           {Server{mean: 450}, Path{fastest: 50, responses: 64}, 4*0.9 + 0.25},
	} {
		require.InDelta(t, c.want, c.server.EffectiveLoad(4, 20, &c.path), 1e-9, name)
	}
}
