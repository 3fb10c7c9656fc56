package simulation

import (
	"math"
	"slices"
	"time"

	"piernotch"
)

// goldenTier wraps an InProcess and records events and actions. It also makes calls that a World never makes, at
// events that depend only on the run, and records them with their results.
type goldenTier struct {
	inner     *InProcess
	record    *goldenRecord
	operated  bool // makes the calls of operators, too
	tenants   int  // number of tenants, among which requests are spread
	actions   []Action
	balancers []*goldenBalancer
}

type goldenBalancer struct {
	events   int // since the start of the run
	settings piernotch.Settings
	snapshot piernotch.Snapshot   // taken at the last stop
	listed   []piernotch.ServerID // in the order in which lists first named them
	excluded []piernotch.ServerID
	attempts map[piernotch.RequestID]int // number of attempts so far
	lastID   piernotch.RequestID         // request of the latest attempt
}

// Periods of the added calls, in events of one balancer. They have no common divisor, so that all combinations
// occur.
const (
	goldenAllowedPeriod   = 3
	goldenResponsePeriod  = 23 // of responses that start just before their attempt ends
	goldenStreamPeriod    = 89
	goldenSnapshotPeriod  = 61
	goldenLoadPeriod      = 193
	goldenExcludePeriod   = 157
	goldenIncludePeriod   = 173
	goldenSettingsPeriod  = 149
	goldenRejectionPeriod = 307 // of settings that must be refused
)

func (t *goldenTier) Close() error { return t.inner.Close() }

func (t *goldenTier) Turn(now time.Duration, events []Event) ([]Action, error) {
	t.record.now, t.actions = now, t.actions[:0]
	for i := range events {
		e := &events[i]
		known := t.known(e.Balancer)
		known.events++
		t.before(known, e)
		t.takeActions(known)
		t.record.event(e)
		if _, err := t.inner.Turn(now, events[i:i+1]); err != nil {
			return nil, err
		}
		t.takeActions(known)
		if balancer := t.inner.balancers[e.Balancer]; balancer != nil {
			t.after(now, known, balancer, e)
		}
	}
	return t.actions, nil
}

// known returns the state of a balancer, which is created on the first call.
func (t *goldenTier) known(i int) *goldenBalancer {
	for len(t.balancers) <= i {
		t.balancers = append(t.balancers, &goldenBalancer{attempts: map[piernotch.RequestID]int{}})
	}
	return t.balancers[i]
}

// takeActions records the actions since its last call and adds them to the result of Turn.
func (t *goldenTier) takeActions(known *goldenBalancer) {
	for i := range t.inner.actions {
		a := &t.inner.actions[i]
		t.record.action(a)
		if a.Kind == ActionStartAttempt {
			if known.attempts[a.ID] > 0 {
				t.record.secondTry++
			}
			known.attempts[a.ID]++
			known.lastID = a.ID
		}
	}
	t.actions = append(t.actions, t.inner.actions...)
	t.inner.actions = t.inner.actions[:0]
}

// before prepares an event: a request gets a tenant, a balancer that stops is asked for its snapshot, listed
// servers are noted, and at times a response starts just before its attempt ends.
func (t *goldenTier) before(known *goldenBalancer, e *Event) {
	switch e.Kind {
	case EventStart:
		known.settings = *e.Settings
	case EventStop:
		if balancer := t.inner.balancers[e.Balancer]; balancer != nil {
			known.snapshot = balancer.Snapshot()
			t.record.snapshot(codeSnapshot, e.Balancer, known.snapshot)
		}
	case EventRequest:
		e.Request.Tenant = -1
		if t.tenants > 0 {
			e.Request.Tenant = int(mix(uint64(e.Request.ID))%uint64(t.tenants+1)) - 1
		}
	case EventAttemptCompleted:
		if balancer := t.inner.balancers[e.Balancer]; balancer != nil && known.events%goldenResponsePeriod == 0 {
			t.responseStarted(balancer, e.Balancer, e.Outcome.ID, e.Outcome.Attempt)
		}
	case EventEndpointList:
		for i := range e.Entries {
			if id := e.Entries[i].ID; !slices.Contains(known.listed, id) {
				known.listed = append(known.listed, id)
			}
		}
	}
}

func (t *goldenTier) after(now time.Duration, known *goldenBalancer, b *piernotch.Balancer, e *Event) {
	due := func(period int) bool { return known.events%period == 0 }
	if e.Kind == EventStart {
		t.restore(known, b, e.Balancer)
	}
	if due(goldenAllowedPeriod) {
		t.attemptAllowed(now, known, b, e.Balancer)
	}
	if due(goldenStreamPeriod) {
		t.responseStarted(b, e.Balancer, known.lastID, known.attempts[known.lastID]-1)
	}
	if due(goldenSnapshotPeriod) {
		t.record.snapshot(codeSnapshot, e.Balancer, b.Snapshot())
	}
	if t.operated {
		t.operate(now, known, b, e.Balancer)
	}
	t.takeActions(known)
}

// operate makes the operators' calls that are due, among them some that the balancer must refuse or ignore.
func (t *goldenTier) operate(now time.Duration, known *goldenBalancer, b *piernotch.Balancer, i int) {
	n := known.events
	if n%goldenExcludePeriod == 0 && len(known.listed) > 0 {
		id := known.listed[n/goldenExcludePeriod*7%len(known.listed)]
		known.excluded = append(known.excluded, id)
		t.record.begin(codeExclude, i)
		t.record.integers(int64(id))
		b.Exclude(now, id)
	}
	if n%goldenIncludePeriod == 0 && len(known.excluded) > 0 {
		id, since := known.excluded[0], now-time.Duration(n%3)*time.Second
		known.excluded = known.excluded[1:]
		t.record.begin(codeInclude, i)
		t.record.integers(int64(id), int64(since))
		b.Include(now, id, since)
	}
	if n%goldenLoadPeriod == 0 && len(known.listed) > 0 {
		t.oddLoads(now, known, b, i)
	}
	if n%goldenSettingsPeriod == 0 {
		t.updateSettings(now, known, b, i, changedSettings(known.settings, n/goldenSettingsPeriod))
	}
	if n%goldenRejectionPeriod == 0 {
		refused := known.settings
		refused.Tenants = append(slices.Clone(refused.Tenants), piernotch.Tenant{})
		t.updateSettings(now, known, b, i, refused)
		other := piernotch.Snapshot{MedianHint: 7, MeanWork: 9, LargeWorkShare: 0.6, PeakCompletionRate: 40}
		b.Restore(other) // ignored once a cost hint has been seen
		t.record.snapshot(codeRestore, i, other)
		t.record.snapshot(codeSnapshot, i, b.Snapshot())
	}
}

// oddLoads passes two load reports that the balancer must ignore, and a valid report.
func (t *goldenTier) oddLoads(now time.Duration, known *goldenBalancer, b *piernotch.Balancer, i int) {
	id := known.listed[known.events%len(known.listed)]
	for _, load := range []piernotch.LoadReport{
		{Inflight: math.NaN(), CompletedPerSecond: 1}, {Inflight: 1, CompletedPerSecond: -1},
		{Inflight: float64(known.events % 9), CompletedPerSecond: float64(known.events % 23)},
	} {
		t.record.begin(codeLoad, i)
		t.record.integers(int64(id))
		t.record.floats(load.Inflight, load.CompletedPerSecond)
		b.LoadReported(now, id, load)
	}
}

// changedSettings returns settings with the n-th change: of limits, rules, quotas, weights, key affinity and a
// latency objective. The second change also adds a class.
func changedSettings(s piernotch.Settings, n int) piernotch.Settings {
	s.Classes, s.Tenants = slices.Clone(s.Classes), slices.Clone(s.Tenants)
	s.WeightPerRequest = n%2 == 1
	s.KeyAffinity = n%3 != 1
	s.Limits.MaxAttempts = 2 + n%3
	s.Limits.RetryAfter = n%2 == 0
	s.Limits.MaxRetryAfter = time.Duration(n%4+1) * 300 * time.Millisecond
	s.Limits.HedgedRequests = n%4 != 3
	s.Rules.SlowStartCapacity = 0.1 + 0.05*float64(n%3)
	s.OverQuotaWeight = 0.1 * float64(n%5)
	first := &s.Classes[0]
	first.PriorityWeight = 1 + float64(n%6)
	first.LateWeightShare = 0.25 * float64(n%2)
	first.LatencyObjective = max(first.LatencyObjective*time.Duration(9+n%3)/10, first.Deadline/8)
	first.LatencyObjective = min(first.LatencyObjective, first.Deadline)
	for i := range s.Tenants {
		s.Tenants[i].QuotaPerSec *= 0.8 + 0.2*float64(n%3)
	}
	if n == 2 {
		s.Classes = append(s.Classes, s.Classes[0])
	}
	return s
}

// updateSettings passes settings to a balancer and records whether the balancer accepted them.
func (t *goldenTier) updateSettings(
	now time.Duration, known *goldenBalancer, b *piernotch.Balancer, i int, s piernotch.Settings,
) {
	t.record.begin(codeSettings, i)
	t.record.settings(&s)
	accepted := b.UpdateSettings(now, s) == nil
	t.record.booleans(accepted)
	if accepted {
		known.settings = s
		t.record.accepted++
	} else {
		t.record.refused++
	}
}

// restore passes on the snapshot of the previous process, if any.
func (t *goldenTier) restore(known *goldenBalancer, b *piernotch.Balancer, i int) {
	if known.snapshot.MeanWork > 0 {
		b.Restore(known.snapshot)
		t.record.snapshot(codeRestore, i, known.snapshot)
		t.record.snapshot(codeSnapshot, i, b.Snapshot())
	}
}

// attemptAllowed asks about all attempts of the request with the latest attempt, and records the answers.
func (t *goldenTier) attemptAllowed(now time.Duration, known *goldenBalancer, b *piernotch.Balancer, i int) {
	for try := range known.attempts[known.lastID] + 1 { // including a number without an attempt
		allowed := b.AttemptAllowed(now, known.lastID, try)
		if !allowed {
			t.record.denied++
		}
		t.record.begin(codeAttemptAllowed, i)
		t.record.integers(int64(known.lastID), int64(try))
		t.record.booleans(allowed)
	}
}

func (t *goldenTier) responseStarted(b *piernotch.Balancer, i int, id piernotch.RequestID, try int) {
	t.record.begin(codeResponseStarted, i)
	t.record.integers(int64(id), int64(try))
	b.ResponseStarted(t.record.now, id, try)
}
