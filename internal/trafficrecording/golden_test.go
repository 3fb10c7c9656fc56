package trafficrecording

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"flag"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files again; only where the form changes on purpose")

// The content of the golden recording. The last record is zero; the others have every field set.
var (
	goldenHeader = Header{
		Version:   1,
		Name:      "n0",
		Zone:      "addis",
		Classes:   []string{"read", "submit", "append"},
		StartedAt: 1_700_000_000_123_456_789,
	}
	goldenRecords = []Record{
		{
			At:       11 * time.Millisecond,
			Class:    1,
			Key:      0x91f03b7c55d20a64,
			CostHint: 12.5,
			Deadline: 5 * time.Second,
			Outcome:  Served,
			Latency:  210 * time.Millisecond,
		},
		{
			At:       12 * time.Millisecond,
			Class:    2,
			Key:      13,
			CostHint: 14.25,
			Deadline: 6 * time.Second,
			Outcome:  Rejected,
			Latency:  15 * time.Microsecond,
		},
		{
			At:       16 * time.Millisecond,
			Class:    1,
			Key:      17,
			CostHint: 18,
			Deadline: 7 * time.Second,
			Outcome:  Failed,
			Latency:  19 * time.Millisecond,
		},
		{
			At:       20 * time.Millisecond,
			Class:    2,
			Key:      21,
			CostHint: 22.0625,
			Deadline: 8 * time.Second,
			Outcome:  ClientGone,
			Latency:  23 * time.Millisecond,
		},
		{},
	}
)

// parts splits a recording of one block into its header, magic number included, and the decompressed records.
// The compressed bytes are not compared: compress/flate may produce other bytes in another version of Go.
func parts(t *testing.T, data []byte) (head, records []byte) {
	t.Helper()
	end := len(magic) + 4 + int(binary.LittleEndian.Uint32(data[len(magic):]))
	block := data[end:]
	require.Len(t, block, blockHeaderSize+int(binary.LittleEndian.Uint32(block)), "one block")
	require.EqualValues(t, len(goldenRecords), binary.LittleEndian.Uint32(block[4:]))
	require.EqualValues(t, goldenRecords[0].At, binary.LittleEndian.Uint64(block[8:]))
	records, err := io.ReadAll(flate.NewReader(bytes.NewReader(block[blockHeaderSize:])))
	require.NoError(t, err)
	return data[:end], records
}

// Existing recordings must stay readable: the golden file yields the expected values, and writing these values
// yields the same bytes before compression.
func TestRecordingGoldenFile(t *testing.T) {
	path, fresh := filepath.Join("testdata", "recording.pnt"), filepath.Join(t.TempDir(), "fresh.pnt")
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		fresh = path
	}
	w, err := Create(fresh, goldenHeader, Limits{})
	require.NoError(t, err)
	for _, r := range goldenRecords {
		w.Add(r)
	}
	require.NoError(t, w.Close())

	want, err := os.ReadFile(path)
	require.NoError(t, err)
	got, err := os.ReadFile(fresh)
	require.NoError(t, err)
	wantHead, wantRecords := parts(t, want)
	gotHead, gotRecords := parts(t, got)
	require.Equal(t, wantHead, gotHead, "the format of the header has changed")
	require.Equal(t, wantRecords, gotRecords, "the format of the records has changed")

	r, err := Open(path)
	require.NoError(t, err)
	defer func() { require.NoError(t, r.Close()) }()
	require.Equal(t, &goldenHeader, r.Header())
	for i := range goldenRecords {
		var record Record
		require.NoError(t, r.Next(&record))
		require.Equal(t, goldenRecords[i], record, "record %d", i)
	}
	require.ErrorIs(t, r.Next(&Record{}), io.EOF)
}
