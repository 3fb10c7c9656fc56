package transport

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// A frame is a header followed by CBOR data. The header holds the data's length in bytes (4 bytes, big endian)
// and the data's xxHash64 (8 bytes, big endian).
const (
	lengthSize   = 4
	checksumSize = 8
	headerSize   = lengthSize + checksumSize
	maxFrameSize = 1 << 20 // bytes of data
)

// Frame is one message on a connection. Exactly one field is set.
type Frame struct {
	Handshake    *Handshake    `cbor:"1,keyasint,omitempty"`
	VoterMessage *VoterMessage `cbor:"2,keyasint,omitempty"`
	Request      *Request      `cbor:"3,keyasint,omitempty"`
	Response     *Response     `cbor:"4,keyasint,omitempty"`
}

// VoterMessage is a message between two voters. Exactly one of Announcement, Accepted and Raft is set.
type VoterMessage struct {
	From         protocol.VoterID       `cbor:"1,keyasint"`
	To           protocol.VoterID       `cbor:"2,keyasint"`
	Announcement *protocol.Announcement `cbor:"3,keyasint,omitempty"`
	Accepted     *bool                  `cbor:"4,keyasint,omitempty"` // whether the announcement was accepted
	Raft         []byte                 `cbor:"5,keyasint,omitempty"` // a raft message in its own encoding
}

// Request is a member's request to the leader; see protocol.Request.
type Request struct {
	// Key is the sender's number for this request, which the response repeats; 0: no response is expected.
	Key     uint64                   `cbor:"1,keyasint"`
	Kind    protocol.Kind            `cbor:"2,keyasint"`
	Command lease.Command            `cbor:"3,keyasint"`
	Voter   protocol.Voter           `cbor:"4,keyasint,omitempty"`
	Event   *controlgroup.WatchEvent `cbor:"5,keyasint,omitempty"`
}

// Response is the response to a Request or, with Key 0, an unsolicited message of a voter.
type Response struct {
	Key       uint64                   `cbor:"1,keyasint"`
	Code      ErrorCode                `cbor:"2,keyasint"`
	Grant     lease.Grant              `cbor:"3,keyasint,omitempty"`
	Snapshot  protocol.Snapshot        `cbor:"4,keyasint,omitempty"`
	Leader    string                   `cbor:"5,keyasint,omitempty"` // the leader's name; "": not known
	FreedDuty lease.Duty               `cbor:"6,keyasint,omitempty"` // with Key 0: this duty may have come free
	Duty      lease.Duty               `cbor:"7,keyasint,omitempty"` // with Key 0: the duty that Event belongs to
	Token     lease.Token              `cbor:"8,keyasint,omitempty"` // the token under which Event was published
	Event     *controlgroup.WatchEvent `cbor:"9,keyasint,omitempty"`
}

// decoder limits the elements and nesting of a frame, so that a malicious frame cannot take up far more memory
// than its size.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 256, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Append appends the encoded frame to a buffer. If the frame's data exceeds 1 MiB, it returns the buffer
// unchanged and an error that wraps ErrInvalidFrame.
func Append(to []byte, frame Frame) ([]byte, error) {
	data, err := cbor.Marshal(frame)
	if err != nil {
		return to, err
	}
	if len(data) > maxFrameSize {
		return to, fmt.Errorf("%w: %d bytes exceed the limit of %d", ErrInvalidFrame, len(data), maxFrameSize)
	}
	to = binary.BigEndian.AppendUint32(to, uint32(len(data)))
	to = binary.BigEndian.AppendUint64(to, xxhash.Sum64(data))
	return append(to, data...), nil
}

// Read reads one frame. If the header is incomplete, it returns the reader's error, such as io.EOF. All other
// errors wrap ErrInvalidFrame.
func Read(reader io.Reader) (Frame, error) {
	announced, err := readHeader(reader)
	if err != nil {
		return Frame{}, err
	}
	return announced.readFrame(reader)
}

// header is what precedes the data of a frame.
type header struct {
	length   int // bytes of data
	checksum uint64
}

// readHeader reads a header, and rejects lengths above maxFrameSize.
func readHeader(reader io.Reader) (header, error) {
	var encoded [headerSize]byte
	if _, err := io.ReadFull(reader, encoded[:]); err != nil {
		return header{}, err
	}
	length := binary.BigEndian.Uint32(encoded[:lengthSize])
	if length > maxFrameSize {
		return header{}, fmt.Errorf("%w: its length, %d bytes, exceeds the limit of %d",
			ErrInvalidFrame, length, maxFrameSize)
	}
	return header{length: int(length), checksum: binary.BigEndian.Uint64(encoded[lengthSize:])}, nil
}

// readFrame reads the data behind the header and decodes the frame.
func (h header) readFrame(reader io.Reader) (Frame, error) {
	var frame Frame
	// The buffer grows with what has arrived: an announced length alone must not occupy memory.
	var data bytes.Buffer
	if _, err := io.CopyN(&data, reader, int64(h.length)); err != nil {
		return frame, fmt.Errorf("%w: truncated: %w", ErrInvalidFrame, err)
	}
	if xxhash.Sum64(data.Bytes()) != h.checksum {
		return frame, fmt.Errorf("%w: checksum mismatch", ErrInvalidFrame)
	}
	if err := decoder.Unmarshal(data.Bytes(), &frame); err != nil {
		return frame, fmt.Errorf("%w: %w", ErrInvalidFrame, err)
	}
	return frame, nil
}
