package trace

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func record(i int) Record {
	return Record{At: time.Duration(i) * time.Millisecond, Class: uint16(i % 2), Key: uint64(i * 7), CostHint: float64(i), Deadline: time.Second, Outcome: Outcome(i % 4), Latency: time.Duration(i)}
}

func write(t *testing.T, n int, limits Limits) (string, *Writer) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "t.pnt")
	w, err := Create(name, Header{Name: "n0", Zone: "z", Classes: []string{"a", "b"}}, limits)
	require.NoError(t, err)
	for i := range n {
		w.Add(record(i))
	}
	require.NoError(t, w.Close())
	w.Add(record(0)) // after the end: dropped, no panic
	return name, w
}

func TestARecordingReadsBack(t *testing.T) {
	const n = 3*blockRecords + 17
	name, _ := write(t, n, Limits{Pending: n})
	r, err := Open(name)
	require.NoError(t, err)
	defer r.Close()
	require.Equal(t, []string{"a", "b"}, r.Header().Classes)
	var rec Record
	for i := range n {
		require.NoError(t, r.Next(&rec))
		require.Equal(t, record(i), rec)
	}
	require.ErrorIs(t, r.Next(&rec), io.EOF)

	require.NoError(t, r.Seek(time.Duration(blockRecords+5)*time.Millisecond))
	require.NoError(t, r.Next(&rec))
	require.Equal(t, record(blockRecords), rec, "the block in which the time lies")
	require.NoError(t, r.Seek(0))
	require.NoError(t, r.Next(&rec))
	require.Equal(t, record(0), rec)
}

func TestWhatIsCutShortOrSpoiltIsToldAndTheRestIsGood(t *testing.T) {
	name, _ := write(t, 2*blockRecords, Limits{})
	data, err := os.ReadFile(name)
	require.NoError(t, err)
	count := func(data []byte) (int, error) {
		require.NoError(t, os.WriteFile(name, data, 0o600))
		r, err := Open(name)
		if err != nil {
			return 0, err
		}
		defer r.Close()
		var rec Record
		for n := 0; ; n++ {
			if err := r.Next(&rec); err != nil {
				return n, err
			}
		}
	}
	n, err := count(data[:len(data)-10])
	require.ErrorIs(t, err, ErrTruncated)
	require.Equal(t, blockRecords, n)
	spoilt := append([]byte(nil), data...)
	spoilt[len(spoilt)-10] ^= 1
	n, err = count(spoilt)
	require.ErrorContains(t, err, "block 2: its checksum is wrong")
	require.Equal(t, blockRecords, n)
	_, err = count([]byte("PNTRACE9 and more"))
	require.ErrorContains(t, err, "no recording")
	_, err = count(data[:20])
	require.ErrorIs(t, err, ErrTruncated)
}

func TestARecordingIsBoundedAndNeverWaits(t *testing.T) {
	name, w := write(t, 10*blockRecords, Limits{Bytes: 1, Pending: 4 * blockRecords})
	require.Greater(t, w.Dropped(), 0)
	r, err := Open(name)
	require.NoError(t, err)
	defer r.Close()
	var rec Record
	n := 0
	for err = r.Next(&rec); err == nil; err = r.Next(&rec) {
		n++
	}
	require.True(t, errors.Is(err, io.EOF))
	require.LessOrEqual(t, n, blockRecords, "one block passes the limit, no second")
	require.Equal(t, 10*blockRecords+1, n+w.Dropped())
	_, err = Create(filepath.Join(name, "x"), Header{}, Limits{})
	require.Error(t, err)
}

func FuzzRead(f *testing.F) {
	b, err := encode([]Record{record(1), record(2)})
	if err != nil {
		f.Fatal(err)
	}
	head := []byte(magic + "\x0f\x00\x00\x00\xa2gversion\x01gclasses\x81aa")
	f.Add(append(head, b...))
	f.Fuzz(func(t *testing.T, data []byte) {
		name := filepath.Join(t.TempDir(), "f")
		if os.WriteFile(name, data, 0o600) != nil {
			return
		}
		r, err := Open(name)
		if err != nil {
			return
		}
		defer r.Close()
		var rec Record
		for range 10000 {
			if r.Next(&rec) != nil {
				return
			}
		}
	})
}
