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

// Limits bounds a recording. Zero values are the defaults.
type Limits struct {
	// Bytes is the size of the file, 64 MiB by default, at which recording ends: the block that passes
	// it is the last.
	Bytes int64
	// Pending is how many records may wait to be written, 8,192 by default; more are dropped.
	Pending int
}

// Writer writes a recording. Create makes it. All methods may be called from any goroutine.
type Writer struct {
	limits Limits
	wake   chan struct{} // a block is pending; closed by Close
	done   chan error    // the first error of the recording, once the file is closed

	mu      sync.Mutex
	pending []Record
	dropped int
	closed  bool

	spare []Record // an array for pending to use again; the writing goroutine's
}

// Create begins a recording in a new file and replaces one that exists. An error is a *FileError.
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
		_ = file.Close() // the first error says more
		return nil, &FileError{Name: name, Err: err}
	}
	writer := &Writer{limits: limits, wake: make(chan struct{}, 1), done: make(chan error, 1)}
	// Owned by the Writer; it ends when Close has closed wake and all is written.
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

// Add records a request, or drops it if the disk is behind, the file full or the Writer closed. It
// never waits for the disk.
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

// Dropped returns how many records were not written.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes what is pending and returns the first error of the recording. Later calls return nil.
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

// blockFile is the file of a recording, for the writing goroutine.
type blockFile struct {
	file    *os.File
	written int64 // bytes of blocks
	err     error // the first one
}

// run writes blocks until the Writer is closed.
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

// flush writes a batch of records in blocks. After an error or at the limit of bytes it only drops
// records.
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

// takeCompleteBlocks returns the pending records of complete blocks and leaves the rest pending.
func (w *Writer) takeCompleteBlocks() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.take(len(w.pending) / blockRecords * blockRecords)
}

// takeAll returns all pending records.
func (w *Writer) takeAll() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.take(len(w.pending))
}

// take returns the first of the pending records and leaves the rest pending. The mutex must be held.
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

// write appends a block.
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
