// Package trace is recorded traffic: what clients asked, and how it ended. A file is
// written beside the service without ever holding it up, and replayed by the model.
//
// Format, version 1, integers little-endian:
//
//	8 bytes   "PNTRACE1"
//	u32       length of the header; the header, a CBOR map (Header)
//	blocks    u32 length of data, u32 records, i64 time of the first (ns since the
//	          start), u32 CRC-32C of the data; data: DEFLATE (RFC 1951) of so many
//	          records, each a CBOR array (RFC 8949; Record, in the order of its fields)
//
// Blocks stand alone and their heads can be skipped along, which is how Seek finds a
// time in a long file. A file whose writer died ends in a block that is cut short; the
// blocks before it are good.
package trace

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	magic     = "PNTRACE1"
	blockHead = 20
	// blockRecords is how many records a block holds: enough to compress well, few
	// enough that little is lost with a process.
	blockRecords = 2048
	maxHeader    = 1 << 20
	maxBlock     = 16 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Header says where a recording comes from.
type Header struct {
	Version   int      `cbor:"version"`
	Name      string   `cbor:"name"`    // of the balancer
	Zone      string   `cbor:"zone"`    // its zone
	Classes   []string `cbor:"classes"` // by the records' class numbers
	StartedAt int64    `cbor:"started"` // Unix time of the start, ns
}

// Outcome is how a request ended.
type Outcome uint8

// Outcomes.
const (
	Served Outcome = iota
	Rejected
	Failed
	ClientGone // the client went away
)

// Record is one request.
type Record struct {
	_        struct{}      `cbor:",toarray"`
	At       time.Duration // since the start
	Class    uint16
	Key      uint64        // 0: none
	CostHint float64       // ms; 0: none
	Deadline time.Duration // from its arrival
	Outcome  Outcome
	Latency  time.Duration
}

// Limits bounds a recording. Zeros take the defaults.
type Limits struct {
	Bytes   int64 // size of the file, 64 MiB by default; then recording ends
	Pending int   // records that wait to be written, 8,192 by default; more are dropped
}

// Writer records. Add never blocks on the disk.
type Writer struct {
	limits  Limits
	mu      sync.Mutex
	pending []Record
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan error
	spare   []Record
}

// Create begins a recording in a new file; one that is there is replaced.
func Create(name string, h Header, limits Limits) (*Writer, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	if limits.Bytes == 0 {
		limits.Bytes = 64 << 20
	}
	if limits.Pending == 0 {
		limits.Pending = 8192
	}
	h.Version = 1
	head, err := cbor.Marshal(h)
	if err == nil {
		var n [4]byte
		binary.LittleEndian.PutUint32(n[:], uint32(len(head)))
		_, err = f.Write(append(append([]byte(magic), n[:]...), head...))
	}
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("trace %s: %w", name, err)
	}
	w := &Writer{limits: limits, wake: make(chan struct{}, 1), done: make(chan error, 1)}
	go w.run(f)
	return w, nil
}

// Add records a request, or drops it if the disk is behind or the file full.
func (w *Writer) Add(r Record) {
	w.mu.Lock()
	if w.closed || len(w.pending) >= w.limits.Pending {
		w.dropped++
		w.mu.Unlock()
		return
	}
	w.pending = append(w.pending, r)
	full := len(w.pending)%blockRecords == 0
	w.mu.Unlock()
	if full {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// Dropped is how many records were not written.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes what is pending and returns the first error of the recording.
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

// run writes blocks until the recording is closed, full or broken.
func (w *Writer) run(f *os.File) {
	var err error
	written := int64(0)
	for range w.wake {
		err = w.flush(f, &written, err, false)
	}
	err = w.flush(f, &written, err, true)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	w.done <- err
}

// flush writes the whole blocks that are pending, and with all the rest, too. After an
// error or past the limit it only drops.
func (w *Writer) flush(f io.Writer, written *int64, err error, all bool) error {
	w.mu.Lock()
	batch := w.pending
	if !all {
		batch = batch[:len(batch)/blockRecords*blockRecords]
	}
	w.pending = append(w.spare[:0], w.pending[len(batch):]...)
	w.mu.Unlock()
	for at := 0; at < len(batch); at += blockRecords {
		part := batch[at:min(at+blockRecords, len(batch))]
		if err != nil || *written >= w.limits.Bytes {
			w.mu.Lock()
			w.dropped += len(part)
			w.mu.Unlock()
			continue
		}
		var block []byte
		if block, err = encode(part); err == nil {
			var n int
			n, err = f.Write(block)
			*written += int64(n)
		}
	}
	w.spare = batch
	return err
}

func encode(records []Record) ([]byte, error) {
	var out bytes.Buffer
	out.Write(make([]byte, blockHead))
	z, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	enc := cbor.NewEncoder(z)
	for i := range records {
		if err := enc.Encode(&records[i]); err != nil {
			return nil, err
		}
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	b := out.Bytes()
	binary.LittleEndian.PutUint32(b, uint32(len(b)-blockHead))
	binary.LittleEndian.PutUint32(b[4:], uint32(len(records)))
	binary.LittleEndian.PutUint64(b[8:], uint64(records[0].At))
	binary.LittleEndian.PutUint32(b[16:], crc32.Checksum(b[blockHead:], castagnoli))
	return b, nil
}

// ErrTruncated says that a recording ends in the middle of a block.
var ErrTruncated = errors.New("the recording is cut short")

// Reader reads a recording.
type Reader struct {
	name   string
	f      *os.File
	src    *bufio.Reader
	head   Header
	blocks int64 // where they begin
	dec    *cbor.Decoder
	left   uint32
	number int
}

// Open opens a recording. Errors name the file.
func Open(name string) (*Reader, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	r := &Reader{name: name, f: f, src: bufio.NewReaderSize(f, 1<<16)}
	if err := r.header(); err != nil {
		f.Close()
		return nil, fmt.Errorf("trace %s: %w", name, err)
	}
	return r, nil
}

func (r *Reader) header() error {
	var fixed [len(magic) + 4]byte
	if _, err := io.ReadFull(r.src, fixed[:]); err != nil || string(fixed[:len(magic)]) != magic {
		return errors.New("this is no recording: it does not begin with " + magic)
	}
	n := binary.LittleEndian.Uint32(fixed[len(magic):])
	if n > maxHeader {
		return fmt.Errorf("a header of %d bytes", n)
	}
	head := make([]byte, n)
	if _, err := io.ReadFull(r.src, head); err != nil {
		return ErrTruncated
	}
	if err := cbor.Unmarshal(head, &r.head); err != nil {
		return fmt.Errorf("header: %w", err)
	}
	if r.head.Version != 1 {
		return fmt.Errorf("version %d, version 1 is expected", r.head.Version)
	}
	r.blocks = int64(len(fixed)) + int64(n)
	return nil
}

// Header returns what the recording says of itself.
func (r *Reader) Header() *Header { return &r.head }

// Close closes the file.
func (r *Reader) Close() error { return r.f.Close() }

// Next reads the next record. It returns io.EOF at the end, and an error that wraps
// ErrCut where the writer died.
func (r *Reader) Next(rec *Record) error {
	for r.left == 0 {
		if err := r.block(); err != nil {
			if errors.Is(err, io.EOF) {
				return io.EOF
			}
			return fmt.Errorf("trace %s: block %d: %w", r.name, r.number, err)
		}
	}
	r.left--
	if err := r.dec.Decode(rec); err != nil {
		return fmt.Errorf("trace %s: block %d: %w", r.name, r.number, err)
	}
	if int(rec.Class) >= len(r.head.Classes) {
		return fmt.Errorf("trace %s: block %d: class %d of %d", r.name, r.number, rec.Class, len(r.head.Classes))
	}
	return nil
}

type blockInfo struct {
	length, records, sum uint32
	first                time.Duration
}

func (r *Reader) blockHead() (blockInfo, error) {
	var h [blockHead]byte
	if n, err := io.ReadFull(r.src, h[:]); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return blockInfo{}, io.EOF
		}
		return blockInfo{}, ErrTruncated
	}
	b := blockInfo{
		length: binary.LittleEndian.Uint32(h[:]), records: binary.LittleEndian.Uint32(h[4:]),
		first: time.Duration(binary.LittleEndian.Uint64(h[8:])), sum: binary.LittleEndian.Uint32(h[16:]),
	}
	if b.length > maxBlock || b.records == 0 || b.records > maxBlock {
		return b, fmt.Errorf("%d bytes with %d records", b.length, b.records)
	}
	return b, nil
}

func (r *Reader) block() error {
	h, err := r.blockHead()
	if err != nil {
		return err
	}
	r.number++
	data := make([]byte, h.length)
	if _, err := io.ReadFull(r.src, data); err != nil {
		return ErrTruncated
	}
	if crc32.Checksum(data, castagnoli) != h.sum {
		return errors.New("its checksum is wrong")
	}
	r.dec, r.left = cbor.NewDecoder(flate.NewReader(bytes.NewReader(data))), h.records
	return nil
}

// Seek goes to the last block that begins at or before a time; the next record is its
// first.
func (r *Reader) Seek(at time.Duration) error {
	if _, err := r.f.Seek(r.blocks, io.SeekStart); err != nil {
		return err
	}
	r.src.Reset(r.f)
	r.left, r.number = 0, 0
	best, pos := r.blocks, r.blocks
	for {
		h, err := r.blockHead()
		if err != nil || h.first > at {
			break
		}
		best = pos
		pos += blockHead + int64(h.length)
		if _, err := r.src.Discard(int(h.length)); err != nil {
			break
		}
	}
	if _, err := r.f.Seek(best, io.SeekStart); err != nil {
		return err
	}
	r.src.Reset(r.f)
	return nil
}
