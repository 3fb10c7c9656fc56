package simulation

import (
	"encoding/binary"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"piernotch"
)

// The golden record holds the inputs and outputs of the balancers of a run, in order. An entry is a code of
// goldenCodes followed by its values, each of eight bytes in little-endian order: integers, durations in
// nanoseconds and identifiers as they are, floating-point numbers by their bits, booleans as 0 or 1, lists by
// their length and then their elements. The order of the values is that of the calls below. The record contains
// no name of a type, field or constant, so names may change.

// goldenCode identifies the kind of an entry. A number must never be given another meaning.
type goldenCode uint64

// Codes of events (from 1), actions (from 101) and the calls that goldenTier adds (from 201).
const (
	codeStart           goldenCode = 1
	codeStop            goldenCode = 2
	codeRequest         goldenCode = 3
	codeClientGone      goldenCode = 4
	codeOutcome         goldenCode = 5
	codeHealthResult    goldenCode = 6
	codeList            goldenCode = 7
	codeTimer           goldenCode = 8
	codeStartAttempt    goldenCode = 101
	codeCancelAttempt   goldenCode = 102
	codeReject          goldenCode = 103
	codeFail            goldenCode = 104
	codeHealthCheck     goldenCode = 105
	codeWatch           goldenCode = 106
	codeSetTimer        goldenCode = 107
	codeSettings        goldenCode = 201
	codeSnapshot        goldenCode = 202
	codeRestore         goldenCode = 203
	codeExclude         goldenCode = 204
	codeInclude         goldenCode = 205
	codeResponseStarted goldenCode = 206
	codeAttemptAllowed  goldenCode = 207
	codeLoad            goldenCode = 208
)

// goldenCodes lists all codes with their labels in the golden files, in the order of the counts there.
var goldenCodes = []struct {
	code  goldenCode
	label string
}{
	{codeStart, "start"}, {codeStop, "stop"}, {codeRequest, "request"}, {codeClientGone, "client-gone"},
	{codeOutcome, "outcome"}, {codeHealthResult, "health-result"}, {codeList, "list"}, {codeTimer, "timer"},
	{codeStartAttempt, "start-attempt"}, {codeCancelAttempt, "cancel-attempt"}, {codeReject, "reject"},
	{codeFail, "fail"}, {codeHealthCheck, "health-check"}, {codeWatch, "watch"}, {codeSetTimer, "set-timer"},
	{codeSettings, "settings"}, {codeSnapshot, "snapshot"}, {codeRestore, "restore"}, {codeExclude, "exclude"},
	{codeInclude, "include"}, {codeResponseStarted, "response-started"}, {codeAttemptAllowed, "attempt-allowed"},
	{codeLoad, "load"},
}

// Codes of the kinds of events and actions. The codes do not depend on the values of EventKind and ActionKind,
// which may be reordered.
var (
	goldenEventCode = map[EventKind]goldenCode{
		EventStart: codeStart, EventStop: codeStop, EventRequest: codeRequest, EventClientGone: codeClientGone,
		EventAttemptCompleted: codeOutcome, EventHealthCheckCompleted: codeHealthResult,
		EventEndpointList: codeList, EventTimer: codeTimer,
	}
	goldenActionCode = map[ActionKind]goldenCode{
		ActionStartAttempt: codeStartAttempt, ActionCancelAttempt: codeCancelAttempt, ActionReject: codeReject,
		ActionFail: codeFail, ActionHealthCheck: codeHealthCheck, ActionWatchEndpoints: codeWatch,
		ActionSetTimer: codeSetTimer,
	}
)

// goldenBlockSize is the number of entries that share a digest.
const goldenBlockSize = 500

// goldenRecord builds the record of a run and keeps a digest of each block.
type goldenRecord struct {
	now       time.Duration
	block     []byte
	entries   int           // in the block
	blockFrom time.Duration // simulated time of the block's first entry
	lines     []string      // one for each finished block
	counts    map[goldenCode]int
	secondTry int // attempts that were not the first of their request
	accepted  int // changes of settings that were accepted
	refused   int // changes of settings that were refused
	denied    int // attempts for which AttemptAllowed returned false
}

// begin starts an entry of a balancer, in a new block if the current one is full.
func (g *goldenRecord) begin(code goldenCode, balancer int) {
	if g.entries == goldenBlockSize {
		g.endBlock()
	}
	if g.entries == 0 {
		g.blockFrom = g.now
	}
	g.entries++
	g.counts[code]++
	g.integers(int64(code), int64(g.now), int64(balancer))
}

// endBlock adds a line with the digest of the block and clears the block.
func (g *goldenRecord) endBlock() {
	if g.entries == 0 {
		return
	}
	line := fmt.Sprintf("%d %d %016x", len(g.lines), int64(g.blockFrom), xxhash.Sum64(g.block))
	g.lines = append(g.lines, line)
	g.block, g.entries = g.block[:0], 0
}

// text returns the golden file: a line of counts, then for each block a line with its number, the time of its
// first entry in nanoseconds and its digest.
func (g *goldenRecord) text() string {
	g.endBlock()
	var out strings.Builder
	for i, c := range goldenCodes {
		if i > 0 {
			out.WriteByte(' ')
		}
		fmt.Fprintf(&out, "%s=%d", c.label, g.counts[c.code])
	}
	out.WriteByte('\n')
	for _, line := range g.lines {
		out.WriteString(line + "\n")
	}
	return out.String()
}

func (g *goldenRecord) integers(values ...int64) {
	for _, v := range values {
		g.block = binary.LittleEndian.AppendUint64(g.block, uint64(v))
	}
}

func (g *goldenRecord) floats(values ...float64) {
	for _, v := range values {
		g.block = binary.LittleEndian.AppendUint64(g.block, math.Float64bits(v))
	}
}

func (g *goldenRecord) booleans(values ...bool) {
	for _, v := range values {
		if v {
			g.integers(1)
		} else {
			g.integers(0)
		}
	}
}

func (g *goldenRecord) event(e *Event) {
	g.begin(goldenEventCode[e.Kind], e.Balancer)
	g.booleans(e.HasLoad)
	if e.HasLoad {
		g.integers(int64(e.loadServer()))
		g.floats(e.Load.Inflight, e.Load.PerSec)
	}
	switch e.Kind {
	case EventStart:
		g.integers(int64(e.Seed))
		g.settings(e.Settings)
	case EventRequest:
		r := &e.Request
		g.integers(int64(r.ID), int64(r.Class), int64(r.Tenant), int64(r.Key), int64(r.Deadline))
		g.floats(r.CostHint)
	case EventClientGone:
		g.integers(int64(e.ID))
	case EventAttemptCompleted:
		o := &e.Outcome
		g.integers(int64(o.ID), int64(o.Attempt), int64(o.Server), int64(o.Status), int64(o.Latency))
		g.booleans(o.RequestDone)
	case EventHealthCheckCompleted:
		g.integers(int64(e.Server), int64(e.Status))
	case EventEndpointList:
		g.endpoints(e.ListKind, e.Entries)
	case EventTimer:
		g.integers(int64(e.Token))
	}
}

// endpoints writes the values of an endpoint list, without its version.
func (g *goldenRecord) endpoints(kind piernotch.UpdateKind, entries []piernotch.Endpoint) {
	g.integers(int64(kind), int64(len(entries)))
	for i := range entries {
		e := &entries[i]
		g.integers(int64(e.ID), int64(e.Zone), int64(e.Cell), int64(e.State), int64(e.StartedAt))
		g.floats(e.Size)
	}
}

// settings writes settings without names, which do not affect decisions.
func (g *goldenRecord) settings(s *piernotch.Settings) {
	g.integers(int64(s.BalancerCount), int64(s.Zone), int64(len(s.Zones)), int64(s.Tick), int64(len(s.Classes)))
	for i := range s.Classes {
		c := &s.Classes[i]
		g.integers(int64(c.LatencyObjective), int64(c.Deadline), int64(c.RetrySafety), int64(c.DedupScope))
		g.integers(int64(c.DedupWindow))
		g.floats(c.PriorityWeight, c.LateWeightShare)
	}
	g.integers(int64(len(s.Tenants)))
	for i := range s.Tenants {
		g.floats(s.Tenants[i].QuotaPerSec)
	}
	l, r := &s.Limits, &s.Rules
	g.booleans(s.PollDiscovery, s.KeyAffinity, s.WeightPerRequest)
	g.booleans(l.HedgedRequests, l.CancelAttempts, l.HealthChecks, l.RetryAfter)
	g.integers(int64(l.MaxAttempts), int64(l.MaxRetryAfter))
	g.integers(int64(r.PollInterval), int64(r.SlowStartDuration), int64(r.OverloadWindow))
	g.floats(r.SlowStartCapacity, s.OverQuotaWeight)
}

func (g *goldenRecord) action(a *Action) {
	g.begin(goldenActionCode[a.Kind], a.Balancer)
	g.integers(int64(a.ID), int64(a.Server), int64(a.Attempt), int64(a.Delay), int64(a.Token))
}

func (g *goldenRecord) snapshot(code goldenCode, balancer int, s piernotch.Snapshot) {
	g.begin(code, balancer)
	g.floats(s.MedianHint, s.MeanWork, s.LargeWorkShare, s.PeakCompletionRate)
}
