package slowstart

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const startedAt = 10 * time.Second

// testLoad is the load where a warm server completes 20 requests of 25 ms per second, from five balancers.
var testLoad = Load{MeanWork: 25, PeakCompletionRate: 20, Senders: 5, Size: 1}

func testOptions() Options { return Options{InitialCapacity: 0.2, Duration: 20 * time.Second} }

func drawnOptions() Options {
	options := testOptions()
	options.DrawWindow, options.Seed = 250*time.Millisecond, 7
	return options
}

func started(c *Controller) Progress {
	var p Progress
	c.Start(startedAt, startedAt, &p, testLoad, rand.New(rand.NewPCG(1, 2)))
	return p
}

func TestCapacityGrowsLinearlyWithAge(t *testing.T) {
	c := NewController(testOptions())
	p := started(&c)
	for age, want := range map[time.Duration]float64{
		-time.Second: 0.2, 0: 0.2, 5 * time.Second: 0.4, 10 * time.Second: 0.6,
		20 * time.Second: 1, time.Minute: 1,
	} {
		require.InDelta(t, want, c.CapacityShare(startedAt+age, &p), 1e-12, age)
	}
	require.Equal(t, 1.0, c.CapacityShare(startedAt, &Progress{}), "warm")
	none := NewController(Options{})
	require.Equal(t, 1.0, none.CapacityShare(startedAt, &p), "no slow start")
}

func TestSlowStartEnds(t *testing.T) {
	c := NewController(testOptions())
	rng := rand.New(rand.NewPCG(1, 2))
	known, assumed := started(&c), Progress{}
	c.Assume(startedAt, &assumed, testLoad, rng)
	for age, want := range map[time.Duration][2]bool{ // whether the known and the assumed slow start have ended
		5*time.Second - 1:  {false, false},
		5 * time.Second:    {false, true},
		20*time.Second - 1: {false, true},
		20 * time.Second:   {true, true},
	} {
		x, y := known, assumed
		c.EndIfDue(startedAt+age, &x)
		c.EndIfDue(startedAt+age, &y)
		require.Equal(t, want, [2]bool{x.Warm(), y.Warm()}, age)
	}
	c.Start(startedAt+time.Second, startedAt, &assumed, testLoad, rng) // the list names the restart
	c.EndIfDue(startedAt+6*time.Second, &assumed)
	require.False(t, assumed.Warm())

	require.True(t, c.Covers(startedAt, startedAt))
	require.False(t, c.Covers(startedAt+20*time.Second, startedAt))
	var beforeOrigin Progress
	c.Start(time.Second, -time.Second, &beforeOrigin, testLoad, rng)
	require.True(t, beforeOrigin.Warm())
}

func TestRequestsAreLightSingleAndApart(t *testing.T) {
	c := NewController(testOptions())
	p := started(&c)
	now := startedAt + c.Pause(startedAt, &p, testLoad) // the first request waits for a random part of the pause
	light := Request{Work: 25, MeanWork: 25}
	for name, request := range map[string]Request{
		"heavy":       {Work: 26, MeanWork: 25},
		"second":      {Work: 25, MeanWork: 25, ServerInflight: 1},
		"other zones": {Work: 25, MeanWork: 25, WarmedByLocalBalancers: true},
	} {
		require.False(t, c.Admits(now, &p, request), name)
	}
	require.True(t, c.Admits(now, &p, light))
	c.RecordSend(now, &p, testLoad)
	pause := c.Pause(now, &p, testLoad)
	require.False(t, c.Admits(now+pause-1, &p, light))
	require.True(t, c.Admits(now+pause, &p, light))
}

// All cases are at the start of slow start, when the capacity share is a fifth. A balancer's share of what a warm
// server completes is 100 ms per second: 20 requests of 25 ms per second, divided among five balancers.
func TestAllowedRate(t *testing.T) {
	idle := Report{Known: true, Others: 1, CompletionRate: 40}
	onlySent := Load{MeanWork: 25, SendRate: 150, Senders: 5, Size: 1}
	busy := Report{Known: true, Others: 2, CompletionRate: 40}
	for name, c := range map[string]struct {
		options Options
		change  func(*Load)
		want    float64
	}{
		"three times the share":         {testOptions(), func(*Load) {}, 0.2 * 3 * 100},
		"what is sent, if that is more": {testOptions(), func(l *Load) { l.SendRate = 150 }, 0.2 * 3 * 150},
		"its size":                      {testOptions(), func(l *Load) { l.Size = 2 }, 2 * 0.2 * 3 * 100},
		"spilled by four balancers":     {testOptions(), func(l *Load) { l.Spillers = 4 }, 0.2 * 3 * 100 / 4},
		"twice what it completes idle":  {testOptions(), func(l *Load) { l.Report = idle }, 2 * 40 * 25 / 5},
		"no more with a queue":          {testOptions(), func(l *Load) { l.Report = busy }, 0.2 * 3 * 100},
		"drawn: the share":              {drawnOptions(), func(l *Load) { l.SendRate = 150 }, 0.2 * 100},
		"drawn: sent, nothing reported": {drawnOptions(), func(l *Load) { *l = onlySent }, 0.2 * 150},
		"drawn: what it completes idle": {drawnOptions(), func(l *Load) { l.Report = idle }, 40 * 25 / 5},
		"nothing is known":              {testOptions(), func(l *Load) { l.PeakCompletionRate = 0 }, 0},
	} {
		controller := NewController(c.options)
		p := started(&controller)
		load := testLoad
		c.change(&load)
		require.InDelta(t, c.want, controller.AllowedRate(startedAt, &p, load), 1e-9, name)
		ignored := load
		ignored.SendRate = 1e6
		usesSendRate := controller.AllowedRate(startedAt, &p, ignored) > 1e4
		require.Equal(t, usesSendRate, controller.NeedsSendRate(load), name)
	}
}

func TestPauseWhereRateIsUnknown(t *testing.T) {
	load := Load{MeanWork: 25, Senders: 5, Size: 1}
	c := NewController(testOptions())
	p := started(&c)
	require.Zero(t, c.Pause(startedAt, &p, load))
	load.SendRate = 1e-6
	require.Equal(t, 20*time.Second, c.Pause(startedAt, &p, load), "the duration at most")
	c = NewController(drawnOptions())
	require.Equal(t, 250*time.Millisecond, c.Pause(startedAt, &p, load), "a window")
}

// Over many windows a balancer wins as often as its share allows. Within a window the result does not
// change.
func TestDrawsFollowShare(t *testing.T) {
	options := drawnOptions()
	options.Duration = 1000 * time.Hour // keeps the capacity share at a fifth
	c := NewController(options)
	p := started(&c)
	load := testLoad
	load.Senders = 2 // a fifth of 250 ms of work per second is 25 ms in 500 ms, or two windows
	wins := 0
	const windows = 20000
	for i := range windows {
		now := time.Duration(i) * options.DrawWindow
		won := c.WinsDraw(now, &p, Identity{Hash: 99}, load)
		require.Equal(t, won, c.WinsDraw(now+options.DrawWindow-1, &p, Identity{Hash: 99}, load))
		if won {
			wins++
		}
	}
	require.InEpsilon(t, windows/2, wins, 0.02)
}
