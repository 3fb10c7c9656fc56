package simprotocol

import (
	"bytes"
	"encoding/json"
	"flag"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"piernotch"
)

var update = flag.Bool("update", false, "write the golden files again; only where the form changes on purpose")

// checkGolden compares bytes with a file under testdata, which -update writes first, and returns the content of
// the file.
func checkGolden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, want, got, "%s: the format on the wire has changed", path)
	return want
}

// The simulator depends on the layout of events. The batches contain every event with every field set.
// The test itself encodes the events of the second batch, since BatchWriter has no methods for them.
func TestBatchGoldenFile(t *testing.T) {
	lines := []EndpointEntry{
		{Server: 0x03124a07, Zone: 1, Kind: 2, Cell: 0x0304, State: 2, Size: 1.5, StartedAtMS: 6100.25},
		{Server: 0x2c9011f2, Zone: 5, Kind: 6, Cell: 0x0708, State: 0, Size: 0.25, StartedAtMS: 7100.5},
	}
	var writer BatchWriter
	var out bytes.Buffer
	writer.Start(1, 0x0102030405060708, []byte(`{"group_size":1}`))
	writer.TimerFired(2, 77)
	writer.Request(3, &RequestEvent{
		ID:         0x1112131415161718,
		Class:      4,
		Tenant:     0x0506,
		Key:        0x2122232425262728,
		DeadlineMS: 8652.25,
		CostHintMS: 12.5,
		Flags:      FlagCostHint | FlagRetry | FlagWrite,
	})
	writer.ClientGone(4, 0x3132333435363738)
	writer.HealthCheckCompleted(
		5,
		&HealthCheckEvent{Server: 0x2c9011f2, Status: 14, LatencyMS: 3.5, Load: []float32{1, 2.5, 3, 4}},
	)
	writer.EndpointList(6, 3, 41, lines)
	writer.AttemptCompleted(7, &AttemptEvent{
		ID:            0x4142434445464748,
		AttemptNumber: 2,
		Server:        0x03124a07,
		Status:        13,
		LatencyMS:     18.5,
		Closed:        true,
		Load:          []float32{5, 6.5},
	})
	writer.Stop(8)
	require.NoError(t, writer.WriteTo(&out, 8412.25, 0x0a0b0c0d))
	streaming := writer.record(EventResponseStarted, 9)
	put64(streaming[5:], 0x5152535455565758)
	putF64(streaming[13:], 9.75)
	put32(streaming[21:], 0x03124a07)
	streaming[25] = 3
	message := writer.record(EventMessage, 10)
	put32(message[5:], 11)
	put32(message[13:], 4)
	writer.tail = append(writer.tail, "hi 7"...)
	require.NoError(t, writer.WriteTo(&out, 8413.5, 0x0a0b0c0e))

	want := [][]Event{
		{
			{Code: 1, Balancer: 1, Seed: 0x0102030405060708, Data: []byte(`{"group_size":1}`)},
			{Code: 2, Balancer: 2, Token: 77},
			{
				Code:       3,
				Balancer:   3,
				ID:         0x1112131415161718,
				Class:      4,
				Tenant:     0x0506,
				Key:        0x2122232425262728,
				DeadlineMS: 8652.25,
				CostHintMS: 12.5,
				Flags:      7,
			},
			{Code: 4, Balancer: 4, ID: 0x3132333435363738},
			{
				Code:      5,
				Balancer:  5,
				Server:    0x2c9011f2,
				Status:    14,
				LatencyMS: 3.5,
				Load:      [4]float64{1, 2.5, 3, 4},
				LoadCount: 4,
			},
			{Code: 6, Balancer: 6, ListKind: 3},
			{
				Code:          9,
				Balancer:      7,
				ID:            0x4142434445464748,
				AttemptNumber: 2,
				Server:        0x03124a07,
				Status:        13,
				LatencyMS:     18.5,
				Closed:        true,
				Load:          [4]float64{5, 6.5},
				LoadCount:     2,
			},
			{Code: 8, Balancer: 8},
		},
		{
			{Code: 7, Balancer: 9, ID: 0x5152535455565758, LatencyMS: 9.75, Server: 0x03124a07, AttemptNumber: 3},
			{Code: 0, Balancer: 10, From: 11, Data: []byte("hi 7")},
		},
	}
	reader := NewReader(bytes.NewReader(checkGolden(t, "batches.bin", out.Bytes())))
	for i, events := range want {
		batch, err := reader.Next()
		require.NoError(t, err)
		require.Equal(t, []float64{8412.25, 8413.5}[i], batch.ClockMS)
		require.EqualValues(t, 0x0a0b0c0d+i, batch.Seq)
		require.Equal(t, len(events), batch.Count)
		for number, event := range events {
			var got Event
			require.NoError(t, batch.Event(number, &got))
			if got.Code == EventEndpointList {
				require.Equal(t, lines, []EndpointEntry{got.Entry(0), got.Entry(1)})
				require.Equal(t, 2, got.EntryCount())
				got.Entries = nil
			}
			require.Equal(t, event, got, "batch %d, event %d", i, number)
		}
	}
	_, err := reader.Next()
	require.ErrorIs(t, err, io.EOF)
}

// The simulator depends on the layout of actions. The replies contain every action with every field set.
// SendMessage has its own reply, since ReadReply rejects it.
func TestReplyGoldenFile(t *testing.T) {
	var reply Reply
	var out bytes.Buffer
	reply.CancelAttempt(1, 0x0102030405060708, 2)
	reply.HealthCheck(2, 0x2c9011f2)
	reply.StartAttempt(3, 0x1112131415161718, 0x03124a07, 80.5)
	reply.Fail(4, 0x2122232425262728)
	reply.SetTimer(5, 500.25, 77)
	reply.CloseIdle(6, 0x2c9011f2)
	reply.ReportFault(7, "index out of range")
	reply.Reject(8, 0x3132333435363738, 250.75)
	reply.FetchEndpoints(9)
	reply.WatchEndpoints(10)
	reply.Log(11, "two servers known")
	require.NoError(t, reply.WriteTo(&out, 12))
	reply.SendMessage(12, 0xffff, []byte("hi 7"))
	require.NoError(t, reply.WriteTo(&out, 13))
	golden := bytes.NewReader(checkGolden(t, "replies.bin", out.Bytes()))
	got, err := ReadReply(golden, 12, nil)
	require.NoError(t, err)
	require.Equal(t, []Action{
		{Code: 0, Balancer: 1, ID: 0x0102030405060708, AttemptNumber: 2},
		{Code: 1, Balancer: 2, Server: 0x2c9011f2},
		{Code: 2, Balancer: 3, ID: 0x1112131415161718, Server: 0x03124a07, DurationMS: 80.5},
		{Code: 3, Balancer: 4, ID: 0x2122232425262728},
		{Code: 4, Balancer: 5, DurationMS: 500.25, Token: 77},
		{Code: 5, Balancer: 6, Server: 0x2c9011f2},
		{Code: 6, Balancer: 7, Text: "index out of range"},
		{Code: 7, Balancer: 8, ID: 0x3132333435363738, DurationMS: 250.75},
		{Code: 8, Balancer: 9},
		{Code: 9, Balancer: 10, On: true},
		{Code: 10, Balancer: 11, Text: "two servers known"},
	}, got)
	require.Equal(t, 12+32+4, golden.Len(), "the frame of SendMessage")
}

// ParseSettings ignores unknown keys, so a changed key would go unnoticed. Most keys have
// different values, so mixed-up keys are noticed.
func TestSettingsGoldenFile(t *testing.T) {
	want := piernotch.Settings{
		BalancerCount: 3,
		Zone:          1,
		Zones:         []string{"addis", "afar"},
		Tick:          5 * time.Millisecond,
		PollDiscovery: true,
		KeyAffinity:   true,
		Classes: []piernotch.Class{
			{
				Name:             "read",
				LatencyObjective: 1200 * time.Millisecond,
				Deadline:         5 * time.Second,
				PriorityWeight:   5,
				LateWeightShare:  0.25,
				RetrySafety:      piernotch.Idempotent,
			},
			{
				Name:             "submit",
				LatencyObjective: 2500 * time.Millisecond,
				Deadline:         6 * time.Second,
				PriorityWeight:   8,
				LateWeightShare:  0.5,
				RetrySafety:      piernotch.IdempotencyKey,
				DedupScope:       piernotch.DedupInZone,
				DedupWindow:      4500 * time.Millisecond,
			},
			{
				Name:             "store",
				LatencyObjective: 2600 * time.Millisecond,
				Deadline:         7 * time.Second,
				PriorityWeight:   9,
				LateWeightShare:  0.125,
				RetrySafety:      piernotch.IdempotencyKey,
				DedupScope:       piernotch.DedupInCell,
				DedupWindow:      4250 * time.Millisecond,
			},
			{
				Name:             "append",
				LatencyObjective: 2700 * time.Millisecond,
				Deadline:         8 * time.Second,
				PriorityWeight:   3,
				LateWeightShare:  0.75,
				RetrySafety:      piernotch.NonIdempotent,
			},
		},
		Tenants: []piernotch.Tenant{{Name: "survey", QuotaPerSec: 12.5}, {Name: "school", QuotaPerSec: 7}},
		Limits: piernotch.Limits{
			MaxAttempts:    4,
			HedgedRequests: true,
			CancelAttempts: true,
			HealthChecks:   true,
			RetryAfter:     true,
			MaxRetryAfter:  2 * time.Second,
		},
		Rules: piernotch.Rules{
			PollInterval:      10 * time.Second,
			SlowStartCapacity: 0.12,
			SlowStartDuration: 24 * time.Second,
			OverloadWindow:    2250 * time.Millisecond,
		},
		OverQuotaWeight:  0.1,
		WeightPerRequest: true,
	}
	data, err := MarshalSettings(&want, ExtraSettings{
		Balancer: 2, ServerKinds: []string{"fast", "mid"}, KeepAliveMS: 60000, DialMS: 250, SlackMS: 20, GraceMS: 2100,
		CollapseMultiple: 2.5, CollapseWindowMS: 2250, WeightBy: "request", Columns: []string{"inflight", "qps"},
	})
	require.NoError(t, err)
	var indented bytes.Buffer
	require.NoError(t, json.Indent(&indented, append(data, '\n'), "", " "))
	data = checkGolden(t, "settings.json", indented.Bytes())
	got, err := ParseSettings(data)
	require.NoError(t, err)
	require.Equal(t, want, got)
	columns, err := ParseReportColumns(data)
	require.NoError(t, err)
	require.Equal(t, []string{"inflight", "qps"}, columns)
	keepAlive, dialTimeout, err := ParseConnections(data)
	require.NoError(t, err)
	require.Equal(t, []time.Duration{time.Minute, 250 * time.Millisecond}, []time.Duration{keepAlive, dialTimeout})
}

// The numbers of statuses, states and list kinds are part of the protocol. Statuses must translate both ways.
func TestCodesGolden(t *testing.T) {
	for status, code := range map[piernotch.Status]uint8{
		piernotch.OK:            0,
		piernotch.Cancelled:     1,
		piernotch.Timeout:       4,
		piernotch.Full:          8,
		piernotch.NotSent:       9,
		piernotch.Reset:         10,
		piernotch.Error:         13,
		piernotch.ConnectFailed: 14,
	} {
		require.Equal(t, code, StatusCode(status))
		got, err := ParseStatus(code)
		require.NoError(t, err)
		require.Equal(t, status, got)
	}
	require.Equal(
		t,
		[]uint8{0, 1, 2},
		[]uint8{StateCode(piernotch.Draining), StateCode(piernotch.Gone), StateCode(piernotch.Ready)},
	)
	require.Equal(t, []uint8{0, 1, 2, 3}, []uint8{
		ListKindCode(piernotch.UpdateFailed),
		ListKindCode(piernotch.UpdateCached),
		ListKindCode(piernotch.UpdateFull),
		ListKindCode(piernotch.UpdateDelta),
	})
}
