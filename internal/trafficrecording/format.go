package trafficrecording

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	magic = "PNTRACE1"
	// formatVersion is the format's version. Recordings of other versions are not read.
	formatVersion = 1
	// blockHeaderSize is the size of a block's header, in bytes.
	blockHeaderSize = 20
	// blockRecords is the number of records in a full block. More would compress better, but a process that
	// dies would lose more records.
	blockRecords = 2048
	// maxHeaderSize and maxBlockSize limit what is read, in bytes, so a damaged file causes no huge
	// allocations.
	maxHeaderSize = 1 << 20
	maxBlockSize  = 16 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Header describes the origin of a recording.
type Header struct {
	Version   int      `cbor:"version"` // of the format; Create sets the field
	Name      string   `cbor:"name"`    // of the balancer
	Zone      string   `cbor:"zone"`    // of the balancer
	Classes   []string `cbor:"classes"` // names, indexed by Record.Class
	StartedAt int64    `cbor:"started"` // Unix time of the start, in ns
}

// Outcome is how a request ended.
type Outcome uint8

const (
	// Served means that the client got a server's response.
	Served Outcome = iota
	// Rejected means that the request was not executed.
	Rejected
	// Failed means that no server's response came, though the request may have been executed.
	Failed
	// ClientGone means that the client disconnected before the response.
	ClientGone
)

// Record describes one request. It is encoded as a CBOR array, in the order of the fields.
type Record struct {
	_        struct{}      `cbor:",toarray"`
	At       time.Duration // arrival time, since the start of the recording
	Class    uint16        // index into Header.Classes
	Key      uint64        // hash of the affinity key; 0: none
	CostHint float64       // the request's cost hint, ms; 0: none
	Deadline time.Duration // from the request's arrival
	Outcome  Outcome
	Latency  time.Duration // from the request's arrival to the outcome
}

// blockHeader precedes the data of a block.
type blockHeader struct {
	size     uint32 // of the compressed data, in bytes
	records  uint32
	first    time.Duration // Record.At of the first record
	checksum uint32        // CRC-32C of the compressed data
}

// encode writes the header to the first blockHeaderSize bytes of out.
func (h blockHeader) encode(out []byte) {
	binary.LittleEndian.PutUint32(out, h.size)
	binary.LittleEndian.PutUint32(out[4:], h.records)
	binary.LittleEndian.PutUint64(out[8:], uint64(h.first))
	binary.LittleEndian.PutUint32(out[16:], h.checksum)
}

func decodeBlockHeader(in *[blockHeaderSize]byte) (blockHeader, error) {
	h := blockHeader{
		size:     binary.LittleEndian.Uint32(in[:]),
		records:  binary.LittleEndian.Uint32(in[4:]),
		first:    time.Duration(binary.LittleEndian.Uint64(in[8:])),
		checksum: binary.LittleEndian.Uint32(in[16:]),
	}
	if h.size > maxBlockSize || h.records == 0 || h.records > maxBlockSize {
		return h, fmt.Errorf("%d bytes with %d records", h.size, h.records)
	}
	return h, nil
}

// encodeBlock encodes at least one record as a block, header included.
func encodeBlock(records []Record) ([]byte, error) {
	var out bytes.Buffer
	out.Write(make([]byte, blockHeaderSize))
	compressor, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	encoder := cbor.NewEncoder(compressor)
	for i := range records {
		if err := encoder.Encode(&records[i]); err != nil {
			return nil, err
		}
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	block := out.Bytes()
	data := block[blockHeaderSize:]
	blockHeader{
		size:     uint32(len(data)),
		records:  uint32(len(records)),
		first:    records[0].At,
		checksum: crc32.Checksum(data, castagnoli),
	}.encode(block)
	return block, nil
}
