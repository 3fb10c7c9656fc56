package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const settingsText = `{"group_size":1,"zones":["a"],"quantum_ms":1,"classes":[{"goal_time_ms":100,"deadline_ms":400,
"points":1,"effect":"safe"}],"limits":{"most_tries":2},"rules":{"cold_ms":1000}}`

// batch returns a frame of events at 1,000 ms. It pads each record with zeros.
func batch(seq uint32, tail string, records ...[]byte) []byte {
	out := make([]byte, 20)
	for _, r := range records {
		out = append(out, append(r, make([]byte, 48-len(r))...)...)
	}
	out = append(out, tail...)
	binary.LittleEndian.PutUint32(out, uint32(len(records)))
	binary.LittleEndian.PutUint32(out[4:], uint32(len(out)))
	binary.LittleEndian.PutUint64(out[8:], math.Float64bits(1000))
	binary.LittleEndian.PutUint32(out[16:], seq)
	return out
}

// startRecord returns the start event of balancer 7. The frame's tail must begin with the settings.
func startRecord(settings string) []byte {
	r := make([]byte, 21)
	r[0], r[1] = 1, 7
	binary.LittleEndian.PutUint32(r[17:], uint32(len(settings)))
	return r
}

func TestRequestWithoutServerIsRejected(t *testing.T) {
	request := make([]byte, 41)
	request[0], request[1], request[5] = 3, 7, 9
	binary.LittleEndian.PutUint64(request[24:], math.Float64bits(1001)) // a deadline too soon to be met
	var out bytes.Buffer
	in := append(batch(1, "", nil...), batch(2, settingsText, startRecord(settingsText))...)
	in = append(in, batch(3, "", request)...)
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	got := out.Bytes()
	if seq := binary.LittleEndian.Uint32(got[8:]); seq != 1 {
		t.Errorf("first reply is to batch %d", seq)
	}
	reject := got[len(got)-32:]
	if reject[0] != 7 || reject[1] != 7 || reject[5] != 9 {
		t.Errorf("without a server, request 9 of balancer 7 is rejected; got %x", reject)
	}
}

func TestServeRejectsMalformedEvents(t *testing.T) {
	start := startRecord(settingsText)
	for name, test := range map[string]struct {
		in   []byte
		want string
	}{
		"unknown balancer": {batch(1, "", []byte{2, 5}), "before its start"},
		"started twice":    {batch(1, settingsText, start, start), "started twice"},
		"cut short":        {batch(1, settingsText, start)[:30], "cut short"},
		"after its stop":   {batch(1, settingsText, start, []byte{8, 7}, []byte{2, 7}), "before its start"},
		"odd disposition":  {batch(1, settingsText, start, append([]byte{9, 7, 18: 77}, 0)), "disposition"},
	} {
		err := serve(bytes.NewReader(test.in), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestUnusableSettingsAreReportedAsFault(t *testing.T) {
	for _, text := range []string{"nonsense", `{"group_size":1,"classes":[{"goal_time_ms":-1,"effect":"safe"}]}`} {
		var out bytes.Buffer
		in := append(batch(1, text, startRecord(text)), batch(2, "", []byte{2, 7})...)
		if err := serve(bytes.NewReader(in), &out); err != nil {
			t.Fatal(err)
		}
		if out.Bytes()[12] != 6 || !strings.Contains(out.String(), "settings") {
			t.Errorf("no fault for %q: %q", text, out.String())
		}
	}
}

func TestBalancerMayStartAgainAfterStop(t *testing.T) {
	start := startRecord(settingsText)
	in := batch(1, settingsText, start, []byte{8, 7}, start)
	if err := serve(bytes.NewReader(in), &bytes.Buffer{}); err != nil {
		t.Fatal(err)
	}
}
