package trafficrecording

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testRecord returns record i of a test, which arrived at i ms.
func testRecord(i int) Record {
	return Record{
		At: time.Duration(i) * time.Millisecond, Class: uint16(i % 2), Key: uint64(i * 7), CostHint: float64(i),
		Deadline: time.Second, Outcome: Outcome(i % 4), Latency: time.Duration(i),
	}
}

// writeTrace writes a recording of n records. It returns the file's name and the closed Writer.
func writeTrace(t *testing.T, n int, limits Limits) (string, *Writer) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "t.pnt")
	w, err := Create(name, Header{Name: "n0", Zone: "z", Classes: []string{"a", "b"}}, limits)
	require.NoError(t, err)
	for i := range n {
		w.Add(testRecord(i))
	}
	require.NoError(t, w.Close())
	w.Add(testRecord(0)) // dropped after Close, without a panic
	return name, w
}

func closeReader(t *testing.T, r *Reader) {
	t.Helper()
	require.NoError(t, r.Close())
}

func TestRecordingReadsBack(t *testing.T) {
	const n = 3*blockRecords + 17
	name, _ := writeTrace(t, n, Limits{Pending: n})
	r, err := Open(name)
	require.NoError(t, err)
	defer closeReader(t, r)
	require.Equal(t, []string{"a", "b"}, r.Header().Classes)
	var record Record
	for i := range n {
		require.NoError(t, r.Next(&record))
		require.Equal(t, testRecord(i), record)
	}
	require.ErrorIs(t, r.Next(&record), io.EOF)

	require.NoError(t, r.Seek(time.Duration(blockRecords+5)*time.Millisecond))
	require.NoError(t, r.Next(&record))
	require.Equal(t, testRecord(blockRecords), record, "the block in which the time lies")
	require.NoError(t, r.Seek(0))
	require.NoError(t, r.Next(&record))
	require.Equal(t, testRecord(0), record)
}

// If a crash or a disk fault damages a block, the blocks before it must be readable, and the error must tell the
// kind of damage.
func TestDamagedRecordingIsReadUpToTheDamage(t *testing.T) {
	name, _ := writeTrace(t, 2*blockRecords, Limits{})
	data, err := os.ReadFile(name)
	require.NoError(t, err)
	count := func(data []byte) (int, error) {
		require.NoError(t, os.WriteFile(name, data, 0o600))
		r, err := Open(name)
		if err != nil {
			return 0, err
		}
		defer closeReader(t, r)
		var record Record
		for n := 0; ; n++ {
			if err := r.Next(&record); err != nil {
				return n, err
			}
		}
	}
	n, err := count(data[:len(data)-10])
	require.ErrorIs(t, err, ErrTruncated)
	require.Equal(t, blockRecords, n)
	damaged := bytes.Clone(data)
	damaged[len(damaged)-10] ^= 1
	n, err = count(damaged)
	require.ErrorContains(t, err, "block 2: its checksum is wrong")
	require.ErrorIs(t, err, ErrChecksum)
	require.Equal(t, &FileError{Name: name, Err: &BlockError{Block: 2, Err: ErrChecksum}}, err)
	require.Equal(t, blockRecords, n)
	_, err = count([]byte("PNTRACE9 and more"))
	require.ErrorContains(t, err, "no recording")
	require.ErrorIs(t, err, ErrNotRecording)
	_, err = count(data[:20])
	require.ErrorIs(t, err, ErrTruncated)
}

// A recording must not fill the disk: it ends at its limit of bytes, and counts the dropped records.
func TestRecordingIsBoundedAndCountsDropped(t *testing.T) {
	name, w := writeTrace(t, 10*blockRecords, Limits{Bytes: 1, Pending: 4 * blockRecords})
	require.Greater(t, w.Dropped(), 0)
	r, err := Open(name)
	require.NoError(t, err)
	defer closeReader(t, r)
	var record Record
	n := 0
	for err = r.Next(&record); err == nil; err = r.Next(&record) {
		n++
	}
	require.True(t, errors.Is(err, io.EOF))
	require.LessOrEqual(t, n, blockRecords, "one block passes the limit, no second")
	require.Equal(t, 10*blockRecords+1, n+w.Dropped())
	_, err = Create(filepath.Join(name, "x"), Header{}, Limits{})
	require.Error(t, err)
}

// A file of any content must not cause a panic in the reader.
func FuzzRead(f *testing.F) {
	b, err := encodeBlock([]Record{testRecord(1), testRecord(2)})
	if err != nil {
		f.Fatal(err)
	}
	header := []byte(magic + "\x0f\x00\x00\x00\xa2gversion\x01gclasses\x81aa")
	f.Add(append(header, b...))
	f.Fuzz(func(t *testing.T, data []byte) {
		name := filepath.Join(t.TempDir(), "f")
		if os.WriteFile(name, data, 0o600) != nil {
			return
		}
		r, err := Open(name)
		if err != nil {
			return
		}
		defer closeReader(t, r)
		var record Record
		for range 10000 {
			if r.Next(&record) != nil {
				return
			}
		}
	})
}
