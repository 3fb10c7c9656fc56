package trafficrecording

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
	"time"

	"github.com/fxamacker/cbor/v2"
)

// readBufferSize is the size of the read buffer, in bytes.
const readBufferSize = 1 << 16

// Reader reads a recording; see Open. A Reader must not be used concurrently.
type Reader struct {
	name        string
	file        *os.File
	in          *bufio.Reader
	header      Header
	firstBlock  int64         // offset of the first block in the file
	records     *cbor.Decoder // decodes the current block
	recordsLeft uint32        // unread records of the current block
	block       int           // number of the current block, counted from 1 since Open or Seek; 0: none yet
}

// Open opens a recording and reads its header. Any error is a *FileError.
func Open(name string) (*Reader, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, &FileError{Err: err}
	}
	reader := &Reader{name: name, file: file, in: bufio.NewReaderSize(file, readBufferSize)}
	if err := reader.readHeader(); err != nil {
		_ = file.Close() // opened for reading only
		return nil, &FileError{Name: name, Err: err}
	}
	return reader, nil
}

func (r *Reader) readHeader() error {
	var fixed [len(magic) + 4]byte
	if _, err := io.ReadFull(r.in, fixed[:]); err != nil || string(fixed[:len(magic)]) != magic {
		return ErrNotRecording
	}
	size := binary.LittleEndian.Uint32(fixed[len(magic):])
	if size > maxHeaderSize {
		return fmt.Errorf("a header of %d bytes", size)
	}
	header := make([]byte, size)
	if _, err := io.ReadFull(r.in, header); err != nil {
		return ErrTruncated
	}
	if err := cbor.Unmarshal(header, &r.header); err != nil {
		return fmt.Errorf("header: %w", err)
	}
	if r.header.Version != formatVersion {
		return fmt.Errorf("version %d, version %d is expected", r.header.Version, formatVersion)
	}
	r.firstBlock = int64(len(fixed)) + int64(size)
	return nil
}

// Header returns the recording's header. The caller must not change it.
func (r *Reader) Header() *Header { return &r.header }

// Close closes the file.
func (r *Reader) Close() error { return r.file.Close() }

// Next reads the next record. It returns io.EOF at the end. Any other error is a *FileError, which wraps
// ErrTruncated if the recording ends within a block, as after a crash of the writer's process.
func (r *Reader) Next(record *Record) error {
	for r.recordsLeft == 0 {
		err := r.readBlock()
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		if err != nil {
			return r.blockError(err)
		}
	}
	r.recordsLeft--
	if err := r.records.Decode(record); err != nil {
		return r.blockError(err)
	}
	if int(record.Class) >= len(r.header.Classes) {
		return r.blockError(fmt.Errorf("class %d of %d", record.Class, len(r.header.Classes)))
	}
	return nil
}

func (r *Reader) blockError(err error) error {
	return &FileError{Name: r.name, Err: &BlockError{Block: r.block, Err: err}}
}

// readBlock reads the next block and checks its checksum. It returns io.EOF at the end of the file.
func (r *Reader) readBlock() error {
	header, err := r.readBlockHeader()
	if err != nil {
		return err
	}
	r.block++
	data := make([]byte, header.size)
	if _, err := io.ReadFull(r.in, data); err != nil {
		return ErrTruncated
	}
	if crc32.Checksum(data, castagnoli) != header.checksum {
		return ErrChecksum
	}
	r.records = cbor.NewDecoder(flate.NewReader(bytes.NewReader(data)))
	r.recordsLeft = header.records
	return nil
}

func (r *Reader) readBlockHeader() (blockHeader, error) {
	var encoded [blockHeaderSize]byte
	size, err := io.ReadFull(r.in, encoded[:])
	if size == 0 && errors.Is(err, io.EOF) {
		return blockHeader{}, io.EOF
	}
	if err != nil {
		return blockHeader{}, ErrTruncated
	}
	return decodeBlockHeader(&encoded)
}

// Seek moves to the last block that begins at or before a time, counted from the start of the recording, or
// to the first block if none does. Next then reads that block's first record. Block numbers in errors count from
// that block.
func (r *Reader) Seek(at time.Duration) error {
	if err := r.moveTo(r.firstBlock); err != nil {
		return err
	}
	r.recordsLeft = 0
	r.block = 0
	return r.moveTo(r.findBlock(at))
}

// findBlock returns the offset of the last block that begins at or before a time, or of the first block if
// none does. The search stops at the first truncated block or invalid block header.
func (r *Reader) findBlock(at time.Duration) int64 {
	found, offset := r.firstBlock, r.firstBlock
	for {
		header, err := r.readBlockHeader()
		if err != nil || header.first > at {
			return found
		}
		found = offset
		offset += blockHeaderSize + int64(header.size)
		if _, err := r.in.Discard(int(header.size)); err != nil {
			return found
		}
	}
}

// moveTo continues reading at an offset in the file.
func (r *Reader) moveTo(offset int64) error {
	if _, err := r.file.Seek(offset, io.SeekStart); err != nil {
		return err
	}
	r.in.Reset(r.file)
	return nil
}
