package trafficrecording

import (
	"encoding/binary"
	"os"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

const (
	defaultMaxBytes   = 64 << 20
	defaultMaxPending = 8192
)

// Limits bounds a recording. Zero values mean the defaults.
type Limits struct {
	// Bytes is the total size of blocks, 64 MiB by default, at which the recording ends. The block that
	// reaches this size is the last.
	Bytes int64
	// Pending is how many records may wait to be written, 8,192 by default. Further ones are dropped.
	Pending int
}

// Writer writes a recording; see Create. Its methods may be called concurrently.
type Writer struct {
	limits Limits
	wake   chan struct{} // signals that a full block is pending; closed by Close
	done   chan error    // receives the first error, or nil, once the file is closed

	mu      sync.Mutex
	pending []Record
	dropped int
	closed  bool

	spare []Record // array that take reuses for pending; only run's goroutine uses spare
}

// Create starts a recording. An existing file of this name is replaced. Any error is a *FileError.
func Create(name string, header Header, limits Limits) (*Writer, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, &FileError{Err: err}
	}
	if limits.Bytes == 0 {
		limits.Bytes = defaultMaxBytes
	}
	if limits.Pending == 0 {
		limits.Pending = defaultMaxPending
	}
	if err := writeHeader(file, header); err != nil {
		_ = file.Close() // the error of writeHeader tells more
		return nil, &FileError{Name: name, Err: err}
	}
	writer := &Writer{limits: limits, wake: make(chan struct{}, 1), done: make(chan error, 1)}
	// After Close, the goroutine ends once all records are written.
	go writer.run(file)
	return writer, nil
}

func writeHeader(file *os.File, header Header) error {
	header.Version = formatVersion
	encoded, err := cbor.Marshal(header)
	if err != nil {
		return err
	}
	out := binary.LittleEndian.AppendUint32([]byte(magic), uint32(len(encoded)))
	_, err = file.Write(append(out, encoded...))
	return err
}

// Add records a request. It never waits for the disk. The record is dropped if the disk is behind, the file
// full or the Writer closed.
func (w *Writer) Add(record Record) {
	w.mu.Lock()
	if w.closed || len(w.pending) >= w.limits.Pending {
		w.dropped++
		w.mu.Unlock()
		return
	}
	w.pending = append(w.pending, record)
	blockComplete := len(w.pending)%blockRecords == 0
	w.mu.Unlock()
	if blockComplete {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// Dropped returns the number of records dropped so far. Records whose write failed are not counted.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes the pending records, closes the file and returns the first error of the recording. Later
// calls return nil.
func (w *Writer) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.closed = true
	w.mu.Unlock()
	close(w.wake)
	return <-w.done
}

// blockFile is the file of a recording. Only run's goroutine uses it.
type blockFile struct {
	file    *os.File
	written int64 // bytes of blocks
	err     error // the first error
}

// run writes blocks until the Writer is closed, then the remaining records. It closes the file and sends the
// first error to done.
func (w *Writer) run(file *os.File) {
	out := &blockFile{file: file}
	for range w.wake {
		w.flush(out, w.takeCompleteBlocks())
	}
	w.flush(out, w.takeAll())
	if err := file.Close(); out.err == nil {
		out.err = err
	}
	w.done <- out.err
}

// flush writes a batch of records in blocks. After an error or at the limit of bytes it drops the records.
// It keeps the batch's array as spare.
func (w *Writer) flush(out *blockFile, batch []Record) {
	for start := 0; start < len(batch); start += blockRecords {
		records := batch[start:min(start+blockRecords, len(batch))]
		if out.err != nil || out.written >= w.limits.Bytes {
			w.drop(len(records))
			continue
		}
		out.write(records)
	}
	w.spare = batch
}

// takeCompleteBlocks removes and returns the pending records that fill whole blocks.
func (w *Writer) takeCompleteBlocks() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.take(len(w.pending) / blockRecords * blockRecords)
}

// takeAll removes and returns all pending records.
func (w *Writer) takeAll() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.take(len(w.pending))
}

// take removes and returns the first count pending records. The caller must hold the mutex.
func (w *Writer) take(count int) []Record {
	batch := w.pending[:count]
	w.pending = append(w.spare[:0], w.pending[count:]...)
	return batch
}

func (w *Writer) drop(records int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped += records
}

// write appends a block to the file and sets err.
func (f *blockFile) write(records []Record) {
	block, err := encodeBlock(records)
	if err != nil {
		f.err = err
		return
	}
	written, err := f.file.Write(block)
	f.written += int64(written)
	f.err = err
}
