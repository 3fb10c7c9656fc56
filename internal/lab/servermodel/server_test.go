package servermodel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// testServer runs a Server in simulated time.
type testServer struct {
	t        *testing.T
	s        *Server
	endedAt  map[uint64]time.Duration
	outcomes map[uint64]Outcome
	n        uint64 // ID of the last job
}

func newTestServer(t *testing.T, kind Kind) *testServer {
	t.Helper()
	kind.Name, kind.Cores, kind.Slots = "k", max(kind.Cores, 1), max(kind.Slots, 1)
	if kind.Speed == 0 {
		kind.Speed = 1
	}
	s, err := New(kind, 1, 0)
	require.NoError(t, err)
	return &testServer{t: t, s: s, endedAt: map[uint64]time.Duration{}, outcomes: map[uint64]Outcome{}}
}

func (b *testServer) until(at time.Duration) {
	for i := 0; b.s.Next() <= at; i++ {
		require.Less(b.t, i, 100000, "the server is never idle")
		now := b.s.Next()
		for _, d := range b.s.Advance(now) {
			b.endedAt[d.ID], b.outcomes[d.ID] = now, d.Outcome
		}
	}
	for _, d := range b.s.Advance(at) {
		b.endedAt[d.ID], b.outcomes[d.ID] = at, d.Outcome
	}
}

func (b *testServer) job(at time.Duration, j Job) Admission {
	b.until(at)
	if j.ErrorDraw == 0 {
		j.ErrorDraw = 1
	}
	b.n++
	j.ID = b.n
	admission, lost := b.s.Arrive(at, j)
	for _, d := range lost {
		b.endedAt[d.ID], b.outcomes[d.ID] = at, d.Outcome
	}
	return admission
}

func TestWorkDurationFollowsSpeedAndSlots(t *testing.T) {
	b := newTestServer(t, Kind{Speed: 2, Queue: 2})
	require.Equal(t, Accepted, b.job(0, Job{Work: 100}))
	require.Equal(t, Accepted, b.job(0, Job{Work: 100}))
	require.Equal(t, Accepted, b.job(0, Job{Work: 100}))
	require.Equal(t, Rejected, b.job(0, Job{Work: 100}), "the queue is full")
	b.until(time.Second)
	require.Equal(t, map[uint64]time.Duration{1: 50 * ms, 2: 100 * ms, 3: 150 * ms}, b.endedAt)
	require.InDelta(t, 300, b.s.WorkDone(), 1e-6)

	b = newTestServer(t, Kind{Cores: 1, Slots: 2}) // two jobs share one core
	b.job(0, Job{Work: 100})
	b.job(0, Job{Work: 100})
	b.until(time.Second)
	require.Equal(t, 200*ms, b.endedAt[2])
}

func TestSlowStartEndsByTimeOrByWork(t *testing.T) {
	for _, c := range []struct {
		by       WarmUp
		busy     time.Duration
		at, want float64
	}{
		{WarmByTime, 0, 5, 0.2 + 0.8*0.5},
		{WarmByTime, 0, 10, 1},
		{WarmByWork, 0, 5, 0.2 + 0.8*0.5},
		{WarmByWork, 10, 5, 0.9},
	} {
		b := newTestServer(
			t,
			Kind{SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, WarmUpBy: c.by, Queue: 100},
		)
		b.s.Start(0)
		if c.busy > 0 {
			for range 100 {
				b.job(0, Job{Work: 1000})
			}
		}
		at := time.Duration(c.at * 1e9)
		b.until(at)
		if c.busy > 0 {
			require.Greater(t, b.s.CapacityShare(at), c.want*0.65, "work warms it sooner than time")
			continue
		}
		require.InDelta(t, c.want, b.s.CapacityShare(at), 1e-9)
	}
}

func TestLongQueueOverloadsServerUntilMostlyIdle(t *testing.T) {
	overload := Overload{
		QueuePerCore: 4,
		After:        2 * time.Second,
		Slowdown:     3,
		IdleBelow:    0.3,
		IdleFor:      3 * time.Second,
		MaxDuration:  30 * time.Second,
	}
	b := newTestServer(t, Kind{Queue: 100, Overload: overload})
	for range 12 {
		b.job(0, Job{Work: 400})
	}
	b.until(1900 * ms)
	require.False(t, b.s.Overloaded())
	b.until(2100 * ms)
	require.True(t, b.s.Overloaded(), "5 wait for 2 s")
	left := b.s.Inflight()
	b.until(8 * time.Second)
	require.Equal(t, left-5, b.s.Inflight(), "three times slower: 1.2 s each")
	b.until(40 * time.Second)
	require.Zero(t, b.s.Inflight())
	require.False(t, b.s.Overloaded())

	b = newTestServer(t, Kind{Queue: 1000, Overload: overload}) // never idle: overload ends after MaxDuration
	for range 200 {
		b.job(0, Job{Work: 400})
	}
	b.until(31 * time.Second)
	require.True(t, b.s.Overloaded())
	b.until(33 * time.Second)
	require.False(t, b.s.Overloaded())
}

func TestShortBurstDoesNotOverload(t *testing.T) {
	b := newTestServer(
		t,
		Kind{
			Queue: 100,
			Overload: Overload{
				QueuePerCore: 4,
				After:        2 * time.Second,
				Slowdown:     3,
				IdleBelow:    0.3,
				IdleFor:      time.Second,
			},
		},
	)
	for i := range 20 { // six jobs are queued, above the limit of 4, but not for 2 s
		if i%2 == 0 {
			for range 7 {
				b.job(time.Duration(i)*2*time.Second, Job{Work: 200})
			}
		}
	}
	b.until(45 * time.Second)
	require.False(t, b.s.Overloaded())
}

func TestPausesStopWorkAndDoNotDependOnLoad(t *testing.T) {
	kind := Kind{PauseEvery: time.Second, PauseFor: 100 * ms, Queue: 1000}
	idle, busy := newTestServer(t, kind), newTestServer(t, kind)
	for range 200 {
		busy.job(0, Job{Work: 100})
	}
	var starts [2][]time.Duration
	for at := time.Duration(0); at < 10*time.Second; at += 5 * ms {
		for i, b := range []*testServer{idle, busy} {
			b.until(at)
			if n := len(starts[i]); at < b.s.pauseEnd && (n == 0 || starts[i][n-1] != b.s.pauseEnd) {
				starts[i] = append(starts[i], b.s.pauseEnd)
			}
		}
	}
	require.Greater(t, len(starts[0]), 5)
	require.Equal(t, starts[0], starts[1])
	busy.until(11 * time.Second)
	require.InDelta(t, 10000, busy.s.WorkDone(), 1000, "a tenth of the time is lost")
	require.Less(t, busy.s.WorkDone(), 10700.0)
}

func TestRecentKeyCostsLess(t *testing.T) {
	b := newTestServer(t, Kind{Queue: 10, Keys: Keys{WorkSaved: 0.5, WarmFor: 2 * time.Second, MaxKeys: 2}})
	took := func(at time.Duration, key uint64) time.Duration {
		b.job(at, Job{Work: 100, Key: key})
		b.until(at + 500*ms)
		return b.endedAt[b.n] - at
	}
	require.Equal(t, 100*ms, took(0, 1))
	require.Equal(t, 50*ms, took(time.Second, 1))
	require.Equal(t, 100*ms, took(4*time.Second, 1), "met too long ago")
	took(5*time.Second, 2)
	took(5500*ms, 3)
	require.Equal(t, 100*ms, took(6*time.Second, 1), "two keys are remembered")
	require.Equal(t, 100*ms, took(7*time.Second, 0), "no key")
}

func TestManyRequestsAndConnectionsReduceSpeed(t *testing.T) {
	b := newTestServer(t, Kind{Queue: 100, Thrash: 0.5, ThrashAt: 5})
	for range 10 { // twice ThrashAt: half the speed
		b.job(0, Job{Work: 100})
	}
	b.until(190 * ms)
	require.Empty(t, b.endedAt)
	b.until(201 * ms)
	require.Len(t, b.endedAt, 1)

	b = newTestServer(t, Kind{Conn: ConnectionCost{Handshake: 30, MaxConnections: 10, Tax: 0.2}})
	b.s.SetConnections(0, 5)
	b.s.Charge(0, 30)
	b.job(0, Job{Work: 60})
	b.until(time.Second)
	require.Equal(t, 100*ms, b.endedAt[1], "90 ms of work at nine tenths of the speed")
}

func TestLoadReportsAreDelayed(t *testing.T) {
	b := newTestServer(t, Kind{Queue: 100, Report: ReportTiming{Interval: time.Second, Delay: 200 * ms}})
	_, ok := b.s.Report(0, 0)
	require.False(t, ok)
	for i := range 40 { // 10 jobs per second for 4 s, then none
		b.job(time.Duration(i)*100*ms, Job{Work: 50})
	}
	b.until(6 * time.Second)
	now, _ := b.s.Report(6*time.Second, 0)
	old, ok := b.s.Report(6*time.Second, 3*time.Second)
	require.True(t, ok)
	require.Zero(t, now.PerSec)
	require.InDelta(t, 10, old.PerSec, 1.01)
}

func TestServerCollapsesInSlowStartAndStaysDown(t *testing.T) {
	kind := Kind{
		Queue:             1000,
		SlowStartCapacity: 0.2,
		SlowStartDuration: 20 * time.Second,
		Collapse:          Collapse{Multiple: 2.5, For: 2 * time.Second},
	}
	b := newTestServer(t, kind)
	b.s.Start(0)
	// The budget at a fifth of one core is 1,000 ms of work in 2 s, or 1,100 ms with CollapseSlack.
	for i := range 10 {
		b.job(time.Duration(i)*100*ms, Job{Work: 100})
	}
	require.Equal(t, Up, b.s.State())
	for i := range 6 {
		b.job(time.Second+time.Duration(i)*50*ms, Job{Work: 100})
	}
	require.Equal(t, Collapsed, b.s.State())
	require.Equal(t, Refused, b.job(2*time.Second, Job{Work: 1}))
	require.Equal(t, Reset, b.outcomes[10])

	b = newTestServer(t, kind)
	b.s.Start(0)
	require.Equal(t, Accepted, b.job(0, Job{Work: 5000}), "one request alone collapses no server")
	b = newTestServer(t, kind) // a warm server never collapses
	for range 100 {
		require.Equal(t, Accepted, b.job(0, Job{Work: 1000}))
	}
}

func TestCancelRemovesQueuedAndAllowedRunningJobs(t *testing.T) {
	for _, stops := range []bool{false, true} {
		b := newTestServer(t, Kind{Queue: 10, StopRunning: stops})
		b.job(0, Job{Work: 100})
		b.job(0, Job{Work: 100})
		b.until(50 * ms)
		gone, begun, _ := b.s.Cancel(50*ms, 2)
		require.True(t, gone && !begun)
		gone, begun, spent := b.s.Cancel(50*ms, 1)
		require.True(t, begun)
		require.Equal(t, stops, gone)
		if stops {
			require.InDelta(t, 50, spent, 1e-6)
		}
		b.until(time.Second)
		require.Equal(t, !stops, b.endedAt[1] == 100*ms)
		require.Zero(t, b.s.Inflight())
	}
}

func TestStatesOfServer(t *testing.T) {
	b := newTestServer(t, Kind{Queue: 10, DropExpired: true, ErrorRate: 0.5})
	b.job(0, Job{Work: 100, ErrorDraw: 0.2})
	b.job(0, Job{Work: 100, Expires: 80 * ms})
	b.until(time.Second)
	require.Equal(t, map[uint64]Outcome{1: CompletedWithError, 2: Expired}, b.outcomes)

	b.job(time.Second, Job{Work: 1000})
	b.s.Drain(1100 * ms)
	require.Equal(t, Rejected, b.job(1200*ms, Job{Work: 1}))
	b.until(2500 * ms)
	require.Equal(t, Completed, b.outcomes[3], "what it held is finished")
	require.Empty(t, b.s.Crash(3*time.Second))
	require.Equal(t, Refused, b.job(3*time.Second, Job{Work: 1}))

	b.s.Start(4 * time.Second)
	require.Equal(t, 4*time.Second, b.s.Started())
	b.job(4*time.Second, Job{Work: 1000})
	require.Len(t, b.s.Crash(4500*ms), 1)
	b.s.Start(5 * time.Second)
	b.job(5*time.Second, Job{Work: 1000})
	require.Len(t, b.s.Vanish(5500*ms), 1)
	require.Equal(t, NoResponse, b.job(6*time.Second, Job{Work: 1}))
	require.Equal(t, Never, b.s.Next())
}

func TestSlowFaultDelaysWork(t *testing.T) {
	b := newTestServer(t, Kind{})
	b.s.SetSlow(0, 4)
	b.job(0, Job{Work: 100})
	b.until(200 * ms)
	b.s.SetSlow(200*ms, 1)
	b.until(time.Second)
	require.Equal(t, 250*ms, b.endedAt[1])
}

func TestPausesDuringSlowStart(t *testing.T) {
	b := newTestServer(
		t,
		Kind{Queue: 100, SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, WarmUpBy: WarmByWork},
	)
	b.s.Start(0)
	b.s.SetPauses(0, 500*ms, 300*ms)
	for i := range 50 {
		b.job(time.Duration(i)*100*ms, Job{Work: 10})
	}
	b.until(20 * time.Second)
	require.Zero(t, b.s.Inflight())
	require.Equal(t, 1.0, b.s.CapacityShare(20*time.Second))
}

func TestValidateRejectsImpossibleKinds(t *testing.T) {
	good := Kind{Name: "k", Cores: 1, Slots: 1, Speed: 1}
	require.NoError(t, good.Validate())
	for name, corrupt := range map[string]func(*Kind){
		"cores":               func(k *Kind) { k.Cores = 0 },
		"speed":               func(k *Kind) { k.Speed = 0 },
		"slots":               func(k *Kind) { k.Slots = 0 },
		"slow start capacity": func(k *Kind) { k.SlowStartDuration = time.Second },
		"overload slowdown":   func(k *Kind) { k.Overload.QueuePerCore = 1 },
		"pauses":              func(k *Kind) { k.PauseFor, k.PauseEvery = time.Second, ms },
		"thrash":              func(k *Kind) { k.Thrash = 2 },
		"queue":               func(k *Kind) { k.Queue = -1 },
	} {
		k := good
		corrupt(&k)
		require.ErrorContains(t, k.Validate(), name)
		var kindErr *KindError
		require.ErrorAs(t, k.Validate(), &kindErr)
	}
}
