package simprotocol

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"piernotch"
)

func unhex(tb testing.TB, s string) []byte {
	tb.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

// Frames from the simulator's protocol documentation, in hexadecimal.
const (
	emptyBatch = "00000000 14000000 00000000206ec040 01000000"
	twoBatch   = "03000000 a4000000 00000000206ec040 0c000000" +
		"03 03000000 c4913a5ddbba0f00 00 0000 640ad2557c3bf091 0000000020e6c040 0000000000002840 01 00000000000000" +
		"02 03000000 4d000000" + zeros39 +
		"04 05000000 192b6f0eb65f0800" + zeros35
	zeros35         = "0000000000000000000000000000000000000000000000000000000000000000000000"
	zeros39         = zeros35 + "00000000"
	documentedReply = "03000000 7d000000 0c000000" +
		"02 03000000 c4913a5ddbba0f00 074a1203 0000000000005440 00000000000000" +
		"04 03000000 0000000000407f40 4d000000 000000000000000000000000000000" +
		"0a 05000000 00000000 11000000 00000000000000000000000000000000000000" +
		"74776f2073657276657273206b6e6f776e"
	endpointListRecord = "06 03000000 01 2900000000000000 00000000 02000000" +
		"0000000000000000000000000000000000000000000000000000"
	endpointListTail = "074a1203 00 00 0000 02 0000803f 0000000000000000" +
		"f211902c 01 00 0000 02 0000c03f 0000000000d4b740"
)

func frame(tb testing.TB, record, tail string) []byte {
	tb.Helper()
	body := append(unhex(tb, record), unhex(tb, tail)...)
	head := make([]byte, batchHeaderSize)
	binary.LittleEndian.PutUint32(head, 1)
	binary.LittleEndian.PutUint32(head[4:], uint32(batchHeaderSize+len(body)))
	return append(head, body...)
}

func TestReaderDecodesDocumentedBatches(t *testing.T) {
	reader := NewReader(bytes.NewReader(append(unhex(t, emptyBatch), unhex(t, twoBatch)...)))
	batch, err := reader.Next()
	if err != nil || batch.Count != 0 || batch.Seq != 1 || batch.ClockMS != 8412.25 {
		t.Fatalf("%+v, %v", batch, err)
	}
	if batch, err = reader.Next(); err != nil || batch.Count != 3 || batch.Seq != 12 {
		t.Fatalf("%+v, %v", batch, err)
	}
	var event Event
	want := Event{
		Code:       EventRequest,
		Balancer:   3,
		ID:         0xfbadb5d3a91c4,
		CostHintMS: 12,
		Flags:      FlagCostHint,
		DeadlineMS: 8652.25,
		Key:        0x91f03b7c55d20a64,
	}
	if err := batch.Event(0, &event); err != nil || !reflect.DeepEqual(event, want) {
		t.Errorf("%+v, %v", event, err)
	}
	if err := batch.Event(1, &event); err != nil || event.Code != EventTimerFired || event.Token != 77 {
		t.Errorf("%+v, %v", event, err)
	}
	if err := batch.Event(2, &event); err != nil || event.Code != EventClientGone || event.Balancer != 5 {
		t.Errorf("%+v, %v", event, err)
	}
	if _, err := reader.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
}

func TestReplyEncodesDocumentedFrame(t *testing.T) {
	var reply Reply
	var out bytes.Buffer
	reply.StartAttempt(3, 0xfbadb5d3a91c4, 0x03124a07, 80)
	reply.SetTimer(3, 500, 77)
	reply.Log(5, "two servers known")
	if err := reply.WriteTo(&out, 12); err != nil {
		t.Fatal(err)
	}
	if want := unhex(t, documentedReply); !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", out.Bytes(), want)
	}
	out.Reset()
	if err := reply.WriteTo(&out, 1); err != nil || out.Len() != replyHeaderSize {
		t.Errorf("the reply was not emptied: %x, %v", out.Bytes(), err)
	}
}

func TestEndpointListDecodes(t *testing.T) {
	batch, err := NewReader(bytes.NewReader(frame(t, endpointListRecord, endpointListTail))).Next()
	if err != nil {
		t.Fatal(err)
	}
	var event Event
	if err := batch.Event(0, &event); err != nil {
		t.Fatal(err)
	}
	kind, list, err := ParseEndpointList(&event, nil)
	if err != nil || kind != piernotch.UpdateCached || len(list) != 2 {
		t.Fatalf("%v %v %v", kind, list, err)
	}
	if entry := list[1]; entry.ID != 0x2c9011f2 ||
		entry.Zone != 1 ||
		entry.Size != 1.5 ||
		entry.StartedAt != Duration(6100) ||
		entry.State != piernotch.Ready {
		t.Errorf("%+v", entry)
	}
}

func TestReplyEncodesEachAction(t *testing.T) {
	var reply Reply
	for name, test := range map[string]struct {
		do   func()
		want string
	}{
		"cancel": {func() { reply.CancelAttempt(3, 0xfbadb5d3a91c4, 0) }, "00 03000000 c4913a5ddbba0f00 00"},
		"close":  {func() { reply.CloseIdle(3, 0x2c9011f2) }, "05 03000000 f211902c"},
		"fail":   {func() { reply.Fail(3, 0x85fb60e6f2b19) }, "03 03000000 192b6f0eb65f0800"},
		"fetch":  {func() { reply.FetchEndpoints(3) }, "08 03000000"},
		"watch":  {func() { reply.WatchEndpoints(3) }, "09 03000000 01"},
		"probe":  {func() { reply.HealthCheck(3, 0x2c9011f2) }, "01 03000000 f211902c"},
		"refuse": {func() { reply.Reject(3, 0x85fb60e6f2b19, 250) }, "07 03000000 192b6f0eb65f0800 0000000000406f40"},
		"fault":  {func() { reply.ReportFault(3, "index out of range") }, "06 03000000 00000000 12000000"},
		"tell":   {func() { reply.SendMessage(3, 0xffff, []byte("hi 7")) }, "0b 03000000 ffff 00000000 04000000"},
	} {
		test.do()
		want := append(unhex(t, test.want), make([]byte, actionSize)...)[:actionSize]
		if !bytes.Equal(reply.records, want) {
			t.Errorf("%s: got %x", name, reply.records)
		}
		if err := reply.WriteTo(io.Discard, 0); err != nil {
			t.Fatal(err)
		}
	}
}

func TestAttemptCompletedCarriesLoadReport(t *testing.T) {
	record := "09 03000000 c4913a5ddbba0f00 00 074a1203 00 0000000000803240 01 02 " +
		"0000003f 0000803f 00000000 00000000 000000"
	batch, err := NewReader(bytes.NewReader(frame(t, record, ""))).Next()
	if err != nil {
		t.Fatal(err)
	}
	var event Event
	if err := batch.Event(0, &event); err != nil || !event.Closed || event.LatencyMS != 18.5 {
		t.Errorf("%+v, %v", event, err)
	}
	if event.LoadCount != 2 || event.Load[0] != 0.5 || event.Load[1] != 1 {
		t.Errorf("load report of %d values: %v", event.LoadCount, event.Load)
	}
}

func TestLargeBatchDecodesWithoutAllocations(t *testing.T) {
	const n = 60000
	data := make([]byte, batchHeaderSize+n*eventSize)
	binary.LittleEndian.PutUint32(data, n)
	binary.LittleEndian.PutUint32(data[4:], uint32(len(data)))
	for i := range n {
		data[batchHeaderSize+i*eventSize] = byte(EventTimerFired)
		binary.LittleEndian.PutUint32(data[batchHeaderSize+i*eventSize+5:], uint32(i))
	}
	batch, err := NewReader(bytes.NewReader(data)).Next()
	if err != nil || batch.Count != n {
		t.Fatal(err)
	}
	var event Event
	if err := batch.Event(n-1, &event); err != nil || event.Token != n-1 {
		t.Errorf("%+v, %v", event, err)
	}
	if allocs := testing.AllocsPerRun(100, func() { _ = batch.Event(7, &event) }); allocs > 0 {
		t.Errorf("%v allocations a record", allocs)
	}
}

func malformed(tb testing.TB) map[string][]byte {
	tb.Helper()
	list := frame(tb, endpointListRecord, endpointListTail)
	far := bytes.Clone(list)
	binary.LittleEndian.PutUint32(far[batchHeaderSize+14:], 1<<31)
	many := bytes.Clone(list)
	binary.LittleEndian.PutUint32(many[batchHeaderSize+18:], 1<<31)
	unknown := bytes.Clone(list)
	unknown[batchHeaderSize] = 99
	return map[string][]byte{
		"cut header":   unhex(tb, emptyBatch)[:7],
		"cut body":     list[:60],
		"short length": unhex(tb, "05000000 14000000 00000000206ec040 01000000"),
		"huge length":  unhex(tb, "00000000 ffffffff 00000000206ec040 01000000"),
		"nan clock":    unhex(tb, "00000000 14000000 000000000000f87f 01000000"),
		"far offset":   far,
		"many entries": many,
		"unknown code": unknown,
	}
}

func TestReaderRejectsMalformedFrames(t *testing.T) {
	for name, data := range malformed(t) {
		err := readAll(data)
		var frameErr *FrameError
		if !errors.As(err, &frameErr) {
			t.Errorf("%s: %v is no *FrameError", name, err)
		}
	}
}

func readAll(data []byte) error {
	reader := NewReader(bytes.NewReader(data))
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var event Event
		for i := range batch.Count {
			if err := batch.Event(i, &event); err != nil {
				return err
			}
			if event.Code == EventEndpointList {
				if _, _, err := ParseEndpointList(&event, nil); err != nil {
					return err
				}
			}
		}
	}
}

func FuzzReader(f *testing.F) {
	for _, data := range malformed(f) {
		f.Add(data)
	}
	f.Add(unhex(f, twoBatch))
	f.Add(frame(f, endpointListRecord, endpointListTail))
	f.Fuzz(func(t *testing.T, data []byte) {
		_ = readAll(data) // must not panic, nor allocate memory for bytes that never arrive
	})
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"classes":[{"goal_time_ms":1e300,"effect":"safe"}],"zones":["a"]}`))
	f.Add([]byte(`{"classes":[{"effect":"odd"}]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := ParseSettings(data); err == nil {
			_ = s.Validate()
		}
	})
}

func TestSettingsParse(t *testing.T) {
	settings, err := ParseSettings([]byte(`{"group_size": 4, "my_zone": 1, "zones": ["x", "y"], "quantum_ms": 5,
		"discovery": "on_request", "unheard_of": {"a": [1]}, "specifics": {"warm_keys": true},
		"classes": [{"name": "c", "goal_time_ms": 750, "deadline_ms": 2500, "points": 3, "effect": "keyed",
			"dedup_scope": "cell", "dedup_window_ms": 1200}],
		"limits": {"most_tries": 3, "second_copies": true, "may_probe": true},
		"rules": {"ask_within_ms": 10000, "cold_from": 0.13, "cold_ms": 23000, "fall_multiple": 2.5,
			"overload_for_ms": 1000},
		"tenants": [{"name": "t", "quota_per_s": 104}], "over_share_worth": 0.1}`))
	if err != nil {
		t.Fatal(err)
	}
	class := settings.Classes[0]
	if class.RetrySafety != piernotch.IdempotencyKey ||
		class.DedupScope != piernotch.DedupInCell ||
		class.DedupWindow != Duration(1200) ||
		class.PriorityWeight != 3 {
		t.Errorf("%+v", class)
	}
	if !settings.PollDiscovery ||
		!settings.KeyAffinity ||
		settings.Zone != 1 ||
		settings.Rules.SlowStartDuration != Duration(23000) {
		t.Errorf("%+v", settings)
	}
	for _, bad := range []string{
		"",
		"nonsense",
		`{"classes":[{"effect":"odd"}]}`,
		`{"classes":[{"effect":"safe","dedup_scope":"moon"}]}`,
	} {
		_, err := ParseSettings([]byte(bad))
		var settingsErr *SettingsError
		if !errors.As(err, &settingsErr) {
			t.Errorf("%q: %v is no *SettingsError", bad, err)
		}
	}
}
